#include "shell/disk.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <memory>
#include <utility>

namespace weldsail {

struct Disk::Group {
  std::vector<std::uint64_t> tokens;
  std::map<std::string, std::string> records;
  bool kept = false;
};

Disk::Disk(Loop& loop, std::string folder, FileOperations files)
    : folder_(std::move(folder)), file_(std::move(files)), to_thread_{-1, -1}, to_loop_{-1, -1}, loop_(loop) {}

Disk::~Disk() {
  if (!thread_.joinable()) return;
  if (waiting_) hand_over();
  close(to_thread_[1]);
  thread_.join();
  close(to_thread_[0]);
  Group* raw = nullptr;
  while (read(to_loop_[0], &raw, sizeof(raw)) == static_cast<ssize_t>(sizeof(raw))) delete raw;
  readable_.reset();
  close(to_loop_[1]);
}

Outcome<Records> Disk::start() {
  if (const auto cause = file_.open(folder_)) return std::unexpected(cause);
  const auto image = file_.image();
  if (pipe2(to_thread_, O_CLOEXEC) != 0 || pipe2(to_loop_, O_CLOEXEC) != 0)
    return std::unexpected(std::error_code(errno, std::generic_category()));
  fcntl(to_loop_[0], F_SETFL, O_NONBLOCK);
  readable_.emplace(loop_, to_loop_[0], [this] { collect(); });
  thread_ = std::thread([this] { serve(); });
  return image;
}

void Disk::persist(const Persist& effect) {
  if (!waiting_) waiting_ = std::make_unique<Group>();
  waiting_->tokens.push_back(effect.token);
  for (const auto& [name, bytes] : effect.records) waiting_->records[name] = bytes;
  if (!handed_over_) hand_over();
}

std::size_t Disk::waiting_bytes() const {
  std::size_t sum = 0;
  if (waiting_)
    for (const auto& [name, bytes] : waiting_->records) sum += name.size() + bytes.size();
  return sum;
}

void Disk::hand_over() {
  auto* raw = waiting_.release();
  handed_over_ = write(to_thread_[1], &raw, sizeof(raw)) == static_cast<ssize_t>(sizeof(raw));
  if (handed_over_) return;
  const std::unique_ptr<Group> group(raw);
  for (const auto token : group->tokens) persisted.emit({token, false});
}

void Disk::serve() {
  Group* raw = nullptr;
  while (read(to_thread_[0], &raw, sizeof(raw)) == static_cast<ssize_t>(sizeof(raw))) {
    std::unique_ptr<Group> group(raw);
    group->kept = !file_.append({group->records.begin(), group->records.end()});
    raw = group.release();
    if (write(to_loop_[1], &raw, sizeof(raw)) != static_cast<ssize_t>(sizeof(raw))) delete raw;
  }
}

void Disk::collect() {
  Group* raw = nullptr;
  while (read(to_loop_[0], &raw, sizeof(raw)) == static_cast<ssize_t>(sizeof(raw))) {
    const std::unique_ptr<Group> group(raw);
    handed_over_ = false;
    if (waiting_) hand_over();
    for (const auto token : group->tokens) persisted.emit({token, group->kept});
  }
}

}  // namespace weldsail
