#include "shell/chunkreader.hpp"

#include <algorithm>
#include <charconv>

namespace weldsail {
namespace {

constexpr std::size_t line_most = 4096;
constexpr std::size_t trailer_most = 64U << 10U;
constexpr std::size_t size_digits_most = 8;
constexpr int hexadecimal = 16;

bool is_extension(std::string_view rest) {
  const auto begin = rest.find_first_not_of(" \t");
  return begin == std::string_view::npos ? rest.empty() : rest[begin] == ';';
}

}  // namespace

ReadState ChunkReader::take(std::string_view& bytes, std::string& body) {
  auto state = ReadState::whole;
  while (state == ReadState::whole && !last_) state = place_ == Place::data ? take_data(bytes, body) : take_line(bytes);
  return state;
}

ReadState ChunkReader::take_data(std::string_view& bytes, std::string& body) {
  const auto count = std::min(left_, bytes.size());
  body.append(bytes, 0, count);
  bytes.remove_prefix(count);
  left_ -= count;
  if (left_ > 0) return ReadState::more;
  place_ = Place::data_end;
  return ReadState::whole;
}

ReadState ChunkReader::take_line(std::string_view& bytes) {
  const auto end = bytes.find('\n');
  const auto part = bytes.substr(0, end == std::string_view::npos ? end : end + 1);
  if (line_.size() + part.size() > line_most) return ReadState::broken;
  line_ += part;
  bytes.remove_prefix(part.size());
  const auto carriage = line_.find('\r');
  const bool ended = line_.ends_with('\n');
  // A carriage return is the last byte before the line feed, or the last one that has come.
  if (carriage != std::string::npos && carriage + (ended ? 2 : 1) != line_.size()) return ReadState::broken;
  if (ended && carriage == std::string::npos) return ReadState::broken;
  if (place_ == Place::data_end && !std::string_view("\r\n").starts_with(line_)) return ReadState::broken;
  if (!ended) return ReadState::more;
  line_.resize(carriage);
  const bool good = end_line();
  line_.clear();
  return good ? ReadState::whole : ReadState::broken;
}

bool ChunkReader::end_line() {
  if (place_ == Place::size) return read_size();
  if (place_ == Place::data_end) {
    place_ = Place::size;
    return true;
  }
  last_ = line_.empty();
  trailer_bytes_ += line_.size();
  return trailer_bytes_ <= trailer_most;
}

bool ChunkReader::read_size() {
  const auto* begin = line_.data();
  const auto* end = begin + line_.size();
  const auto read = std::from_chars(begin, end, left_, hexadecimal);
  if (read.ec != std::errc() || read.ptr - begin > static_cast<std::ptrdiff_t>(size_digits_most)) return false;
  if (!is_extension({read.ptr, end})) return false;
  place_ = left_ == 0 ? Place::trailer : Place::data;
  return true;
}

}  // namespace weldsail
