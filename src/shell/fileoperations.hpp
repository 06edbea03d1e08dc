#pragma once
#include <sys/types.h>

#include <functional>
#include <string>

namespace weldsail {

/// The file operations that a disk is made of, with the results and errno of the system calls of the same name.
/// A test puts a simulated folder in their place.
struct FileOperations {
  std::function<int(const std::string& folder)> make_folder;
  /// Opens a file that only one process may have open so.
  std::function<int(const std::string& path)> lock;
  std::function<int(const std::string& path, int flags)> open;
  std::function<ssize_t(int descriptor, char* bytes, std::size_t size)> read;
  std::function<ssize_t(int descriptor, const char* bytes, std::size_t size)> write;
  /// Sets the length of a file.
  std::function<int(int descriptor, off_t length)> truncate;
  /// Makes a file's bytes and length durable.
  std::function<int(int descriptor)> sync;
  /// Makes the names in a folder durable.
  std::function<int(const std::string& folder)> sync_folder;
  std::function<int(const std::string& from, const std::string& to)> rename;
  std::function<int(const std::string& path)> remove;
  std::function<int(int descriptor)> close;
};

/// The operating system's own.
FileOperations system_file_operations();

}  // namespace weldsail
