#include "sim/backchecks.hpp"

#include "core/consensus/register.hpp"

namespace weldsail::sim {

std::vector<std::string> back_faults(const Fleet& fleet) {
  constexpr Moment order_gap = 2900;
  std::vector<std::string> faults;
  for (const auto& address : fleet.backs->addresses()) {
    const auto& model = fleet.backs->model(address);
    if (model.breaches() > 0) faults.push_back(address + " was told to load beyond its room or places");
    if (model.late_asks() > 0) faults.push_back(address + " got work while draining for over 3 s");
    const BackOrder* last = nullptr;
    Moment switched = -order_gap;
    for (const auto& order : model.orders()) {
      if (last != nullptr && order.epoch % epoch_stride != last->epoch % epoch_stride) {
        if (order.arrived - switched < order_gap) faults.push_back(address + " was handed back and forth");
        if (order.epoch < last->epoch && order.answer < 300) faults.push_back(address + " obeyed a stale order");
        switched = order.arrived;
      }
      last = &order;
    }
  }
  const auto& pulls = fleet.backs->store().pulls;
  const auto rate = fleet.plan.loads_per_s;
  const auto most = rate < 1 ? std::size_t{1} : static_cast<std::size_t>(rate);
  const auto span = rate < 1 ? 1000 / rate : 1000;
  for (std::size_t place = most; place < pulls.size(); ++place)
    if (static_cast<double>(pulls[place] - pulls[place - most]) < span)
      faults.push_back("the store was pulled from too fast at " + std::to_string(pulls[place]));
  if (fleet.backs->asked_too_fast() > 0) faults.emplace_back("the platform was asked too fast");
  return faults;
}

}  // namespace weldsail::sim
