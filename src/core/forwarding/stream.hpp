#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace weldsail {

/// What a worker's stream has said.
enum class StreamSign { piece, final_piece, broken };

/// One event of a worker's stream, checked.
struct StreamEvent {
  StreamSign sign = StreamSign::broken;
  std::string raw;
  std::uint64_t tokens = 0;
  std::string reason;
};

/// Reads a worker's server-sent events and checks their order.
struct StreamReader {
  std::string run;
  std::uint64_t next_piece = 0;
  std::string buffer;
  bool ended = false;
};

/// Feeds bytes; after a final or broken event nothing more is given.
std::vector<StreamEvent> stream_feed(StreamReader& reader, const std::string& bytes);

}  // namespace weldsail
