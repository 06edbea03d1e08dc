#pragma once
#include <string>
#include <utility>
#include <vector>

#include "core/event.hpp"
#include "core/forwarding/outcome.hpp"

namespace weldsail {

/// Records that become durable together; empty bytes remove a name.
using DiskRecords = std::vector<std::pair<std::string, std::string>>;

/// The newest record under each name, and the bytes that they take in a file that holds nothing else.
struct DiskContents {
  Records records;
  std::size_t live_size = 0;
  void apply(const std::string& name, const std::string& bytes);
};

/// One frame with the records: mark, length, payload checksum, checksum of the header, payload.
std::string encode_disk_frame(const DiskRecords& records);
/// The same with all of the contents.
std::string encode_disk_frame(const Records& records);
/// Reads a file's frames; the length of those that are whole, behind which stands a torn tail at most.
/// `disk_corrupt` for damage that no loss of power explains, `disk_newer` for a newer release's file.
Outcome<std::size_t> read_disk_frames(const std::string& bytes, DiskContents& contents);

}  // namespace weldsail
