#include "shell/ask.hpp"
#include "shell/messenger.hpp"
#include "unit/rawsocket.hpp"

using namespace weldsail;

namespace {

constexpr std::size_t large = 3U << 20U;

wire::Envelope numbered(std::uint64_t number, std::size_t size = 0) {
  wire::Envelope envelope;
  envelope.set_from(1);
  auto* accept = envelope.mutable_accept();
  accept->set_version(number);
  accept->set_value(std::string(size, 'x'));
  return envelope;
}

/// One end of messages and what came to it.
struct End {
  explicit End(Loop& loop) : messenger(loop) {
    messenger.arrived.connect([this](wire::Envelope& envelope) {
      numbers.push_back(envelope.accept().version());
      bytes += envelope.accept().value().size();
    });
  }
  Messenger messenger;
  std::vector<std::uint64_t> numbers;
  std::size_t bytes = 0;
};

}  // namespace

TEST_CASE("messages arrive in order, small and large, on one connection") {
  Loop loop;
  End to(loop);
  End from(loop);
  const auto address = *to.messenger.listen("127.0.0.1:0");
  std::vector<std::uint64_t> sent;
  for (std::uint64_t number = 1; number <= 40; ++number) {
    from.messenger.send(address, numbered(number, number == 7 ? large : 0));
    if (number % 3 == 0) from.messenger.flush();
    sent.push_back(number);
  }
  from.messenger.flush();
  REQUIRE(pump(loop, [&] { return to.numbers.size() == sent.size(); }));
  CHECK(to.numbers == sent);
  CHECK(to.bytes == large);
  from.messenger.send(address, numbered(99));
  from.messenger.flush();
  REQUIRE(pump(loop, [&] { return to.numbers.back() == 99; }));
}

TEST_CASE("after the other process has gone and come back messages arrive again") {
  Loop loop;
  End from(loop);
  auto to = std::make_unique<End>(loop);
  const auto address = *to->messenger.listen("127.0.0.1:0");
  const auto heard = [&] {
    from.messenger.send(address, numbered(1));
    from.messenger.flush();
    return !to->numbers.empty();
  };
  REQUIRE(pump(loop, heard));
  to = std::make_unique<End>(loop);
  for (int turn = 0; turn < 50; ++turn) {
    from.messenger.send(address, numbered(2));
    from.messenger.flush();
    loop.step(1);
  }
  CHECK(to->numbers.empty());
  REQUIRE(to->messenger.listen(address));
  REQUIRE(pump(loop, heard));
}

TEST_CASE("what waits for a process that doesn't read is bounded, and dropped in time") {
  Loop loop;
  End from(loop);
  const auto silent = listen_on("127.0.0.1:0");
  REQUIRE(silent);
  for (int turn = 0; turn < 100; ++turn) from.messenger.send(silent->address, numbered(1, 1U << 20U));
  from.messenger.flush();
  loop.step(10);
  const int accepted = accept4(silent->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
  REQUIRE(accepted >= 0);
  RawSocket other(accepted);
  loop.step(10);
  from.messenger.sweep(monotonic_now() + 10000);
  other.hear();
  CHECK(other.ended);
  CHECK(other.got.starts_with("weldsail1\n"));
  CHECK(other.got.size() < 12U << 20U);
  close(silent->descriptor);
}

TEST_CASE("what waits for many processes that don't read is bounded in sum, large messages dropped first") {
  constexpr std::size_t sum_most = 32U << 20U;
  constexpr std::size_t megabyte = 1U << 20U;
  Loop loop;
  End from(loop);
  std::vector<Listening> silent;
  for (int count = 0; count < 12; ++count) silent.push_back(*listen_on("127.0.0.1:0"));
  for (int turn = 0; turn < 7; ++turn)
    for (const auto& listener : silent) from.messenger.send(listener.address, numbered(1, megabyte));
  const auto filled = from.messenger.waiting_bytes();
  CHECK(filled <= sum_most);
  CHECK(filled >= sum_most / 2);
  // There is room for small messages still, but for no large one.
  from.messenger.send(silent.back().address, numbered(2, megabyte));
  CHECK(from.messenger.waiting_bytes() == filled);
  from.messenger.send(silent.back().address, numbered(2));
  CHECK(from.messenger.waiting_bytes() > filled);
  for (int turn = 0; turn < 3000; ++turn) from.messenger.send(silent.back().address, numbered(2, 10U << 10U));
  CHECK(from.messenger.waiting_bytes() <= sum_most);
  // What is dropped isn't counted any more.
  from.messenger.flush();
  loop.step(10);
  from.messenger.sweep(monotonic_now() + 60000);
  loop.step(10);
  CHECK(from.messenger.waiting_bytes() == 0);
  End to(loop);
  const auto address = *to.messenger.listen("127.0.0.1:0");
  from.messenger.send(address, numbered(3, large));
  from.messenger.flush();
  REQUIRE(pump(loop, [&] { return to.numbers == std::vector<std::uint64_t>{3}; }));
  CHECK(from.messenger.waiting_bytes() == 0);
  for (const auto& listener : silent) close(listener.descriptor);
}

TEST_CASE("what isn't a message ends the connection and nothing else") {
  Loop loop;
  End to(loop);
  const auto address = *to.messenger.listen("127.0.0.1:0");
  const auto text = numbered(5).SerializeAsString();
  const auto good = std::string("weldsail1\n\0\0\0", 13) + static_cast<char>(text.size()) + text;
  for (const auto& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("POST /v1/peer HTTP/1.1\r\nhost: x\r\n\r\n"),
        std::string("weldsail2\n"), good + std::string("\0\0\0\1\xff", 5), good + "\xff\xff\xff\xff"}) {
    auto caller = raw_caller(address);
    caller->say(bytes);
    CHECK(pump(loop, [&] {
      caller->hear();
      return caller->ended;
    }));
  }
  CHECK(to.numbers == std::vector<std::uint64_t>{5, 5});
  auto caller = raw_caller(address);
  for (const char letter : good) {
    caller->say({letter});
    loop.step(1);
  }
  REQUIRE(pump(loop, [&] { return to.numbers.size() == 3; }));
  CHECK_FALSE(caller->ended);
}

TEST_CASE("a process of a former release, which sends requests and knows no greeting, is heard and hears") {
  Loop loop;
  End now(loop);
  const auto address = *now.messenger.listen("127.0.0.1:0");
  Server former(loop, {});
  std::vector<std::uint64_t> numbers;
  const auto former_address = *former.listen("127.0.0.1:0");
  former.arrived.connect([&](const RequestArrived& request) {
    wire::Envelope envelope;
    CHECK(request.path == "/v1/peer");
    CHECK(envelope.ParseFromString(request.body));
    numbers.push_back(envelope.accept().version());
    former.answer({request.request, 204, {}, {}});
  });
  for (const std::size_t size : {std::size_t{0}, large, std::size_t{10}}) {
    const auto reply = ask(loop, "POST", address, "/v1/peer", {{"content-type", "application/x-protobuf"}},
                           numbered(size + 1, size).SerializeAsString(), 3000);
    CHECK((reply.whole && reply.status == 204));
  }
  CHECK(now.numbers == std::vector<std::uint64_t>{1, large + 1, 11});
  std::uint64_t next = 0;
  REQUIRE(pump(loop, [&] {
    now.messenger.send(former_address, numbered(++next));
    now.messenger.flush();
    return numbers.size() >= 20;
  }));
  for (std::size_t place = 1; place < numbers.size(); ++place) CHECK(numbers[place] == numbers[place - 1] + 1);
}
