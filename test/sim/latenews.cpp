#include "sim/latenews.hpp"

#include <algorithm>

#include "core/configuration/config.hpp"
#include "platform/dialect.hpp"

namespace weldsail::sim {
namespace {

constexpr Moment request_time = 1000;
constexpr Moment resend_after = 600;
const std::string lasting_prefix = "/stay/";
const std::string lasting_key = "stay";

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

std::string PlainConfig::document(std::size_t filler) const {
  std::string table;
  const auto add = [&](const std::string& prefix, const std::string& service) {
    table += (table.empty() ? "" : ",") + std::string(R"({"label":)") + quoted(prefix) +
             R"(,"host":"h","mode":"idempotent","trials":2,"deadline_ms":1000,"path_prefix":)" + quoted(prefix) +
             R"(,"plant":)" + quoted(service) + "}";
  };
  for (const auto& [prefix, service] : routes) add(prefix, service);
  for (std::size_t number = 0; number < filler; ++number) add("/filler" + std::to_string(number) + "/", "p1");
  std::map<std::string, std::string> lists{{"t1", ""}, {"t2", ""}};
  for (const auto& [key, tenant] : keys) lists[tenant] += (lists[tenant].empty() ? "" : ",") + quoted(key);
  std::string tenants;
  for (const auto& [tenant, list] : lists)
    tenants += (tenants.empty() ? "" : ",") + std::string(R"({"label":)") + quoted(tenant) + R"(,"credentials":[)" +
               list + "]}";
  return R"({"revision":)" + std::to_string(revision) + R"(,"route_table":[)" + table +
         R"(],"plants":[{"label":"p1"},{"label":"p2"}],"tenants":[)" + tenants + "]}";
}

LateNewsWorld::LateNewsWorld(std::uint64_t seed, Moment bound, Moment adopt, std::size_t filler)
    : world(seed), bound_(bound), adopt_(adopt), filler_(filler) {
  for (std::size_t place = 1; place <= 5; ++place) add("c" + std::to_string(place), true, place);
  for (std::size_t place = 1; place <= 6; ++place) add("d" + std::to_string(place), false, place);
  add_worker("p1");
  add_worker("p2");
  world.held_up = [this](const std::string&, const std::string& to, wire::Envelope::BodyCase body) -> Moment {
    const bool news = body == wire::Envelope::kNews || body == wire::Envelope::kValuePart;
    const auto found = news_late_.find(to);
    return news && found != news_late_.end() && world.now() < found->second.first ? found->second.second : 0;
  };
}

void LateNewsWorld::add(const std::string& address, bool control, std::size_t place) {
  SimNode node;
  node.address = address;
  node.locality = "z" + std::to_string(place % 3);
  node.has_disk = control;
  const MemberOptions member{
      control ? Program::control : Program::data, address, address, node.locality, {"c1", "c2", "c3"}, bound_};
  if (control) {
    ControlOptions options;
    options.member = member;
    options.core_size = 0;
    options.founders = {"c1", "c2", "c3"};
    options.core_target = 5;
    options.replace_after = bound_;
    options.dialect = &platform_dialect();
    node.make = [options] { return make_control(options); };
  } else {
    DataOptions options;
    options.member = member;
    options.limits.contact = bound_;
    options.limits.adopt = adopt_;
    options.dialect = &platform_dialect();
    node.make = [options] { return make_data(options); };
  }
  (control ? controls : datas).push_back(address);
  world.add(std::move(node));
}

void LateNewsWorld::add_worker(const std::string& service) {
  BackEnd worker;
  worker.reachable = [] { return true; };
  worker.cancel = [](const std::string&, std::uint64_t) {};
  worker.open = [this, service](const std::string& node, std::uint64_t life, const OpenPipe& pipe) {
    const auto trial = header_value(pipe.headers, "x-trial-id");
    auto& request = requests.at(std::stoull(trial));
    request.ran = {service, header_value(pipe.headers, "x-tenant")};
    world.give(node, life, PipeHead{pipe.pipe, 200, {{"x-trial-id", trial}, {"x-server-seal", "s"}}});
    world.give(node, life, PipeEnded{pipe.pipe, true, true, {}});
  };
  world.back_ends[service + ":80"] = std::move(worker);
}

void LateNewsWorld::tell_workers() {
  wire::Envelope envelope;
  envelope.mutable_fleet()->set_term(1);
  envelope.mutable_fleet()->set_version(1);
  for (const auto* service : {"p1", "p2"}) {
    auto* entry = envelope.mutable_fleet()->add_workers();
    entry->set_identity(service);
    entry->set_service(service);
    entry->set_address(std::string(service) + ":80");
    entry->set_slots(1000);
  }
  for (const auto& address : datas)
    if (const auto& node = world.node(address); node.alive) world.give(address, node.life, MessageArrived{envelope});
  if (world.now() < end_ || sent.empty()) world.at(world.now() + bound_ / 10, [this] { tell_workers(); });
}

void LateNewsWorld::begin() {
  for (const auto& address : controls) world.start(address);
  for (const auto& address : datas) world.start(address);
  tell_workers();
  world.run_until(2 * bound_);
  sent.push_back({{1, {{lasting_prefix, "p1"}}, {{lasting_key, "t1"}}}, world.now(), std::nullopt});
  send(0, 0);
  while (!sent.front().acknowledged && world.now() < 20 * bound_) world.run_until(world.now() + 100);
  world.run_until(world.now() + 2 * bound_);
}

void LateNewsWorld::send(std::size_t which, std::size_t turn) {
  const auto base = which == 0 ? 0 : sent[which - 1].config.revision;
  RequestArrived order{0,
                       "POST",
                       "/api/configuration/replace",
                       {{"x-base-revision", std::to_string(base)}},
                       sent[which].config.document(filler_)};
  const auto& address = controls[turn % controls.size()];
  if (world.node(address).alive)
    world.ask(address, std::move(order), [this, which](const Told& told) {
      if (told.status == 200 && !sent[which].acknowledged) sent[which].acknowledged = world.now();
    });
  world.at(world.now() + resend_after, [this, which, turn] {
    if (!sent[which].acknowledged) send(which, turn + 1);
  });
}

void LateNewsWorld::change() {
  if (world.now() >= end_) return;
  world.at(world.now() + world.chance.between(150, 1200), [this] { change(); });
  if (!sent.back().acknowledged) return;
  auto next = sent.back().config;
  next.revision += 1 + world.chance.below(3);
  const auto number = std::to_string(world.chance.below(6));
  const auto other = world.chance.happens(0.5);
  if (world.chance.happens(0.5)) {
    if (world.chance.happens(0.4))
      next.routes.erase("/r" + number + "/");
    else
      next.routes["/r" + number + "/"] = other ? "p1" : "p2";
  } else {
    if (world.chance.happens(0.4))
      next.keys.erase("k" + number);
    else
      next.keys["k" + number] = other ? "t1" : "t2";
  }
  sent.push_back({std::move(next), world.now(), std::nullopt});
  send(sent.size() - 1, world.chance.below(controls.size()));
}

RequestArrived LateNewsWorld::request_for(const JudgedRequest& request, std::size_t number) const {
  RequestArrived event{0, "POST", request.prefix + "x", {}, {}};
  event.target = event.path;
  event.authority = "h";
  event.headers = {{"x-trial-id", std::to_string(number)},
                   {"x-deadline-ms", std::to_string(request_time)},
                   {"x-key", request.key},
                   {"x-tenant", "t2"}};
  return event;
}

void LateNewsWorld::ask() {
  if (world.now() >= end_) return;
  world.at(world.now() + world.chance.between(5, 40), [this] { ask(); });
  JudgedRequest request;
  request.node = datas[world.chance.below(datas.size())];
  const auto draw = [this](const std::string& lasting, const std::string& head, const std::string& tail) {
    return world.chance.happens(0.4) ? lasting : head + std::to_string(world.chance.below(7)) + tail;
  };
  request.prefix = draw(lasting_prefix, "/r", "/");
  request.key = draw(lasting_key, "k", "");
  request.sent = world.now();
  request.in_touch = world.now() >= std::max(core_calm_at_, calm_at_[request.node]);
  request.cut_off = world.now() < cut_until_[request.node];
  const auto number = requests.size();
  requests.push_back(request);
  world.ask(request.node, request_for(request, number), [this, number](const Told& told) {
    requests[number].status = told.status;
    requests[number].answered = world.now();
  });
  const auto now_unproved = unproved();
  if (calm()) unproved_in_calm += now_unproved - std::min(now_unproved, unproved_before_);
  unproved_before_ = now_unproved;
}

std::uint64_t LateNewsWorld::unproved() const {
  std::uint64_t sum = 0;
  for (const auto& address : datas)
    if (const auto* data = world.data(address))
      for (const auto& [status, count] : data->unproved_refusals) sum += count;
  return sum;
}

void LateNewsWorld::work_until(Moment end, bool quiet) {
  end_ = end;
  tell_workers();
  change();
  ask();
  if (!quiet) trouble();
  world.run_until(end + 4 * bound_);
}

}  // namespace weldsail::sim
