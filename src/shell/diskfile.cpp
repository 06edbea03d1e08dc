#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <ranges>

#include "shell/disk.hpp"

namespace weldsail {
namespace {

constexpr std::size_t rewrite_ratio = 4;
/// After a rewrite that failed the next is tried once the file has grown by this part of the live content.
constexpr std::size_t rewrite_retry_ratio = 4;

std::error_code last_error() { return {errno, std::generic_category()}; }

bool write_all(const FileOperations& files, int descriptor, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto wrote = files.write(descriptor, bytes.data() + done, bytes.size() - done);
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote == 0) errno = ENOSPC;
    if (wrote <= 0) return false;
    done += static_cast<std::size_t>(wrote);
  }
  return true;
}

std::string parent_of(const std::string& folder) {
  const auto end = folder.find_last_not_of('/');
  const auto slash = end == std::string::npos ? end : folder.find_last_of('/', end);
  if (slash == std::string::npos) return ".";
  return slash == 0 ? "/" : folder.substr(0, slash);
}

}  // namespace

DiskFile::~DiskFile() {
  if (descriptor_ >= 0) files_.close(descriptor_);
  if (lock_ >= 0) files_.close(lock_);
}

std::error_code DiskFile::make_folder() {
  if (files_.make_folder(folder_) != 0) return errno == EEXIST ? std::error_code() : last_error();
  // Else a loss of power could take the folder with all that was synced in it.
  return files_.sync_folder(parent_of(folder_)) == 0 ? std::error_code() : last_error();
}

std::error_code DiskFile::open(const std::string& folder) {
  folder_ = folder;
  if (const auto cause = make_folder()) return cause;
  lock_ = files_.lock(folder + "/lock");
  if (lock_ < 0) return last_error();
  // What a rewrite that was broken off has left takes room for nothing.
  files_.remove(rewrite_path());
  descriptor_ = files_.open(state_path(), O_RDWR | O_CREAT | O_APPEND);
  if (descriptor_ < 0) return last_error();
  std::string bytes;
  char part[1U << 16U];
  for (ssize_t got = 0; (got = files_.read(descriptor_, part, sizeof(part))) != 0;) {
    if (got < 0) return last_error();
    bytes.append(part, static_cast<std::size_t>(got));
  }
  const auto whole = read_disk_frames(bytes, contents_);
  if (!whole) return whole.error();
  size_ = *whole;
  if (size_ < bytes.size() && files_.truncate(descriptor_, static_cast<off_t>(size_)) != 0) return last_error();
  if (files_.sync(descriptor_) != 0) return last_error();
  return files_.sync_folder(folder) == 0 ? std::error_code() : last_error();
}

std::error_code DiskFile::append(const DiskRecords& records) {
  if (tail_in_doubt_)
    if (const auto cause = cut_tail()) return cause;
  DiskRecords before;
  for (const auto& [name, bytes] : records) {
    const auto found = contents_.records.find(name);
    before.emplace_back(name, found == contents_.records.end() ? std::string() : found->second);
    contents_.apply(name, bytes);
  }
  const auto cause = write_group(encode_disk_frame(records));
  if (!cause) return cause;
  for (const auto& [name, bytes] : before | std::views::reverse) contents_.apply(name, bytes);
  return cause;
}

std::error_code DiskFile::write_group(const std::string& frame) {
  if (name_in_doubt_) return rewrite();
  const auto most = std::max({rewrite_least_, rewrite_ratio * contents_.live_size, rewrite_again_at_});
  if (size_ + frame.size() > most) {
    const auto cause = rewrite();
    if (!cause || name_in_doubt_) return cause;
    // There may be no room for a second copy, but there may be for the frame.
    rewrite_again_at_ = size_ + contents_.live_size / rewrite_retry_ratio;
  }
  if (write_all(files_, descriptor_, frame) && files_.sync(descriptor_) == 0) {
    size_ += frame.size();
    ++syncs_;
    return {};
  }
  // A rewrite wouldn't help: it needs room for the same records and more.
  tail_in_doubt_ = true;
  return last_error();
}

std::error_code DiskFile::cut_tail() {
  if (files_.truncate(descriptor_, static_cast<off_t>(size_)) != 0 || files_.sync(descriptor_) != 0)
    return last_error();
  tail_in_doubt_ = false;
  return {};
}

std::error_code DiskFile::rewrite() {
  const auto path = rewrite_path();
  const int fresh = files_.open(path, O_RDWR | O_CREAT | O_TRUNC | O_APPEND);
  if (fresh < 0) return last_error();
  const auto frame = encode_disk_frame(contents_.records);
  std::error_code cause;
  if (!write_all(files_, fresh, frame) || files_.sync(fresh) != 0) {
    cause = last_error();
  } else if (files_.rename(path, state_path()) != 0) {
    cause = last_error();
    name_in_doubt_ = true;
  }
  if (cause) {
    files_.close(fresh);
    files_.remove(path);
    return cause;
  }
  files_.close(descriptor_);
  descriptor_ = fresh;
  size_ = frame.size();
  tail_in_doubt_ = false;
  rewrite_again_at_ = 0;
  ++syncs_;
  cause = files_.sync_folder(folder_) == 0 ? std::error_code() : last_error();
  name_in_doubt_ = static_cast<bool>(cause);
  return cause;
}

}  // namespace weldsail
