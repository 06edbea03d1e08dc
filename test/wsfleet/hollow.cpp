#include "hollow.hpp"

#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <algorithm>
#include <deque>
#include <filesystem>
#include <fstream>

#include "tools/realfleet.hpp"

namespace weldsail {
namespace {

constexpr std::size_t nodes_most = 300;
constexpr Moment length_most = 60000;
constexpr Moment settle_most = 60000;
constexpr Moment tick = 25;
constexpr Moment rest_length = 8000;
constexpr std::size_t voters = 3;
constexpr std::size_t design_nodes = 1058;
constexpr std::size_t design_control = 58;
constexpr std::uint64_t first_message = 1ULL << 60U;
constexpr const char* document =
    R"({"store":{"loads_per_s":1},"models":{"m1":{"weights_mb":10}},"cells":{"cell":{"services":{"models":{"kind":"model"}},)"
    R"("tenants":{"t1":{"routes":{"chat":{"kind":"stream","model":"m1"}}}}}}})";

using State = std::variant<ControlState, DataState>;

struct HollowNode {
  std::string address;
  State state;
  std::unique_ptr<Server> server;
  std::deque<Event> events;
  Moment next_tick = 0;
};

struct Hollow {
  Loop loop;
  Client client{loop};
  std::vector<std::unique_ptr<HollowNode>> nodes;
  std::uint64_t next_message = first_message;
  double messages = 0;
  double message_bytes = 0;
  double wire_bytes = 0;
};

const MemberState& member_of(const HollowNode& node) {
  return std::visit([](const auto& state) -> const MemberState& { return state.member; }, node.state);
}

void send(Hollow& hollow, HollowNode& node, const SendMessage& effect) {
  if (effect.address == node.address) {
    node.events.push_back(MessageArrived{effect.envelope});
    return;
  }
  OpenPipe pipe{hollow.next_message++,
                effect.address,
                "POST",
                "/v1/peer",
                {{"content-type", "application/x-protobuf"}},
                effect.envelope.SerializeAsString(),
                false,
                monotonic_now() + 3000};
  const auto head = "POST /v1/peer HTTP/1.1\r\nhost: " + pipe.address + "\r\ncontent-type: application/x-protobuf\r\n" +
                    "content-length: " + std::to_string(pipe.body.size()) + "\r\n\r\n";
  hollow.messages += 1;
  hollow.message_bytes += static_cast<double>(pipe.body.size());
  hollow.wire_bytes += static_cast<double>(head.size() + pipe.body.size());
  hollow.client.open(pipe);
}

void take(Hollow& hollow, HollowNode& node, const Event& event) {
  const auto effects = std::visit([&](auto& state) { return reduce(state, event, monotonic_now()); }, node.state);
  for (const auto& effect : effects) {
    if (const auto* message = std::get_if<SendMessage>(&effect)) send(hollow, node, *message);
    if (const auto* persist = std::get_if<Persist>(&effect)) node.events.push_back(Persisted{persist->token, true});
  }
}

void pump(Hollow& hollow) {
  hollow.loop.step(1);
  const auto now = monotonic_now();
  hollow.client.sweep(now);
  for (auto& node : hollow.nodes) {
    if (now >= node->next_tick) {
      node->next_tick = now + tick;
      node->server->sweep(now);
      node->events.push_back(Ticked{random_number()});
    }
    while (!node->events.empty()) {
      const auto event = std::move(node->events.front());
      node->events.pop_front();
      take(hollow, *node, event);
    }
  }
}

void add_node(Hollow& hollow, const std::string& address, std::size_t place, std::size_t controls,
              const std::vector<std::string>& seeds) {
  auto node = std::make_unique<HollowNode>();
  node->address = address;
  const bool control = place < controls;
  const MemberOptions member{control ? Program::control : Program::data, address, address,
                             "z" + std::to_string(place % 15),           seeds,   3000};
  if (control) {
    ControlOptions options;
    options.member = member;
    options.has_disk = place < voters;
    node->state = make_control(options);
  } else {
    DataOptions options;
    options.member = member;
    node->state = make_data(options);
  }
  node->server = std::make_unique<Server>(hollow.loop, ServerLimits{});
  node->next_tick = monotonic_now() + static_cast<Moment>(place % tick);
  auto* target = node.get();
  node->server->arrived.connect([target](const RequestArrived& request) {
    wire::Envelope envelope;
    const bool read = envelope.ParseFromString(request.body);
    target->server->answer({request.request, read ? 204 : 400, {}, {}});
    if (read) target->events.push_back(MessageArrived{std::move(envelope)});
  });
  hollow.nodes.push_back(std::move(node));
}

void put_configuration(Hollow& hollow) {
  RequestArrived request;
  request.request = 1;
  request.method = "PUT";
  request.path = "/v1/config";
  request.headers = {{"weldsail-base", "0"}};
  request.body = document;
  hollow.nodes.front()->events.push_back(std::move(request));
}

bool configured(const Hollow& hollow) {
  return std::ranges::all_of(hollow.nodes, [](const auto& node) {
    const auto* data = std::get_if<DataState>(&node->state);
    return data == nullptr || data->document_version > 0;
  });
}

bool settled(const Hollow& hollow) {
  return std::ranges::all_of(hollow.nodes, [&](const auto& node) {
    return std::ranges::count_if(member_of(*node).others,
                                 [](const auto& item) {
                                   return item.second.entry.state() == static_cast<std::uint32_t>(MemberPhase::alive);
                                 }) +
               1 ==
           static_cast<std::ptrdiff_t>(hollow.nodes.size());
  });
}

double processor_ms() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  const auto ms = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1000 + static_cast<double>(time.tv_usec) / 1000;
  };
  return ms(used.ru_utime) + ms(used.ru_stime);
}

double resident_bytes() {
  std::ifstream file("/proc/self/statm");
  double whole = 0;
  double resident = 0;
  file >> whole >> resident;
  return resident * 4096;
}

double descriptor_count() {
  return static_cast<double>(std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {}));
}

void rest(Hollow& hollow) {
  const auto end = monotonic_now() + rest_length;
  while (monotonic_now() < end) pump(hollow);
}

void keep_under_half() {
  struct sysinfo machine {};
  sysinfo(&machine);
  const rlim_t half = machine.totalram * machine.mem_unit / 2;
  const rlimit limit{half, half};
  setrlimit(RLIMIT_DATA, &limit);
}

}  // namespace

HollowCost run_hollow(HollowPlan plan) {
  keep_under_half();
  plan.nodes = std::clamp<std::size_t>(plan.nodes, voters + 1, nodes_most);
  plan.length = std::min(plan.length, length_most);
  static Hollow hollow;
  hollow.client.told.connect([](const Event& event) {
    if (const auto* head = std::get_if<PipeHead>(&event)) {
      hollow.wire_bytes += static_cast<double>(std::string("HTTP/1.1 204 No Content\r\n\r\n").size());
      for (const auto& header : head->headers)
        hollow.wire_bytes += static_cast<double>(header.name.size() + header.value.size() + 4);
    }
  });
  const auto memory_before = resident_bytes();
  const auto controls = std::max(voters, plan.nodes * design_control / design_nodes);
  std::vector<std::string> addresses;
  while (addresses.size() < plan.nodes) addresses.push_back(free_address());
  const std::vector<std::string> seeds(addresses.begin(), addresses.begin() + voters);
  for (std::size_t place = 0; place < plan.nodes; ++place) add_node(hollow, addresses[place], place, controls, seeds);
  for (auto& node : hollow.nodes) {
    if (!node->server->listen(node->address)) return {};
    take(hollow, *node, Started{random_number(), {}});
  }
  HollowCost cost;
  const auto begun = monotonic_now();
  while (!settled(hollow) && monotonic_now() - begun < settle_most) pump(hollow);
  if (settled(hollow)) cost.settled_ms = monotonic_now() - begun;
  rest(hollow);
  put_configuration(hollow);
  rest(hollow);
  if (!configured(hollow)) cost.settled_ms = -1;
  hollow.messages = hollow.message_bytes = hollow.wire_bytes = 0;
  const auto spent = processor_ms();
  const auto from = monotonic_now();
  while (monotonic_now() - from < plan.length) pump(hollow);
  const auto share = static_cast<double>(plan.nodes) * static_cast<double>(monotonic_now() - from) / 1000;
  cost.messages = hollow.messages / share;
  cost.message_bytes = hollow.message_bytes / share;
  cost.wire_bytes = hollow.wire_bytes / share;
  cost.processor_ms = (processor_ms() - spent) / share;
  cost.memory_bytes = (resident_bytes() - memory_before) / static_cast<double>(plan.nodes);
  cost.descriptors = descriptor_count() / static_cast<double>(plan.nodes);
  return cost;
}

}  // namespace weldsail
