#include "operators.hpp"

#include <algorithm>

#include "core/json.hpp"

namespace weldsail::soak {
namespace {

constexpr Moment answer_within = 8000;
constexpr Moment retry_pause = 150;
constexpr std::size_t pause_most = 400;
constexpr std::size_t repeat_share = 6;
constexpr std::size_t data_share = 5;
constexpr std::size_t route_share = 2;
constexpr std::size_t revision_step = 3;

bool unclear_status(const Reply& reply) {
  return !reply.whole || reply.status == 503 || reply.status == 504 || reply.status == 0;
}

}  // namespace

Operator::Operator(std::string name, FleetView fleet, Asker& asker, Ledger& ledger, OperatorShare& share,
                   const DocumentForm& form, std::uint64_t seed)
    : name_(std::move(name)),
      fleet_(fleet),
      asker_(asker),
      ledger_(ledger),
      share_(share),
      form_(form),
      random_(seed) {}

void Operator::tick(Moment now) {
  if (asking_ || now < next_) return;
  if (change_) return send(*change_, false, now);
  if (stopped_) return;
  const auto& taken = ledger_.changes();
  if (!taken.empty() && pick(random_, repeat_share) == 0) {
    const auto& old = std::next(taken.begin(), static_cast<std::ptrdiff_t>(pick(random_, taken.size())))->second.change;
    if (!old.id.empty()) return send(SoakChange(old), true, now);
  }
  change_ = next_change();
  send(*change_, false, now);
}

SoakChange Operator::next_change() {
  SoakChange change;
  auto& routes = change.routes;
  change.base = std::max(known_, ledger_.newest_number());
  routes.due_ms = share_.next_due++;
  if (form_.numbered) routes.revision = share_.newest_revision += 1 + pick(random_, revision_step);
  const bool large = share_.large_change != 0 && ledger_.changes().size() >= share_.large_after;
  const bool adds = large || pick(random_, route_share) == 0;
  routes.from = adds ? share_.next_route : pick(random_, share_.next_route);
  routes.until = routes.from + (large ? share_.large_change : 1);
  if (large) share_.large_change = 0;
  share_.next_route = std::max(share_.next_route, routes.until);
  change.body = form_.change_body(routes);
  change.id = form_.identity(name_ + "-" + std::to_string(++serial_), change.base, change.body);
  return change;
}

std::size_t Operator::pick_process() {
  // A deployment's operators reach control processes only.
  if (!form_.numbered && pick(random_, data_share) == 0)
    return fleet_.controls() + pick(random_, fleet_.size() - fleet_.controls());
  return pick(random_, fleet_.controls());
}

void Operator::send(const SoakChange& change, bool repeat, Moment now) {
  asking_ = true;
  if (repeat) ++repeated_;
  ledger_.sent(change, now);
  auto question = form_.change_request(change.id, change.base, change.body);
  question.address = fleet_.child(pick_process()).callers;
  question.within = answer_within;
  asker_.ask(question, [this, change, repeat, now](const Reply& reply) { answered(change, repeat, now, reply); });
}

void Operator::answered(const SoakChange& change, bool repeat, Moment sent, const Reply& reply) {
  const auto now = monotonic_now();
  asking_ = false;
  next_ = now + static_cast<Moment>(pick(random_, pause_most));
  if (unclear_status(reply)) {
    ++unclear_;
    next_ = now + retry_pause;
    return;
  }
  rapidjson::Document body;
  body.Parse(reply.body.data(), reply.body.size());
  if (reply.status == 200 && body.IsObject()) {
    if (json_string_at(body, "/change") != change.id)
      ledger_.breach(change.id + " acknowledged as " + json_string_at(body, "/change"));
    ledger_.accepted(change, json_count_at(body, "/version"), now);
  } else {
    std::optional<std::uint64_t> newest;
    if (!form_.numbered) newest = body.IsObject() ? json_count_at(body, "/newest") : 0;
    ledger_.refused(change, reply.status, newest, sent);
    known_ = std::max(known_, newest.value_or(0));
    // A large change that lost the race is begun anew.
    const auto routes = change.routes.until - change.routes.from;
    if (!repeat && routes > 1) share_.large_change = routes;
  }
  if (!repeat) change_.reset();
}

}  // namespace weldsail::soak
