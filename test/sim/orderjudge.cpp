// The judgement of the senders' record by the plain model.
#include <algorithm>

#include "sim/ordersenders.hpp"

namespace weldsail::sim {
namespace {

bool unclear(int status) { return status == 0 || status >= 500 || status == 408 || status == 429; }

}  // namespace

OrderSenders::Taken OrderSenders::replay() const {
  Taken taken;
  PlainConfig current;
  for (const auto& [version, document] : committed_) {
    const auto brought = plain_config(document, dialect_, version);
    std::vector<std::size_t> fitting;
    for (std::size_t order = 0; order < orders_.size(); ++order)
      if (plain_change(current, orders_[order]) == brought) fitting.push_back(order);
    if (fitting.size() != 1)
      taken.faults.push_back("version " + std::to_string(version) + " is brought by " + std::to_string(fitting.size()) +
                             " orders");
    taken.orders.push_back(fitting.empty() ? orders_.size() : fitting.front());
    taken.configs.push_back(brought);
    current = brought;
  }
  return taken;
}

std::string OrderSenders::wrong_answer(const Taken& taken, const OrderAnswered& answer) const {
  const bool was_taken = std::ranges::find(taken.orders, answer.order) != taken.orders.end();
  const auto name = "order " + std::to_string(answer.order);
  if (answer.status == 200 && !was_taken) return name + " acknowledged, but never taken";
  if (was_taken && answer.status != 200 && (!unclear(answer.status) || answer.outcome == "refused"))
    return name + " taken, but refused with " + std::to_string(answer.status);
  return {};
}

std::vector<std::string> OrderSenders::faults() const {
  const auto taken = replay();
  auto faults = slips_;
  faults.insert(faults.end(), taken.faults.begin(), taken.faults.end());
  std::map<std::uint64_t, std::size_t> acknowledged;
  for (const auto& answer : answers_) {
    if (auto wrong = wrong_answer(taken, answer); !wrong.empty()) faults.push_back(std::move(wrong));
    if (answer.status != 200) continue;
    const auto number = orders_[answer.order].number;
    if (acknowledged.try_emplace(number, answer.order).first->second != answer.order)
      faults.push_back("two orders acknowledged under number " + std::to_string(number));
  }
  return faults;
}

std::string OrderSenders::wrong_in_calm(const Taken& taken, const OrderAnswered& answer) const {
  const auto& order = orders_[answer.order];
  const auto place = std::ranges::find(taken.orders, answer.order) - taken.orders.begin();
  const auto count = static_cast<std::ptrdiff_t>(taken.orders.size());
  const auto kept = std::min(count, static_cast<std::ptrdiff_t>(remembered));
  const auto oldest = count == kept ? 0 : taken.configs[static_cast<std::size_t>(count - kept - 1)].number;
  const auto status = std::to_string(answer.status);
  const auto name = "in calm times order " + std::to_string(answer.order);
  if (place < count && place >= count - kept) return answer.status == 200 ? "" : name + " remembered, but " + status;
  if (place < count) return unclear(answer.status) ? "" : name + " taken long ago, but " + status;
  if (order.base < oldest) return unclear(answer.status) ? "" : name + " on a forgotten base, but " + status;
  return answer.status == (dialect_ ? 412 : 409) ? "" : name + " never taken, but " + status;
}

std::vector<std::string> OrderSenders::examine() {
  answers_lost = 0;
  const auto before = replay();
  std::vector<std::string> faults;
  const auto count = orders_.size();
  for (std::size_t order = 0; order < count; ++order) {
    // What has still the number in force as its base would be taken now.
    if (!before.configs.empty() && orders_[order].base == before.configs.back().number) continue;
    const auto place = answers_.size();
    send(order, 1, [] {});
    for (int wait = 0; wait < 20 && answers_[place].status == 0; ++wait) world_.run_until(world_.now() + 50);
    if (auto wrong = wrong_in_calm(before, answers_[place]); !wrong.empty()) faults.push_back(std::move(wrong));
  }
  if (replay().orders.size() != before.orders.size()) faults.emplace_back("a repeat was taken as a new change");
  return faults;
}

}  // namespace weldsail::sim
