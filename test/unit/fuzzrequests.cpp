#include <algorithm>

#include "unit/mutation.hpp"
#include "unit/rawsocket.hpp"

using namespace weldsail;

namespace {

constexpr std::uint64_t seeds = 4;
constexpr int connections_per_seed = 600;
constexpr std::size_t under_way_most = 12;

/// A request as a plain reading sees it.
struct PlainRequest {
  std::string method;
  std::string target;
  std::string body;
  bool operator==(const PlainRequest&) const = default;
};

struct Written {
  std::string text;
  PlainRequest request;
};

Written sound_request(const std::string& mark, sim::Chance& chance) {
  Written result;
  const bool with_body = chance.happens(0.6);
  result.request = {with_body ? "POST" : "GET", "/" + mark, {}};
  result.text = result.request.method + " /" + mark + " HTTP/1.1\r\nhost: x\r\nx-a: b\r\n";
  if (!with_body) {
    result.text += "\r\n";
    return result;
  }
  auto& body = result.request.body;
  body = mark + std::string(chance.below(chance.happens(0.1) ? 5000 : 30), 'b');
  if (chance.happens(0.6)) {
    result.text += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return result;
  }
  result.text += "transfer-encoding: chunked\r\n\r\n";
  for (std::size_t place = 0; place < body.size();) {
    const auto count = std::min<std::size_t>(body.size() - place, 1 + chance.below(9));
    result.text += std::to_string(count) + "\r\n" + body.substr(place, count) + "\r\n";
    place += count;
  }
  result.text += "0\r\n\r\n";
  return result;
}

/// One raw caller: sound requests, one after another, and perhaps a spoiled one at the end.
struct Caller {
  std::unique_ptr<RawSocket> socket;
  std::string mark;
  std::string unsaid;
  std::vector<PlainRequest> sound;
  bool spoiled = false;
  bool hangs_up = false;
  /// What the server has told of it.
  std::vector<PlainRequest> arrived;
  Moment begun = 0;
};

/// A server that echoes, and callers that keep to no rules.
class Listeners {
 public:
  explicit Listeners(std::uint64_t seed) : chance_(seed) {
    server.arrived.connect([this](const RequestArrived& request) { take(request); });
    server.gone.connect([this](std::uint64_t number) {
      std::erase_if(unanswered_, [&](const auto& item) { return item.first == number; });
    });
  }

  void run(int count) {
    while (finished < count) {
      while (begun_ < count && callers_.size() < under_way_most) begin();
      for (auto& caller : callers_) step(caller);
      std::erase_if(callers_, [this](Caller& caller) { return ends(caller); });
      answer_some();
      loop_.step(0);
      server.sweep(monotonic_now());
      most_open = std::max(most_open, server.open_pipes());
    }
    callers_.clear();
  }

  Loop loop_;
  Server server{loop_, limits()};
  int finished = 0;
  int answered = 0;
  std::size_t most_open = 0;
  /// Steps until the server has let go of everything.
  bool drains() {
    return pump(loop_, [&] {
      answer_some();
      server.sweep(monotonic_now());
      return server.open_pipes() == 0;
    });
  }

 private:
  static ServerLimits limits() {
    ServerLimits limits;
    limits.body = 20000;
    limits.transfer = 200;
    limits.idle = 200;
    return limits;
  }

  void begin() {
    Caller caller;
    caller.socket = raw_caller(address_);
    // So long that no spoiled one is another caller's.
    caller.mark = "c" + std::to_string(chance_.number()) + "-";
    marks_.push_back(caller.mark);
    ++begun_;
    for (auto count = chance_.below(4); count > 0; --count) {
      auto written = sound_request(caller.mark + std::to_string(caller.sound.size()), chance_);
      caller.unsaid += written.text;
      caller.sound.push_back(std::move(written.request));
    }
    caller.spoiled = chance_.happens(0.7);
    if (caller.spoiled) {
      auto text = sound_request(caller.mark + "s", chance_).text;
      for (auto count = 1 + chance_.below(3); count > 0; --count) text = mutated(std::move(text), chance_);
      caller.unsaid += text;
    }
    caller.hangs_up = chance_.happens(0.3);
    caller.begun = monotonic_now();
    callers_.push_back(std::move(caller));
  }

  void step(Caller& caller) {
    caller.socket->hear();
    const auto count = std::min<std::size_t>(caller.unsaid.size(), 1 + chance_.below(chance_.happens(0.7) ? 4000 : 9));
    if (count == 0) return;
    caller.socket->try_say(caller.unsaid.substr(0, count));
    caller.unsaid.erase(0, count);
  }

  bool ends(Caller& caller) {
    const bool said = caller.unsaid.empty();
    const auto echoes = count_of(caller.socket->got, "<" + caller.mark);
    const bool patience_over = monotonic_now() - caller.begun > 400;
    const bool all = said && !caller.spoiled && echoes >= caller.sound.size();
    if (!caller.socket->ended && !all && !patience_over && !(said && caller.hangs_up)) return false;
    check(caller, said && !caller.hangs_up && !caller.spoiled);
    ++finished;
    return true;
  }

  void check(const Caller& caller, bool complete) {
    CAPTURE(caller.mark, caller.socket->got);
    // Every echo that has come is of this caller's own requests.
    CHECK(count_of(caller.socket->got, "<") == count_of(caller.socket->got, "<" + caller.mark));
    const auto known = std::min(caller.sound.size(), caller.arrived.size());
    for (std::size_t place = 0; place < known; ++place) CHECK(caller.arrived[place] == caller.sound[place]);
    if (!complete) return;
    CHECK(caller.arrived.size() == caller.sound.size());
    CHECK(count_of(caller.socket->got, ">") == caller.sound.size());
    ++answered;
  }

  static std::size_t count_of(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (auto place = text.find(part); place != std::string::npos; place = text.find(part, place + 1)) ++count;
    return count;
  }

  void take(const RequestArrived& request) {
    unanswered_.emplace_back(request.request, request.target);
    CHECK(request.body.size() <= 4 * limits().body);
    for (auto& caller : callers_)
      if (request.target.starts_with("/" + caller.mark))
        caller.arrived.push_back({request.method, request.target, request.body});
  }

  /// Answers in any order, whole or piece by piece, and some not to their end.
  void answer_some() {
    while (!unanswered_.empty() && chance_.happens(0.8)) {
      const auto place = static_cast<std::ptrdiff_t>(chance_.below(unanswered_.size()));
      const auto [number, target] = unanswered_[static_cast<std::size_t>(place)];
      unanswered_.erase(unanswered_.begin() + place);
      const bool known = std::ranges::any_of(marks_, [&](const auto& mark) { return target.starts_with("/" + mark); });
      const auto text = known ? "<" + target.substr(1) + ">" : std::string("unknown");
      if (chance_.happens(0.5)) {
        server.answer({number, 200, {}, text});
        continue;
      }
      server.head({number, 200, {}});
      server.bytes({number, text});
      server.end({number, true});
    }
  }

  sim::Chance chance_;
  std::string address_ = *server.listen("127.0.0.1:0");
  std::vector<Caller> callers_;
  std::vector<std::pair<std::uint64_t, std::string>> unanswered_;
  std::vector<std::string> marks_;
  int begun_ = 0;
};

}  // namespace

TEST_CASE("spoiled requests, cut at any byte, end no process and disturb no other caller", "[fuzz.requests]") {
  Listeners listeners(GENERATE(range<std::uint64_t>(1, 1 + seeds)));
  listeners.run(connections_per_seed);
  CHECK(listeners.answered > connections_per_seed / 10);
  CHECK(listeners.most_open <= 4 * under_way_most);
  CHECK(listeners.drains());
}
