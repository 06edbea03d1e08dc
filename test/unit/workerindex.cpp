#include "core/placement/workerindex.hpp"

#include <algorithm>

#include "sim/world.hpp"
#include "unit/pathbench.hpp"

using namespace weldsail;

namespace {

std::string numbered(const char* kind, std::uint64_t number) { return kind + std::to_string(number); }

wire::WorkerEntry random_worker(sim::Chance& chance) {
  wire::WorkerEntry worker;
  worker.set_identity(numbered("w", chance.below(30)));
  worker.set_service(numbered("s", chance.below(3)));
  worker.set_draining(chance.below(4) == 0);
  if (chance.below(3) == 0) worker.set_warm_ms(100);
  const auto models = chance.below(4);
  for (std::uint64_t count = 0; count < models; ++count) worker.add_models()->set_name(numbered("m", chance.below(5)));
  return worker;
}

std::vector<std::string> identities(const WorkerIndex::Entries& entries) {
  std::vector<std::string> found;
  for (const auto& entry : entries) found.push_back(entry->identity());
  return found;
}

bool holds(const wire::WorkerEntry& worker, const std::string& model) {
  return std::ranges::find(worker.models(), model, &wire::HeldModel::name) != worker.models().end();
}

using Plain = std::map<std::string, wire::WorkerEntry>;

void check_service(const WorkerIndex& index, const Plain& plain, const std::string& service) {
  std::vector<std::string> all;
  std::map<std::string, std::vector<std::string>> holders;
  for (const auto& [identity, worker] : plain) {
    if (worker.service() != service) continue;
    all.push_back(identity);
    for (std::uint64_t model = 0; model < 5; ++model)
      if (holds(worker, numbered("m", model))) holders[numbered("m", model)].push_back(identity);
  }
  CHECK(identities(index.of_service(service)) == all);
  for (std::uint64_t model = 0; model < 5; ++model)
    CHECK(identities(index.holders(service, numbered("m", model))) == holders[numbered("m", model)]);
}

void check_same(const WorkerIndex& index, const Plain& plain) {
  REQUIRE(index.size() == plain.size());
  std::set<std::string> timed;
  std::size_t draining = 0;
  for (const auto& [identity, worker] : plain) {
    REQUIRE(index.find(identity) != nullptr);
    CHECK(index.find(identity)->SerializeAsString() == worker.SerializeAsString());
    if (worker.warm_ms() > 0) timed.insert(identity);
    if (worker.draining()) ++draining;
  }
  CHECK(index.timed() == timed);
  CHECK(index.draining() == draining);
  for (std::uint64_t service = 0; service < 3; ++service) check_service(index, plain, numbered("s", service));
}

/// Workers that are looked at to place one request for a model with four holders.
std::uint64_t considered_among(std::size_t workers) {
  unit::PathBench bench;
  std::vector<wire::WorkerEntry> told;
  for (std::size_t number = 0; number < workers; ++number) {
    auto worker = unit::PathBench::worker(numbered("w", number), "chat");
    if (number >= 4) worker.mutable_models(0)->set_name(numbered("other", number));
    told.push_back(std::move(worker));
  }
  bench.tell(told, 2);
  const auto before = bench.state.path.considered;
  bench.ask("/chat/");
  REQUIRE(bench.all<OpenPipe>().size() == 1);
  return bench.state.path.considered - before;
}

}  // namespace

TEST_CASE("an index of workers answers as a plain list does, whatever changes", "[carry]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    sim::Chance chance(seed);
    WorkerIndex index;
    Plain plain;
    for (int step = 0; step < 100; ++step) {
      const auto worker = random_worker(chance);
      if (chance.below(3) == 0) {
        index.remove(worker.identity());
        plain.erase(worker.identity());
      } else {
        index.put(worker);
        plain[worker.identity()] = worker;
      }
      check_same(index, plain);
    }
    const auto copy = index;
    index.clear();
    check_same(index, {});
    check_same(copy, plain);
  }
}

TEST_CASE("placing a request looks at the holders of its model, not at the fleet", "[carry]") {
  CHECK(considered_among(10) == 4);
  CHECK(considered_among(1000) == 4);
}
