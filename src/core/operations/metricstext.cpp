#include "core/operations/metricstext.hpp"

namespace weldsail {
namespace {

constexpr std::string_view name_prefix = "weldsail_";
constexpr Moment milliseconds_per_second = 1000;

/// Text of a help line: backslashes and line feeds are escaped.
void append_help(std::string& text, std::string_view help) {
  for (const char letter : help) {
    if (letter == '\\')
      text += "\\\\";
    else if (letter == '\n')
      text += "\\n";
    else
      text += letter;
  }
}

/// Text of a label's value: double quotes are escaped, too.
void append_label_value(std::string& text, std::string_view value) {
  for (const char letter : value) {
    if (letter == '\\')
      text += "\\\\";
    else if (letter == '"')
      text += "\\\"";
    else if (letter == '\n')
      text += "\\n";
    else
      text += letter;
  }
}

std::string seconds_text(Moment milliseconds) {
  const bool negative = milliseconds < 0;
  const auto length = negative ? -milliseconds : milliseconds;
  const auto fraction = std::to_string(milliseconds_per_second + length % milliseconds_per_second);
  return (negative ? "-" : "") + std::to_string(length / milliseconds_per_second) + "." + fraction.substr(1);
}

}  // namespace

MetricsText& MetricsText::counter(std::string_view name, std::string_view help) {
  begin(name, help, "counter");
  return *this;
}

MetricsText& MetricsText::gauge(std::string_view name, std::string_view help) {
  begin(name, help, "gauge");
  return *this;
}

MetricsText& MetricsText::sample(std::uint64_t value, const MetricLabels& labels) {
  add(std::to_string(value), labels);
  return *this;
}

MetricsText& MetricsText::seconds(Moment milliseconds, const MetricLabels& labels) {
  add(seconds_text(milliseconds), labels);
  return *this;
}

MetricsText& MetricsText::histogram(std::string_view name, std::string_view help) {
  begin(name, help, "histogram");
  return *this;
}

MetricsText& MetricsText::buckets(std::span<const Moment> bounds, std::span<const std::uint64_t> counts, Moment sum,
                                  const MetricLabels& labels) {
  std::uint64_t count = 0;
  for (std::size_t place = 0; place < counts.size(); ++place) {
    count += counts[place];
    auto with_bound = labels;
    with_bound.emplace_back("le", place < bounds.size() ? seconds_text(bounds[place]) : "+Inf");
    add(std::to_string(count), with_bound, "_bucket");
  }
  add(seconds_text(sum), labels, "_sum");
  add(std::to_string(count), labels, "_count");
  return *this;
}

void MetricsText::begin(std::string_view name, std::string_view help, std::string_view type) {
  name_ = name_prefix;
  name_ += name;
  head_ = "# HELP " + name_ + " ";
  append_help(head_, help);
  head_ += "\n# TYPE " + name_ + " ";
  head_ += type;
  head_ += "\n";
}

void MetricsText::add(const std::string& value, const MetricLabels& labels, std::string_view suffix) {
  text_ += head_;
  head_.clear();
  text_ += name_;
  text_ += suffix;
  const char* before = "{";
  for (const auto& [name, content] : labels) {
    text_ += before;
    text_ += name;
    text_ += "=\"";
    append_label_value(text_, content);
    text_ += "\"";
    before = ",";
  }
  if (!labels.empty()) text_ += "}";
  text_ += " " + value + "\n";
}

}  // namespace weldsail
