#include "shell/loop.hpp"

#include <sys/signalfd.h>
#include <sys/timerfd.h>
#include <unistd.h>
#include <csignal>
#include <ctime>
#include <random>

namespace weldsail {
namespace {

constexpr int longest_wait = 1000;

int make_alarm(std::int64_t period) {
  const int descriptor = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  itimerspec specification{};
  specification.it_interval.tv_sec = period / 1000;
  specification.it_interval.tv_nsec = period % 1000 * 1000000;
  specification.it_value = specification.it_interval;
  timerfd_settime(descriptor, 0, &specification, nullptr);
  return descriptor;
}

int make_interrupts() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

template <typename Content>
bool take_one(int descriptor, Content& content) {
  return read(descriptor, &content, sizeof(content)) == static_cast<ssize_t>(sizeof(content));
}

}  // namespace

std::int64_t monotonic_now() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

std::uint64_t random_number() {
  // Asking the processor each time costs more than all else that an idle tick does.
  static std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device(), device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return generator();
}

Loop::Loop() : loop_(h2o_evloop_create()) { std::signal(SIGPIPE, SIG_IGN); }

void Loop::run() {
  while (!stopped_) step(longest_wait);
}

void Loop::step(int milliseconds) {
  // h2o would wait first and tell of the writes that are done afterwards.
  settle();
  h2o_evloop_run(loop_, milliseconds);
}

void Loop::settle() { h2o_timeout__do_post_callback(loop_); }

Readable::Readable(Loop& loop, int descriptor, std::function<void()> ready)
    : socket_(h2o_evloop_socket_create(loop.raw(), descriptor, H2O_SOCKET_FLAG_DONT_READ)), ready_(std::move(ready)) {
  socket_->data = this;
  h2o_socket_read_start(socket_, [](h2o_socket_t* socket, const char* error) {
    if (error == nullptr) static_cast<Readable*>(socket->data)->ready_();
  });
}

Readable::~Readable() { h2o_socket_close(socket_); }

Alarm::Alarm(Loop& loop, std::int64_t period)
    : descriptor_(make_alarm(period)), readable_(loop, descriptor_, [this] {
        std::uint64_t times = 0;
        if (take_one(descriptor_, times)) fired.emit();
      }) {}

Interrupts::Interrupts(Loop& loop) : descriptor_(make_interrupts()), readable_(loop, descriptor_, [this] { take(); }) {}

void Interrupts::take() {
  for (signalfd_siginfo told{}; take_one(descriptor_, told);) (told.ssi_signo == SIGHUP ? hung_up : raised).emit();
}

}  // namespace weldsail
