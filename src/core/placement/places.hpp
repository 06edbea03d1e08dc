#pragma once
#include "core/placement/line.hpp"

namespace weldsail {

/// A place for a unit, with the units that give way there.
struct Place {
  std::string identity;
  std::vector<std::string> victims;
  /// Milliseconds until the model may be there, with what the move costs others in the same measure.
  double cost = 0;
};

/// Where other models may give way: at no worker, where the model comes from the worker's own disk, or at any.
enum class GiveWay { nowhere, for_disk, anywhere };

/// The search for places within one turn: what it needs of each worker is gathered once, on the first search.
class PlaceSearch {
 public:
  explicit PlaceSearch(const PlanInput& input, const HolderPlan& plan) : input_(input), plan_(plan) {}
  /// The cheapest place for one more holder of the unit; none where no worker has room, or can make room
  /// where others may give way.
  std::optional<Place> best(const std::string& unit, GiveWay give_way);
  /// The worker is to hold other models than when it was gathered.
  void changed(const std::string& identity);
  /// A holder of the unit is about to give way.
  void gave_way(const std::string& unit);
  /// Megabytes that the service's emptiest worker has free in the plan.
  std::int64_t free_room(const std::string& service);

 private:
  /// A model that a worker is to hold.
  struct Resident {
    std::string unit;
    const UnitWants* wants = nullptr;
    std::int64_t weights = 0;
    double load_time = 0;
    bool cooling = false;
  };
  /// A worker that may be given models.
  struct Site {
    const WorkerBook* book = nullptr;
    const PlannedWorker* planned = nullptr;
    std::vector<Resident> residents;
    std::int64_t planned_weights = 0;
    /// What is worked out when the worker first comes into question.
    struct Costs {
      std::int64_t room_taken = 0;
      /// The part of the cost that is the same for all units.
      double load = 0;
    };
    std::optional<Costs> costs = {};
    /// Nothing there gives way to anybody, however urgent.
    std::optional<bool> all_stay = {};
  };
  using Sites = std::map<std::string, Site>;

  Sites& sites_of(const std::string& service);
  Site gather(const PathService& service, const PlannedWorker& worker, const WorkerBook& book) const;
  const Site::Costs& costs_of(Site& site, const PathService& service) const;
  std::optional<std::vector<const Resident*>> victims_at(const Site& site, const PathService& service,
                                                         std::int64_t weights, const UnitWants& taker);
  bool may_give_way(const Site& site, const Resident& resident, const UnitWants& taker);
  /// May give way to the most urgent taker that there can be.
  bool may_ever_give_way(const Site& site, const Resident& resident);
  bool all_stay(Site& site);
  bool turn_ahead(const Site& site, const Resident& resident) const;
  double running_a_holder(const Resident& resident) const;
  /// Holders that a unit in use may still lose in this turn.
  std::int64_t& spare_of(const std::string& unit);

  const PlanInput& input_;
  const HolderPlan& plan_;
  std::map<std::string, Sites> sites_;
  std::map<std::string, std::int64_t> spare_;
};

}  // namespace weldsail
