#include "shell/diskframe.hpp"

#include <zlib.h>

#include <cstring>

namespace weldsail {
namespace {

constexpr std::uint32_t frame_mark = 0x31534c57;
constexpr std::uint32_t mark_family = 0x00534c57;
constexpr std::uint32_t mark_release = 24;
constexpr std::size_t header_size = 16;
constexpr std::size_t pair_size = 8;
/// What a disk writes whole or not at all.
constexpr std::size_t sector_size = 512;

void put_number(std::string& bytes, std::uint32_t number) {
  char raw[sizeof(number)];
  std::memcpy(raw, &number, sizeof(number));
  bytes.append(raw, sizeof(raw));
}

std::uint32_t get_number(const std::string& bytes, std::size_t place) {
  std::uint32_t number = 0;
  std::memcpy(&number, bytes.data() + place, sizeof(number));
  return number;
}

std::uint32_t checksum(const char* bytes, std::size_t size) {
  return static_cast<std::uint32_t>(crc32(0, reinterpret_cast<const Bytef*>(bytes), static_cast<uInt>(size)));
}

template <typename Container>
std::string encode(const Container& records) {
  std::string frame(header_size, '\0');
  for (const auto& [name, bytes] : records) {
    put_number(frame, static_cast<std::uint32_t>(name.size()));
    put_number(frame, static_cast<std::uint32_t>(bytes.size()));
    frame += name;
    frame += bytes;
  }
  const auto length = frame.size() - header_size;
  std::string header;
  put_number(header, frame_mark);
  put_number(header, static_cast<std::uint32_t>(length));
  put_number(header, checksum(frame.data() + header_size, length));
  put_number(header, checksum(header.data(), header.size()));
  return frame.replace(0, header_size, header);
}

bool read_payload(DiskContents& contents, const std::string& payload) {
  std::size_t place = 0;
  while (place < payload.size()) {
    if (payload.size() - place < pair_size) return false;
    const std::size_t name_size = get_number(payload, place);
    const std::size_t bytes_size = get_number(payload, place + 4);
    place += pair_size;
    if (payload.size() - place < name_size + bytes_size) return false;
    contents.apply(payload.substr(place, name_size), payload.substr(place + name_size, bytes_size));
    place += name_size + bytes_size;
  }
  return true;
}

bool header_sums(const std::string& bytes, std::size_t place) {
  return bytes.size() - place >= header_size &&
         checksum(bytes.data() + place, header_size - 4) == get_number(bytes, place + header_size - 4);
}

bool header_whole(const std::string& bytes, std::size_t place) {
  return header_sums(bytes, place) && get_number(bytes, place) == frame_mark;
}

bool header_newer(const std::string& bytes, std::size_t place) {
  if (!header_sums(bytes, place)) return false;
  const auto mark = get_number(bytes, place);
  return (mark & ((1U << mark_release) - 1)) == mark_family && mark >> mark_release > frame_mark >> mark_release;
}

bool zeros(const std::string& bytes, std::size_t begin, std::size_t end) {
  return begin >= end || std::min(bytes.find_first_not_of('\0', begin), end) == end;
}

bool header_follows(const std::string& bytes, std::size_t place) {
  std::string mark;
  put_number(mark, frame_mark);
  for (auto next = bytes.find(mark, place); next != std::string::npos; next = bytes.find(mark, next + 1))
    if (header_whole(bytes, next)) return true;
  return false;
}

/// True for a header of which a loss of power has left nothing, the beginning, or one of the sectors that it lies in.
bool header_torn(const std::string& bytes, std::size_t place) {
  const auto end = place + header_size;
  if (zeros(bytes, end, bytes.size())) return true;
  const auto boundary = std::min(end, (place / sector_size + 1) * sector_size);
  const bool first_lost = zeros(bytes, place, boundary);
  const bool second_lost = boundary < end && zeros(bytes, boundary, end);
  return (first_lost || second_lost) && !header_follows(bytes, end);
}

}  // namespace

void DiskContents::apply(const std::string& name, const std::string& bytes) {
  const auto found = records.find(name);
  if (found != records.end()) live_size -= name.size() + found->second.size() + pair_size;
  if (bytes.empty()) {
    if (found != records.end()) records.erase(found);
    return;
  }
  records[name] = bytes;
  live_size += name.size() + bytes.size() + pair_size;
}

std::string encode_disk_frame(const DiskRecords& records) { return encode(records); }

std::string encode_disk_frame(const Records& records) { return encode(records); }

Outcome<std::size_t> read_disk_frames(const std::string& bytes, DiskContents& contents) {
  std::size_t place = 0;
  while (bytes.size() - place >= header_size) {
    if (header_newer(bytes, place)) return broke_down(Breakdown::disk_newer);
    if (!header_whole(bytes, place)) {
      if (header_torn(bytes, place)) break;
      return broke_down(Breakdown::disk_corrupt);
    }
    const auto begin = place + header_size;
    const std::size_t length = get_number(bytes, place + 4);
    const auto left = bytes.size() - begin;
    const bool whole = left >= length && checksum(bytes.data() + begin, length) == get_number(bytes, place + 8);
    if (!whole && left <= length) break;
    if (!whole || !read_payload(contents, bytes.substr(begin, length))) return broke_down(Breakdown::disk_corrupt);
    place = begin + length;
  }
  return place;
}

}  // namespace weldsail
