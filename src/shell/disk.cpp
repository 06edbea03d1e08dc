#include "shell/disk.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <memory>

namespace weldsail {

struct Disk::Job {
  std::vector<std::uint64_t> tokens;
  std::vector<std::pair<std::string, std::string>> records;
  bool kept = false;
};

Disk::Disk(Loop& loop, const std::string& folder)
    : folder_(folder), to_thread_{-1, -1}, to_loop_{-1, -1}, loop_(loop) {}

Disk::~Disk() {
  if (!thread_.joinable()) return;
  close(to_thread_[1]);
  thread_.join();
  close(to_thread_[0]);
  readable_.reset();
  close(to_loop_[1]);
}

Outcome<Records> Disk::start() {
  if (const auto cause = file_.open(folder_)) return std::unexpected(cause);
  const auto image = file_.image();
  if (pipe2(to_thread_, O_CLOEXEC) != 0 || pipe2(to_loop_, O_CLOEXEC) != 0)
    return std::unexpected(std::error_code(errno, std::generic_category()));
  fcntl(to_loop_[0], F_SETFL, O_NONBLOCK);
  fcntl(to_thread_[1], F_SETFL, O_NONBLOCK);
  readable_.emplace(loop_, to_loop_[0], [this] { collect(); });
  thread_ = std::thread([this] { serve(); });
  return image;
}

void Disk::persist(const Persist& effect) {
  auto job = std::make_unique<Job>();
  job->tokens.push_back(effect.token);
  job->records = effect.records;
  auto* raw = job.release();
  if (write(to_thread_[1], &raw, sizeof(raw)) == static_cast<ssize_t>(sizeof(raw))) return;
  delete raw;
  persisted.emit({effect.token, false});
}

void Disk::serve() {
  Job* jobs[256];
  while (true) {
    const auto got = read(to_thread_[0], jobs, sizeof(jobs));
    if (got <= 0) return;
    const auto count = static_cast<std::size_t>(got) / sizeof(Job*);
    std::unique_ptr<Job> group(jobs[0]);
    for (std::size_t place = 1; place < count; ++place) {
      const std::unique_ptr<Job> other(jobs[place]);
      group->tokens.push_back(other->tokens.front());
      for (auto& record : other->records) group->records.push_back(std::move(record));
    }
    group->kept = !file_.append(group->records);
    auto* raw = group.release();
    if (write(to_loop_[1], &raw, sizeof(raw)) != static_cast<ssize_t>(sizeof(raw))) delete raw;
  }
}

void Disk::collect() {
  Job* raw = nullptr;
  while (read(to_loop_[0], &raw, sizeof(raw)) == static_cast<ssize_t>(sizeof(raw))) {
    const std::unique_ptr<Job> job(raw);
    for (const auto token : job->tokens) persisted.emit({token, job->kept});
  }
}

}  // namespace weldsail
