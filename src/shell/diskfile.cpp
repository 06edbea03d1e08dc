#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>

#include <cstring>

#include "shell/disk.hpp"

namespace weldsail {
namespace {

constexpr std::uint32_t frame_mark = 0x31534c57;
constexpr std::uint32_t mark_family = 0x00534c57;
constexpr std::uint32_t mark_release = 24;
constexpr std::size_t header_size = 16;
constexpr std::size_t pair_size = 8;
constexpr std::size_t rewrite_least = 1U << 20U;
constexpr std::size_t rewrite_ratio = 4;

std::error_code last_error() { return {errno, std::generic_category()}; }

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
std::string make_frame(const Container& records) {
  std::string payload;
  for (const auto& [name, bytes] : records) {
    put_number(payload, static_cast<std::uint32_t>(name.size()));
    put_number(payload, static_cast<std::uint32_t>(bytes.size()));
    payload += name + bytes;
  }
  std::string frame;
  put_number(frame, frame_mark);
  put_number(frame, static_cast<std::uint32_t>(payload.size()));
  put_number(frame, checksum(payload.data(), payload.size()));
  put_number(frame, checksum(frame.data(), frame.size()));
  return frame + payload;
}

bool write_all(int descriptor, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto wrote = write(descriptor, bytes.data() + done, bytes.size() - done);
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote <= 0) return false;
    done += static_cast<std::size_t>(wrote);
  }
  return true;
}

std::error_code sync_folder(const std::string& folder) {
  const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return last_error();
  const auto cause = fsync(descriptor) == 0 ? std::error_code() : last_error();
  close(descriptor);
  return cause;
}

void apply(Records& image, std::size_t& live_size, const std::string& name, const std::string& bytes) {
  const auto found = image.find(name);
  if (found != image.end()) live_size -= name.size() + found->second.size() + pair_size;
  if (bytes.empty()) {
    if (found != image.end()) image.erase(found);
    return;
  }
  image[name] = bytes;
  live_size += name.size() + bytes.size() + pair_size;
}

bool read_payload(Records& image, std::size_t& live_size, const std::string& payload) {
  std::size_t place = 0;
  while (place < payload.size()) {
    if (payload.size() - place < pair_size) return false;
    const std::size_t name_size = get_number(payload, place);
    const std::size_t bytes_size = get_number(payload, place + 4);
    place += pair_size;
    if (payload.size() - place < name_size + bytes_size) return false;
    apply(image, live_size, payload.substr(place, name_size), payload.substr(place + name_size, bytes_size));
    place += name_size + bytes_size;
  }
  return true;
}

}  // namespace

DiskFile::~DiskFile() {
  if (descriptor_ >= 0) close(descriptor_);
  if (lock_ >= 0) close(lock_);
}

std::error_code DiskFile::open(const std::string& folder) {
  folder_ = folder;
  if (mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) return last_error();
  lock_ = ::open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0 || flock(lock_, LOCK_EX | LOCK_NB) != 0) return last_error();
  descriptor_ = ::open((folder + "/state").c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (descriptor_ < 0) return last_error();
  std::string bytes;
  char part[1U << 16U];
  for (ssize_t got = 0; (got = read(descriptor_, part, sizeof(part))) != 0;) {
    if (got < 0) return last_error();
    bytes.append(part, static_cast<std::size_t>(got));
  }
  if (const auto cause = read_frames(bytes)) return cause;
  if (size_ < bytes.size() && ftruncate(descriptor_, static_cast<off_t>(size_)) != 0) return last_error();
  if (fdatasync(descriptor_) != 0) return last_error();
  return sync_folder(folder);
}

std::error_code DiskFile::read_frames(const std::string& bytes) {
  std::size_t place = 0;
  while (place < bytes.size()) {
    const auto left = bytes.size() - place;
    if (left < header_size) break;
    const std::size_t length = get_number(bytes, place + 4);
    const bool marked = get_number(bytes, place) == frame_mark &&
                        checksum(bytes.data() + place, header_size - 4) == get_number(bytes, place + header_size - 4);
    const auto mark = get_number(bytes, place);
    const bool newer = (mark & ((1U << mark_release) - 1)) == mark_family &&
                       mark >> mark_release > frame_mark >> mark_release &&
                       checksum(bytes.data() + place, header_size - 4) == get_number(bytes, place + header_size - 4);
    if (newer) return make_error_code(Breakdown::disk_newer);
    const bool last =
        !marked ? bytes.find_first_not_of('\0', place) == std::string::npos : left - header_size <= length;
    const bool whole = marked && left - header_size >= length &&
                       checksum(bytes.data() + place + header_size, length) == get_number(bytes, place + 8);
    if (!whole && last) break;
    if (!whole || !read_payload(image_, live_size_, bytes.substr(place + header_size, length)))
      return make_error_code(Breakdown::disk_corrupt);
    place += header_size + length;
  }
  size_ = place;
  return {};
}

std::error_code DiskFile::append(const std::vector<std::pair<std::string, std::string>>& records) {
  std::vector<std::pair<std::string, std::string>> before;
  for (const auto& [name, bytes] : records) {
    const auto found = image_.find(name);
    before.emplace_back(name, found == image_.end() ? std::string() : found->second);
    apply(image_, live_size_, name, bytes);
  }
  const auto undo = [&] {
    for (auto item = before.rbegin(); item != before.rend(); ++item)
      apply(image_, live_size_, item->first, item->second);
    doubtful_ = true;
  };
  const auto frame = make_frame(records);
  if (doubtful_ || size_ + frame.size() > std::max(rewrite_least, rewrite_ratio * live_size_)) {
    const auto cause = rewrite();
    if (cause) undo();
    return cause;
  }
  if (write_all(descriptor_, frame) && fdatasync(descriptor_) == 0) {
    size_ += frame.size();
    ++syncs_;
    return {};
  }
  const auto cause = last_error();
  undo();
  return cause;
}

std::error_code DiskFile::rewrite() {
  const auto path = folder_ + "/state.new";
  const int fresh = ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (fresh < 0) return last_error();
  const auto frame = make_frame(image_);
  std::error_code cause;
  if (!write_all(fresh, frame) || fdatasync(fresh) != 0 || rename(path.c_str(), (folder_ + "/state").c_str()) != 0)
    cause = last_error();
  if (cause) {
    close(fresh);
    unlink(path.c_str());
    return cause;
  }
  close(descriptor_);
  descriptor_ = fresh;
  size_ = frame.size();
  ++syncs_;
  cause = sync_folder(folder_);
  doubtful_ = static_cast<bool>(cause);
  return cause;
}

}  // namespace weldsail
