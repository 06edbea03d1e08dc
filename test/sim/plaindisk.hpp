#pragma once
#include "shell/disk.hpp"
#include "sim/simfolder.hpp"

namespace weldsail::sim {

using Group = std::vector<std::pair<std::string, std::string>>;

/// The plain model of a disk: a map of what was synced, and the groups since then that nobody was told of.
class PlainDisk {
 public:
  /// A group goes to the disk.
  void begin(const Group& group) { in_doubt_.push_back(group); }
  /// The newest group was synced: it stays, and nothing that failed before it can come back.
  void synced();
  /// Takes what a start has read, or says what is wrong with it.
  std::string read(const Records& image);
  const Records& records() const { return records_; }

 private:
  Records records_;
  std::vector<Group> in_doubt_;
};

/// The real file code on a simulated folder beside the plain model.
class ModelledDisk {
 public:
  /// Small files by default, so that rewrites come often.
  explicit ModelledDisk(std::uint64_t seed, std::size_t rewrite_least = 16U << 10U)
      : folder(seed), rewrite_least_(rewrite_least) {}
  /// Starts the disk; the first fault is kept.
  bool start();
  /// Hands a group over; false when it failed or the power went.
  bool append(const Group& group);
  void lose_power();
  void end_process();
  std::size_t file_bytes() const { return folder.content("sim/state").size(); }
  bool powered() const { return powered_; }

  SimFolder folder;
  std::string fault;
  std::uint64_t rewrites = 0;

 private:
  std::size_t rewrite_least_;
  std::optional<DiskFile> file_;
  PlainDisk plain_;
  bool powered_ = true;
};

/// A group of one to three records of a few names, some of them removals.
Group random_group(Chance& chance, std::size_t bytes_most);

}  // namespace weldsail::sim
