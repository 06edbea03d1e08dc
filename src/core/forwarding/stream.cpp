#include "core/forwarding/stream.hpp"

#include "core/json.hpp"

namespace weldsail {
namespace {

constexpr std::size_t event_limit = 1U << 20U;

StreamEvent broken(StreamReader& reader, std::string reason) {
  reader.ended = true;
  return {StreamSign::broken, {}, 0, std::move(reason)};
}

StreamEvent read_event(StreamReader& reader, std::string raw) {
  static const std::string prefix = "data: ";
  if (!raw.starts_with(prefix)) return broken(reader, "no data");
  rapidjson::Document document;
  document.Parse<json_strict>(raw.data() + prefix.size(), raw.size() - prefix.size());
  if (document.HasParseError() || !document.IsObject()) return broken(reader, "no JSON");
  if (json_string_at(document, "/run") != reader.run) return broken(reader, "of another run");
  if (json_bool_at(document, "/final")) {
    const auto pieces = json_number_at(document, "/pieces", -1);
    if (pieces != static_cast<double>(reader.next_piece)) return broken(reader, "total doesn't match");
    reader.ended = true;
    return {StreamSign::final_piece, std::move(raw), 0, {}};
  }
  if (document.HasMember("error")) return broken(reader, "worker's error");
  if (json_number_at(document, "/piece", -1) != static_cast<double>(reader.next_piece))
    return broken(reader, "piece out of order");
  ++reader.next_piece;
  const auto tokens = json_count_at(document, "/tokens", 1);
  return {StreamSign::piece, std::move(raw), tokens, {}};
}

}  // namespace

std::vector<StreamEvent> stream_feed(StreamReader& reader, const std::string& bytes) {
  std::vector<StreamEvent> events;
  reader.buffer += bytes;
  std::size_t begin = 0;
  while (!reader.ended) {
    const auto end = reader.buffer.find("\n\n", begin);
    if (end == std::string::npos) break;
    events.push_back(read_event(reader, reader.buffer.substr(begin, end - begin)));
    begin = end + 2;
  }
  reader.buffer.erase(0, begin);
  if (!reader.ended && reader.buffer.size() > event_limit) events.push_back(broken(reader, "piece too long"));
  return events;
}

}  // namespace weldsail
