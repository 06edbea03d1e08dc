#pragma once
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/effect.hpp"
#include "core/forwarding/outcome.hpp"
#include "shell/loop.hpp"

namespace weldsail {

/// The file of checksummed frames; used by the disk thread alone once it runs.
class DiskFile {
 public:
  DiskFile() = default;
  DiskFile(const DiskFile&) = delete;
  DiskFile& operator=(const DiskFile&) = delete;
  ~DiskFile();
  /// Opens or formats the folder and reads its records.
  std::error_code open(const std::string& folder);
  /// Appends records as one frame and syncs them.
  std::error_code append(const std::vector<std::pair<std::string, std::string>>& records);
  const Records& image() const { return image_; }
  std::size_t syncs() const { return syncs_; }

 private:
  std::error_code read_frames(const std::string& bytes);
  std::error_code rewrite();
  std::string folder_;
  int descriptor_ = -1;
  int lock_ = -1;
  std::size_t size_ = 0;
  std::size_t live_size_ = 0;
  std::size_t syncs_ = 0;
  bool doubtful_ = false;
  Records image_;
};

/// The disk as the loop sees it: hands records to a thread of its own and tells when they are synced.
class Disk {
 public:
  Disk(Loop& loop, const std::string& folder);
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;
  ~Disk();
  /// Reads the folder; call before the first persist.
  Outcome<Records> start();
  void persist(const Persist& effect);
  sigc::signal<void(const Persisted&)> persisted;

 private:
  struct Job;
  void serve();
  void collect();
  std::string folder_;
  DiskFile file_;
  int to_thread_[2];
  int to_loop_[2];
  std::thread thread_;
  std::optional<Readable> readable_;
  Loop& loop_;
};

}  // namespace weldsail
