#pragma once
#include <string>
#include <string_view>

namespace weldsail {

/// What has come of a message or of a part of it.
enum class ReadState { more, whole, broken };

/// Reads a body in chunks, strictly: every line ends in CR LF, sizes are plain hexadecimal numbers.
class ChunkReader {
 public:
  /// Takes what can be read off the front of `bytes` and adds to `body` what it holds.
  ReadState take(std::string_view& bytes, std::string& body);

 private:
  enum class Place { size, data, data_end, trailer };
  ReadState take_line(std::string_view& bytes);
  ReadState take_data(std::string_view& bytes, std::string& body);
  bool end_line();
  bool read_size();

  Place place_ = Place::size;
  /// The line that is coming in, its end not included once it is whole.
  std::string line_;
  std::size_t left_ = 0;
  std::size_t trailer_bytes_ = 0;
  bool last_ = false;
};

}  // namespace weldsail
