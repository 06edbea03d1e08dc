#pragma once
#include "sim/fleet.hpp"

namespace weldsail::sim {

/// The trouble of a day, of every kind that the brief names.
struct Day {
  Fleet& fleet;
  Moment trouble_end = 0;
  std::vector<std::string> workers;

  const std::string& any(const std::vector<std::string>& names) {
    return names[fleet.world.chance.below(names.size())];
  }
  std::string holder_or_any() {
    const auto holder = fleet.holder(placement_key);
    return !holder.empty() && fleet.world.chance.happens(0.6) ? holder : any(fleet.controls);
  }
  void later(Moment least, Moment most, std::function<void()> action) {
    fleet.world.at(fleet.world.now() + fleet.world.chance.between(least, most), std::move(action));
  }
  void restart_later(const std::string& address) {
    later(500, 6000, [this, address] {
      if (!fleet.world.node(address).alive) fleet.world.start(address);
    });
  }
  void back_trouble(const std::string& worker) {
    auto& backs = *fleet.backs;
    switch (fleet.world.chance.below(7)) {
      case 0:
        backs.control(worker, "kill");
        later(2000, 12000, [&backs, worker] { backs.control(worker, "revive"); });
        break;
      case 1:
        backs.control(worker, "freeze");
        later(500, 9000, [&backs, worker] { backs.control(worker, "wake"); });
        break;
      case 2:
        backs.control(worker, "drain");
        later(4000, 12000, [&backs, worker] { backs.control(worker, "undrain"); });
        break;
      case 3: backs.control(worker, "cut"); break;
      case 4: {
        const auto service = backs.model(worker).plan().service;
        if (service.starts_with("another")) break;
        backs.control(worker, "service:another");
        later(2000, 15000, [&backs, worker, service] { backs.control(worker, "service:" + service); });
        break;
      }
      case 5:
        backs.control(worker, "refuse_unload");
        later(4000, 12000, [&backs, worker] { backs.control(worker, "obey_unload"); });
        break;
      default: backs.control(worker, "empty");
    }
  }
  void cut_some() {
    std::set<std::string> left;
    std::set<std::string> right;
    for (const auto& [address, node] : fleet.world.nodes())
      (fleet.world.chance.happens(0.3) ? left : right).insert(address);
    for (const auto& worker : workers) (fleet.world.chance.happens(0.3) ? left : right).insert(worker);
    if (fleet.world.chance.happens(0.3))
      fleet.world.cut_one_way(left, right);
    else
      fleet.world.cut(left, right);
    later(1000, 9000, [this] { fleet.world.heal(); });
  }
  void trouble() {
    auto& world = fleet.world;
    if (world.now() >= trouble_end) return;
    switch (world.chance.below(12)) {
      case 0: {
        const auto node = holder_or_any();
        world.kill(node);
        restart_later(node);
        break;
      }
      case 1: {
        const auto node = holder_or_any();
        world.freeze(node);
        later(500, 9000, [&world, node] { world.wake(node); });
        break;
      }
      case 2: {
        const auto node = any(fleet.datas);
        world.kill(node);
        restart_later(node);
        break;
      }
      case 3: {
        const auto node = any(fleet.datas);
        world.freeze(node);
        later(500, 5000, [&world, node] { world.wake(node); });
        break;
      }
      case 4: cut_some(); break;
      case 5: {
        const auto node = any(fleet.datas);
        world.leave(node);
        restart_later(node);
        break;
      }
      case 6: {
        auto& node = world.node(holder_or_any());
        node.disk_full = true;
        later(500, 6000, [&node] { node.disk_full = false; });
        break;
      }
      case 7: world.node(holder_or_any()).disk_free_at = world.now() + world.chance.between(1000, 10000); break;
      case 8: {
        const auto several = 2 + world.chance.below(3);
        for (std::uint64_t count = 0; count < several; ++count) {
          const auto node = world.chance.happens(0.5) ? any(fleet.controls) : any(fleet.datas);
          world.kill(node);
          restart_later(node);
        }
        break;
      }
      default: back_trouble(any(workers));
    }
    later(300, 6000, [this] { trouble(); });
  }
  void mend() {
    auto& world = fleet.world;
    world.heal();
    for (auto& [address, node] : world.nodes()) {
      world.wake(address);
      node.disk_full = false;
      if (!node.alive) world.start(address);
    }
    for (const auto& worker : workers)
      for (const auto* action : {"revive", "wake", "undrain", "obey_unload", "service:"})
        fleet.backs->control(worker, action);
  }
  /// Shortly before the end: the last thing that was accepted must outlive it.
  void closing_fault(std::uint64_t kind) {
    auto& world = fleet.world;
    if (kind == 0) {
      for (const auto& [address, node] : world.nodes()) {
        world.kill(address);
        restart_later(address);
      }
    } else if (kind == 1) {
      const auto node = any(fleet.controls);
      world.kill(node);
      world.empty_disk(node);
      restart_later(node);
    } else {
      const auto node = holder_or_any();
      world.freeze(node);
      later(4000, 9000, [&world, node] { world.wake(node); });
    }
  }
};

}  // namespace weldsail::sim
