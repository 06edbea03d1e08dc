#include "shell/fileoperations.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

namespace weldsail {
namespace {

constexpr mode_t owner_only = 0600;
constexpr mode_t owner_only_folder = 0700;

int lock_system_file(const std::string& path) {
  const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, owner_only);
  if (descriptor < 0 || flock(descriptor, LOCK_EX | LOCK_NB) == 0) return descriptor;
  const int cause = errno;
  ::close(descriptor);
  errno = cause;
  return -1;
}

int sync_system_folder(const std::string& folder) {
  const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return -1;
  const int result = fsync(descriptor);
  const int cause = errno;
  ::close(descriptor);
  errno = cause;
  return result;
}

}  // namespace

FileOperations system_file_operations() {
  FileOperations operations;
  operations.make_folder = [](const std::string& folder) { return ::mkdir(folder.c_str(), owner_only_folder); };
  operations.lock = lock_system_file;
  operations.open = [](const std::string& path, int flags) {
    return ::open(path.c_str(), flags | O_CLOEXEC, owner_only);
  };
  operations.read = [](int descriptor, char* bytes, std::size_t size) { return ::read(descriptor, bytes, size); };
  operations.write = [](int descriptor, const char* bytes, std::size_t size) {
    return ::write(descriptor, bytes, size);
  };
  operations.truncate = [](int descriptor, off_t length) { return ::ftruncate(descriptor, length); };
  operations.sync = [](int descriptor) { return ::fdatasync(descriptor); };
  operations.sync_folder = sync_system_folder;
  operations.rename = [](const std::string& from, const std::string& to) {
    return std::rename(from.c_str(), to.c_str());
  };
  operations.remove = [](const std::string& path) { return ::unlink(path.c_str()); };
  operations.close = [](int descriptor) { return ::close(descriptor); };
  return operations;
}

}  // namespace weldsail
