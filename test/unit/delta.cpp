#include "core/delta.hpp"

#include <catch2/catch.hpp>

#include <memory>

#include "core/hash.hpp"
#include "sim/world.hpp"

using namespace weldsail;

namespace {

constexpr std::uint64_t seeds = 120;
constexpr std::size_t kibibyte = 1024;

std::string random_bytes(sim::Chance& chance, std::size_t length) {
  std::string bytes;
  while (bytes.size() < length) bytes.push_back(static_cast<char>(chance.below(256)));
  return bytes;
}

/// One of many routes that differ in a few digits only.
std::string route(std::size_t place, std::uint64_t mark) {
  const auto number = std::to_string(place);
  auto text = R"({"label":"route-)" + number + R"(","host":"host-)" + std::to_string(place % 8) +
              R"(.example","path_prefix":"/area-)" + number + R"(/","mode":"idempotent","deadline_ms":)" +
              std::to_string(1000 + mark) + R"(,"note":")";
  if (text.size() < 238) text.append(238 - text.size(), 'n');
  return text + "\"}";
}

std::string routes(std::size_t first, std::size_t count) {
  std::string text;
  for (std::size_t place = first; place < first + count; ++place) text += route(place, 0) + ",";
  return text;
}

/// Text like a document's, bytes of any kind, or few letters again and again.
std::string any_content(sim::Chance& chance) {
  const auto length = static_cast<std::size_t>(chance.below(chance.happens(0.2) ? 70000 : 6000));
  switch (chance.below(4)) {
    case 0: return routes(chance.below(1000), length / 240);
    case 1: return random_bytes(chance, length);
    case 2: return std::string(length, static_cast<char>(chance.below(256)));
    default: {
      const auto period = random_bytes(chance, 1 + chance.below(300));
      std::string bytes;
      while (bytes.size() < length) bytes += period;
      return bytes;
    }
  }
}

/// Inserts, removes, moves, repeats or overwrites some bytes.
std::string changed(std::string bytes, sim::Chance& chance) {
  const auto offset = static_cast<std::size_t>(chance.below(bytes.size() + 1));
  const auto length = static_cast<std::size_t>(chance.below(std::min<std::size_t>(bytes.size() - offset, 3000) + 1));
  const auto piece = bytes.substr(offset, length);
  switch (chance.below(5)) {
    case 0: return bytes.insert(offset, random_bytes(chance, chance.below(2000)));
    case 1: return bytes.erase(offset, length);
    case 2: bytes.erase(offset, length); return bytes.insert(chance.below(bytes.size() + 1), piece);
    case 3: return bytes.insert(chance.below(bytes.size() + 1), piece + piece);
    default: return bytes.replace(offset, length, random_bytes(chance, length));
  }
}

/// Applies to a copy of the base that ends where its allocation ends, so that the sanitizers see a read beyond it.
std::optional<std::string> apply_exactly(const std::string& base, const wire::Delta& delta) {
  const auto bytes = std::make_unique<char[]>(base.size());
  std::ranges::copy(base, bytes.get());
  return apply_delta({bytes.get(), base.size()}, delta);
}

/// Changes one thing that a delta says.
wire::Delta tampered(wire::Delta delta, sim::Chance& chance) {
  const auto kind = delta.steps_size() == 0 ? 0 : chance.below(7);
  if (kind == 0) {
    (*delta.mutable_result_hash())[chance.below(delta.result_hash().size())] ^= 1;
    return delta;
  }
  const auto any_step = static_cast<int>(chance.below(static_cast<std::uint64_t>(delta.steps_size())));
  auto& step = *delta.mutable_steps(any_step);
  // Numbers near both ends of their range, for which sums of offset and length begin again at nothing.
  const auto extreme = chance.happens(0.5) ? ~std::uint64_t{0} - chance.below(4) : (1ULL << 63U) + chance.below(4);
  switch (kind) {
    case 1: step.set_offset(extreme); break;
    case 2: step.set_length(extreme); break;
    case 3: step.set_offset(chance.below(100000)); break;
    case 4: step.set_length(step.length() + 1 + chance.below(5000)); break;
    case 5: step.mutable_literal()->push_back(static_cast<char>(chance.below(256))); break;
    default: delta.mutable_steps()->DeleteSubrange(any_step, 1);
  }
  return delta;
}

/// Some content, what two changes make of it, and the delta from one to the other.
struct ChangedContent {
  std::string base;
  std::string target;
  wire::Delta delta;
};

ChangedContent changed_twice(sim::Chance& chance) {
  auto base = any_content(chance);
  auto target = changed(changed(base, chance), chance);
  auto delta = make_delta(base, target);
  return {std::move(base), std::move(target), std::move(delta)};
}

}  // namespace

TEST_CASE("a delta makes its target from its base, whatever both hold", "[delta]") {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    sim::Chance chance(seed);
    const auto base = any_content(chance);
    auto target = chance.happens(0.1) ? any_content(chance) : base;
    for (auto turns = chance.below(12); turns > 0; --turns) target = changed(std::move(target), chance);
    const auto delta = make_delta(base, target);
    CAPTURE(seed, base.size(), target.size());
    CHECK((apply_exactly(base, delta) == target));
    CHECK((apply_exactly(target, make_delta(target, base)) == base));
    wire::Delta carried;
    REQUIRE(carried.ParseFromString(delta.SerializeAsString()));
    CHECK((apply_exactly(base, carried) == target));
    CHECK(make_delta(base, target).SerializeAsString() == delta.SerializeAsString());
  }
}

TEST_CASE("a small change of a large text makes a small delta, wherever it stands", "[delta]") {
  constexpr std::size_t count = 1707;
  const auto base = routes(0, count);
  REQUIRE(base.size() >= 400 * kibibyte);
  std::size_t most = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    sim::Chance chance(seed);
    const auto place = static_cast<std::size_t>(chance.below(count));
    const auto offset = base.find(route(place, 0));
    const auto length = route(place, 0).size() + 1;
    auto target = base;
    std::size_t change = 0;
    const auto kind = chance.below(4);
    if (kind == 0) {
      target.replace(offset, length - 1, route(place, 1 + chance.below(8000)));
      change = length;
    } else if (kind == 1) {
      target.erase(offset, length);
    } else if (kind == 2) {
      const auto added = routes(count + chance.below(1000), 1 + chance.below(12));
      target.insert(offset, added);
      change = added.size();
    } else {
      target.erase(offset, length);
      target.insert(chance.below(2) == 0 ? 0 : target.size(), base, offset, length);
      change = length;
    }
    const auto delta = make_delta(base, target);
    CAPTURE(seed, kind, place, change, delta.ByteSizeLong());
    CHECK(delta.ByteSizeLong() < 2 * kibibyte + 4 * change);
    CHECK((apply_delta(base, delta) == target));
    most = std::max(most, delta.ByteSizeLong());
  }
  CAPTURE(most);
  CHECK(make_delta(base, base).ByteSizeLong() < 64);
}

TEST_CASE("a delta on another base gives nothing but its target", "[delta]") {
  std::size_t refused = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    sim::Chance chance(seed);
    const auto [base, target, delta] = changed_twice(chance);
    for (int turn = 0; turn < 8; ++turn) {
      auto other = chance.happens(0.3) ? any_content(chance) : changed(base, chance);
      if (chance.happens(0.2)) other.resize(other.size() / 2);
      const auto made = apply_exactly(other, delta);
      CAPTURE(seed, turn, base.size(), other.size());
      // Where the base's other bytes aren't used, the target is right.
      if (made) CHECK((*made == target));
      refused += made ? 0 : 1;
    }
  }
  CHECK(refused > seeds);
}

TEST_CASE("a delta that was tampered with gives nothing but its target, and reads nothing beyond its base", "[delta]") {
  std::size_t refused = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    sim::Chance chance(seed);
    const auto [base, target, delta] = changed_twice(chance);
    for (int turn = 0; turn < 16; ++turn) {
      const auto made = apply_exactly(base, tampered(delta, chance));
      CAPTURE(seed, turn, base.size());
      // An offset may be changed to where the same bytes stand.
      if (made) CHECK((*made == target));
      refused += made ? 0 : 1;
    }
    auto bytes = delta.SerializeAsString();
    bytes[chance.below(bytes.size())] ^= static_cast<char>(1U << chance.below(8));
    wire::Delta flipped;
    if (!flipped.ParseFromString(bytes)) continue;
    if (const auto made = apply_exactly(base, flipped)) CHECK((*made == target));
  }
  CHECK(refused > 8 * seeds);
}
