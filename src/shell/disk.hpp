#pragma once
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/effect.hpp"
#include "shell/diskframe.hpp"
#include "shell/fileoperations.hpp"
#include "shell/loop.hpp"

namespace weldsail {

/// Bytes up to which a file isn't rewritten, however little of it is live.
inline constexpr std::size_t least_rewritten = 1U << 20U;

/// The file of checksummed frames; used by the disk thread alone once it runs.
///
/// A failed append leaves nothing behind that a later one builds on: the file's tail is cut, or the file written anew.
class DiskFile {
 public:
  explicit DiskFile(FileOperations files = system_file_operations(), std::size_t rewrite_least = least_rewritten)
      : files_(std::move(files)), rewrite_least_(rewrite_least) {}
  DiskFile(const DiskFile&) = delete;
  DiskFile& operator=(const DiskFile&) = delete;
  ~DiskFile();
  /// Opens or formats the folder and reads its records.
  std::error_code open(const std::string& folder);
  /// Appends records as one frame and syncs them; where it fails they may be there after a restart or not.
  std::error_code append(const DiskRecords& records);
  const Records& image() const { return contents_.records; }
  std::size_t syncs() const { return syncs_; }

 private:
  std::error_code make_folder();
  std::error_code write_group(const std::string& frame);
  /// Removes what a failed append may have left behind the last whole frame.
  std::error_code cut_tail();
  /// Writes the contents into a new file, which then takes the old one's name.
  std::error_code rewrite();
  std::string state_path() const { return folder_ + "/state"; }
  std::string rewrite_path() const { return folder_ + "/state.new"; }
  FileOperations files_;
  std::size_t rewrite_least_;
  std::string folder_;
  int descriptor_ = -1;
  int lock_ = -1;
  /// Bytes of the frames that were synced.
  std::size_t size_ = 0;
  /// No rewrite is tried before the file has this size.
  std::size_t rewrite_again_at_ = 0;
  std::size_t syncs_ = 0;
  bool tail_in_doubt_ = false;
  /// The file's name may lead to an older file after a loss of power.
  bool name_in_doubt_ = false;
  DiskContents contents_;
};

/// The disk as the loop sees it: hands records to a thread of its own and tells when they are synced.
///
/// The thread has one group at a time. What comes meanwhile waits here, the newest record of each name only.
class Disk {
 public:
  Disk(Loop& loop, std::string folder, FileOperations files = system_file_operations());
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;
  ~Disk();
  /// Reads the folder; call before the first persist.
  Outcome<Records> start();
  void persist(const Persist& effect);
  /// Bytes of the records that wait for the group before them.
  std::size_t waiting_bytes() const;
  sigc::signal<void(const Persisted&)> persisted;

 private:
  struct Group;
  void hand_over();
  void serve();
  void collect();
  std::string folder_;
  DiskFile file_;
  int to_thread_[2];
  int to_loop_[2];
  std::thread thread_;
  std::optional<Readable> readable_;
  std::unique_ptr<Group> waiting_;
  bool handed_over_ = false;
  Loop& loop_;
};

}  // namespace weldsail
