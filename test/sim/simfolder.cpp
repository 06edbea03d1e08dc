#include "sim/simfolder.hpp"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace weldsail::sim {
namespace {

constexpr std::size_t sector = 512;

void put(std::string& target, std::size_t place, const std::string& bytes) {
  if (target.size() < place + bytes.size()) target.resize(place + bytes.size());
  std::copy(bytes.begin(), bytes.end(), target.begin() + static_cast<std::ptrdiff_t>(place));
}

int fail(int cause) {
  errno = cause;
  return -1;
}

}  // namespace

FileOperations SimFolder::operations() {
  FileOperations files;
  files.make_folder = [](const std::string&) { return fail(EEXIST); };
  files.lock = [](const std::string&) { return 1; };
  files.open = [this](const std::string& path, int flags) { return open(path, flags); };
  files.read = [this](int descriptor, char* bytes, std::size_t size) { return read(descriptor, bytes, size); };
  files.write = [this](int descriptor, const char* bytes, std::size_t size) { return write(descriptor, bytes, size); };
  files.truncate = [this](int descriptor, off_t length) {
    return truncate(descriptor, static_cast<std::size_t>(length));
  };
  files.sync = [this](int descriptor) { return sync(descriptor); };
  files.sync_folder = [this](const std::string&) { return sync_folder(); };
  files.rename = [this](const std::string& from, const std::string& to) { return rename(from, to); };
  files.remove = [this](const std::string& path) { return remove(path); };
  files.close = [this](int descriptor) { return open_.erase(descriptor) == 1 ? 0 : fail(EBADF); };
  return files;
}

bool SimFolder::begin() {
  ++done_;
  lost_now_ = done_ == power_lost_at;
  errno = refuses ? ENOSPC : failure;
  return !refuses && done_ != fails_at;
}

void SimFolder::cut(bool lost) {
  if (lost) throw PowerLost{};
}

int SimFolder::open(const std::string& path, int flags) {
  auto found = names_.find(path);
  if (found == names_.end() && (flags & O_CREAT) == 0) return fail(ENOENT);
  const bool makes = found == names_.end();
  const bool empties = !makes && (flags & O_TRUNC) != 0 && !found->second->bytes.empty();
  if (makes || empties) {
    if (!begin()) return -1;
  }
  if (makes) {
    found = names_.emplace(path, std::make_shared<File>()).first;
    unsynced_names_.push_back({path, found->second, {}});
  }
  if (empties) {
    found->second->bytes.clear();
    found->second->unsynced.push_back({0, {}, 0});
  }
  if (makes || empties) cut(lost_now_);
  open_[next_descriptor_] = {found->second, 0};
  return next_descriptor_++;
}

ssize_t SimFolder::read(int descriptor, char* bytes, std::size_t size) {
  auto& [file, place] = open_.at(descriptor);
  const auto count = std::min(size, file->bytes.size() - std::min(place, file->bytes.size()));
  std::memcpy(bytes, file->bytes.data() + place, count);
  place += count;
  return static_cast<ssize_t>(count);
}

ssize_t SimFolder::write(int descriptor, const char* bytes, std::size_t size) {
  const bool whole = begin();
  const int cause = errno;
  auto& file = *open_.at(descriptor).first;
  const auto taken = this->bytes();
  auto count = std::min(size, room - std::min(room, taken));
  if (!whole || lost_now_) count = refuses ? 0 : std::min(count, size / 2);
  Change change{file.bytes.size(), std::string(bytes, count), {}};
  put(file.bytes, change.place, change.bytes);
  if (count > 0) file.unsynced.push_back(std::move(change));
  cut(lost_now_);
  if (!whole) return fail(cause);
  return count == 0 && size > 0 ? fail(ENOSPC) : static_cast<ssize_t>(count);
}

int SimFolder::truncate(int descriptor, std::size_t length) {
  if (!begin()) return -1;
  auto& file = *open_.at(descriptor).first;
  file.bytes.resize(length);
  file.unsynced.push_back({0, {}, length});
  cut(lost_now_);
  return 0;
}

int SimFolder::sync(int descriptor) {
  if (!begin()) return -1;
  cut(lost_now_);
  const auto& file = open_.at(descriptor).first;
  file->durable = file->bytes;
  file->unsynced.clear();
  // A new file lasts through its own sync.
  std::erase_if(unsynced_names_, [&](const NameChange& change) {
    const bool made = change.file == file && change.from.empty();
    if (made) durable_names_[change.name] = file;
    return made;
  });
  return 0;
}

int SimFolder::sync_folder() {
  if (!begin()) return -1;
  cut(lost_now_);
  if (ignores_folder_syncs) return 0;
  durable_names_ = names_;
  unsynced_names_.clear();
  return 0;
}

void SimFolder::apply(std::map<std::string, FilePointer>& names, const NameChange& change, bool add, bool drop) const {
  if (add && change.file != nullptr) names[change.name] = change.file;
  if (!drop) return;
  if (!change.from.empty()) names.erase(change.from);
  if (change.file == nullptr) names.erase(change.name);
}

int SimFolder::rename(const std::string& from, const std::string& to) {
  if (!begin()) return -1;
  const auto found = names_.find(from);
  if (found == names_.end()) return fail(ENOENT);
  const NameChange change{to, found->second, from};
  apply(names_, change, true, true);
  unsynced_names_.push_back(change);
  cut(lost_now_);
  return 0;
}

int SimFolder::remove(const std::string& path) {
  if (!names_.contains(path)) return fail(ENOENT);
  if (!begin()) return -1;
  const NameChange change{path, nullptr, {}};
  apply(names_, change, true, true);
  unsynced_names_.push_back(change);
  cut(lost_now_);
  return 0;
}

void SimFolder::lose_writes(File& file, bool all) {
  auto bytes = file.durable;
  for (auto& change : file.unsynced) {
    const auto fate = all ? 0 : chance_.below(4);
    if (fate == 0) continue;
    if (change.length) {
      bytes.resize(*change.length);
    } else if (fate == 1) {
      put(bytes, change.place, change.bytes);
    } else if (fate == 2) {
      put(bytes, change.place, change.bytes.substr(0, chance_.below(change.bytes.size() + 1)));
    } else {
      // Any of the sectors that the write touches; a file that has grown reads zeros in the others.
      const auto end = change.place + change.bytes.size();
      for (auto place = change.place; place < end;) {
        const auto next = std::min(end, (place / sector + 1) * sector);
        if (chance_.happens(0.5)) put(bytes, place, change.bytes.substr(place - change.place, next - place));
        place = next;
      }
      if (bytes.size() < end && chance_.happens(0.5)) bytes.resize(end);
    }
  }
  file.bytes = file.durable = bytes;
  file.unsynced.clear();
}

void SimFolder::lose_power() {
  open_.clear();
  const bool all = chance_.happens(0.2);
  std::vector<FilePointer> files;
  for (const auto& [name, file] : names_) files.push_back(file);
  for (const auto& [name, file] : durable_names_) files.push_back(file);
  for (const auto& change : unsynced_names_)
    if (change.file != nullptr) files.push_back(change.file);
  for (const auto& file : files) lose_writes(*file, all);
  for (const auto& change : unsynced_names_)
    apply(durable_names_, change, !all && chance_.happens(0.5), !all && chance_.happens(0.5));
  names_ = durable_names_;
  unsynced_names_.clear();
}

std::size_t SimFolder::bytes() const {
  std::size_t sum = 0;
  for (const auto& [name, file] : names_) sum += file->bytes.size();
  return sum;
}

std::string SimFolder::content(const std::string& path) const {
  const auto found = names_.find(path);
  return found == names_.end() ? std::string() : found->second->bytes;
}

void SimFolder::set_content(const std::string& path, std::string bytes) {
  auto& file = names_[path];
  file = std::make_shared<File>();
  file->bytes = file->durable = std::move(bytes);
  durable_names_[path] = file;
}

}  // namespace weldsail::sim
