#include "asker.hpp"

#include <cstdlib>

namespace weldsail::soak {

Asker::Asker(Loop& loop) : client_(loop) {
  client_.told.connect([this](const Event& event) {
    const auto pipe = std::visit(
        [](const auto& item) -> std::uint64_t {
          if constexpr (requires { item.pipe; }) return item.pipe;
          return 0;
        },
        event);
    const auto found = open_.find(pipe);
    if (found != open_.end()) reply_take(found->second.reply, event, found->second.ended);
  });
}

void Asker::ask(const Question& question, Take take) {
  const auto pipe = next_++;
  open_[pipe].take = std::move(take);
  client_.open({pipe, question.address, question.method, question.path, question.headers, question.body, true,
                monotonic_now() + question.within});
}

void Asker::tick(Moment now) {
  client_.sweep(now);
  std::vector<Open> ended;
  for (auto item = open_.begin(); item != open_.end();) {
    if (item->second.ended) ended.push_back(std::move(item->second));
    item = item->second.ended ? open_.erase(item) : std::next(item);
  }
  for (const auto& item : ended) item.take(item.reply);
}

std::uint64_t version_of(const Reply& reply) {
  for (const auto& header : reply.headers)
    if (header.name == "weldsail-version") return std::strtoull(header.value.c_str(), nullptr, 10);
  return 0;
}

}  // namespace weldsail::soak
