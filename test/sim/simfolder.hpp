#pragma once
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "shell/fileoperations.hpp"
#include "sim/world.hpp"

namespace weldsail::sim {

/// Thrown by the operation at which the power goes.
struct PowerLost {};

/// A folder of files that tells what is durable from what isn't, and can break off at any operation.
///
/// After a loss of power a file holds what its last sync covered; each later write is there, missing or torn, and each
/// name that was made, renamed or removed without a sync of the folder is kept or lost by itself.
class SimFolder {
 public:
  explicit SimFolder(std::uint64_t seed) : chance_(seed) {}
  FileOperations operations();

  /// The operation with this number (from 1, counted over the folder's life) loses the power halfway; 0 for none.
  std::uint64_t power_lost_at = 0;
  /// The operation with this number fails; a write fails halfway.
  std::uint64_t fails_at = 0;
  int failure = 5;
  /// Every operation that would change or sync something fails.
  bool refuses = false;
  /// Bytes that all files together may take.
  std::size_t room = SIZE_MAX;
  /// Syncs of folders do nothing, as if they weren't made.
  bool ignores_folder_syncs = false;

  /// Ends the process: what it wrote stays.
  void end_process() { open_.clear(); }
  /// Ends the process and decides what of the unsynced survives.
  void lose_power();
  std::uint64_t operations_done() const { return done_; }
  std::size_t bytes() const;
  /// The bytes of a file as a process reads them; empty when there is none.
  std::string content(const std::string& path) const;
  void set_content(const std::string& path, std::string bytes);
  bool has(const std::string& path) const { return names_.contains(path); }

 private:
  struct Change {
    std::size_t place = 0;
    std::string bytes;
    std::optional<std::size_t> length;
  };
  struct File {
    std::string bytes;
    std::string durable;
    std::vector<Change> unsynced;
  };
  using FilePointer = std::shared_ptr<File>;
  /// One name that is made (a file, no `from`), renamed or removed (no file).
  struct NameChange {
    std::string name;
    FilePointer file;
    std::string from;
  };
  /// Counts an operation; false when it is to fail.
  bool begin();
  void cut(bool lost);
  int open(const std::string& path, int flags);
  ssize_t read(int descriptor, char* bytes, std::size_t size);
  ssize_t write(int descriptor, const char* bytes, std::size_t size);
  int truncate(int descriptor, std::size_t length);
  int sync(int descriptor);
  int sync_folder();
  int rename(const std::string& from, const std::string& to);
  int remove(const std::string& path);
  void apply(std::map<std::string, FilePointer>& names, const NameChange& change, bool add, bool drop) const;
  void lose_writes(File& file, bool all);

  Chance chance_;
  std::uint64_t done_ = 0;
  bool lost_now_ = false;
  std::map<std::string, FilePointer> names_;
  std::map<std::string, FilePointer> durable_names_;
  std::vector<NameChange> unsynced_names_;
  std::map<int, std::pair<FilePointer, std::size_t>> open_;
  int next_descriptor_ = 100;
};

}  // namespace weldsail::sim
