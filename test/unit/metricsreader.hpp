#pragma once
#include <catch2/catch.hpp>

#include <cctype>
#include <cstdlib>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <string_view>

namespace weldsail::unit {

/// One family of a metrics document: its samples by their labels.
struct MetricFamily {
  std::string help;
  std::string type;
  std::map<std::map<std::string, std::string>, double> samples;
};

/// A strict reader of the Prometheus text exposition format, version 0.0.4, as far as counters and gauges need it. It
/// is written from the format's page alone and shares nothing with the writer.
class MetricsReader {
 public:
  explicit MetricsReader(const std::string& text) {
    if (!text.empty()) CHECK(text.back() == '\n');
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) read_line(line);
    for (const auto& [name, family] : families) {
      CAPTURE(name);
      CHECK_FALSE(family.samples.empty());
      CHECK_FALSE(family.help.empty());
    }
  }

  /// The value of a sample; the test fails where there is none.
  double at(const std::string& name, const std::map<std::string, std::string>& labels = {}) const {
    CAPTURE(name, labels);
    const auto family = families.find(name);
    REQUIRE(family != families.end());
    const auto sample = family->second.samples.find(labels);
    REQUIRE(sample != family->second.samples.end());
    return sample->second;
  }

  std::map<std::string, MetricFamily> families;

 private:
  static bool name_letter(char letter, bool first, bool colon) {
    const bool alpha = std::isalpha(static_cast<unsigned char>(letter)) != 0 || letter == '_';
    const bool digit = std::isdigit(static_cast<unsigned char>(letter)) != 0;
    return alpha || (colon && letter == ':') || (!first && digit);
  }

  /// Takes a name off the front; a metric's name may have colons, a label's may not.
  static std::string take_name(std::string_view& rest, bool colon) {
    std::string name;
    while (!rest.empty() && name_letter(rest.front(), name.empty(), colon)) {
      name += rest.front();
      rest.remove_prefix(1);
    }
    REQUIRE_FALSE(name.empty());
    return name;
  }

  static void take(std::string_view& rest, std::string_view wanted) {
    REQUIRE(rest.starts_with(wanted));
    rest.remove_prefix(wanted.size());
  }

  /// Reads one escaped letter behind a backslash.
  static char unescaped(char letter, bool quotes) {
    if (letter == 'n') return '\n';
    REQUIRE((letter == '\\' || (quotes && letter == '"')));
    return letter;
  }

  static std::string take_quoted(std::string_view& rest) {
    take(rest, "\"");
    std::string value;
    while (true) {
      REQUIRE_FALSE(rest.empty());
      const char letter = rest.front();
      rest.remove_prefix(1);
      if (letter == '"') return value;
      if (letter != '\\') {
        value += letter;
        continue;
      }
      REQUIRE_FALSE(rest.empty());
      value += unescaped(rest.front(), true);
      rest.remove_prefix(1);
    }
  }

  static std::string read_help(std::string_view text) {
    std::string help;
    for (std::size_t place = 0; place < text.size(); ++place) {
      if (text[place] != '\\') {
        help += text[place];
        continue;
      }
      REQUIRE(++place < text.size());
      help += unescaped(text[place], false);
    }
    return help;
  }

  void read_line(const std::string& line) {
    CAPTURE(line);
    REQUIRE_FALSE(line.empty());
    std::string_view rest(line);
    if (rest.starts_with("# HELP ")) return read_head(rest, "# HELP ");
    if (rest.starts_with("# TYPE ")) return read_head(rest, "# TYPE ");
    REQUIRE_FALSE(rest.starts_with("#"));
    read_sample(rest);
  }

  void read_head(std::string_view rest, std::string_view mark) {
    take(rest, mark);
    const auto name = take_name(rest, true);
    take(rest, " ");
    // All lines of a family stand together, HELP and TYPE once and before its samples.
    if (name != current_) REQUIRE_FALSE(families.contains(name));
    current_ = name;
    auto& family = families[name];
    REQUIRE(family.samples.empty());
    if (mark == "# HELP ") {
      REQUIRE(family.help.empty());
      family.help = read_help(rest);
      return;
    }
    REQUIRE(family.type.empty());
    family.type = rest;
    REQUIRE((family.type == "counter" || family.type == "gauge" || family.type == "histogram"));
    CHECK((family.type == "counter") == name.ends_with("_total"));
  }

  void read_sample(std::string_view rest) {
    const auto name = take_name(rest, true);
    auto& family = families[current_];
    REQUIRE_FALSE(family.type.empty());
    std::map<std::string, std::string> labels;
    // The samples of a distribution have the family's name and an ending, which is kept as a label of its own.
    if (family.type == "histogram") {
      REQUIRE(name.starts_with(current_));
      labels["part"] = name.substr(current_.size());
      REQUIRE((labels["part"] == "_bucket" || labels["part"] == "_sum" || labels["part"] == "_count"));
    } else {
      REQUIRE(name == current_);
    }
    if (rest.starts_with("{")) {
      take(rest, "{");
      while (true) {
        const auto label = take_name(rest, false);
        take(rest, "=");
        REQUIRE(labels.emplace(label, take_quoted(rest)).second);
        if (!rest.starts_with(",")) break;
        take(rest, ",");
      }
      take(rest, "}");
    }
    take(rest, " ");
    const std::string number(rest);
    char* end = nullptr;
    const double value = std::strtod(number.c_str(), &end);
    REQUIRE_FALSE(number.empty());
    REQUIRE(*end == '\0');
    if (family.type != "gauge") CHECK(value >= 0);
    if (family.type == "histogram") CHECK(labels.contains("le") == (labels["part"] == "_bucket"));
    REQUIRE(family.samples.emplace(labels, value).second);
  }

  std::string current_;
};

}  // namespace weldsail::unit
