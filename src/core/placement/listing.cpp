#include "core/placement/listing.hpp"

#include <algorithm>
#include <charconv>

namespace weldsail {
namespace {

constexpr std::size_t page_bytes_most = 8U << 20U;
constexpr std::size_t pages_most = 1000;
/// Bytes of all pages of one list.
constexpr std::size_t list_bytes_most = 4 * page_bytes_most;
constexpr std::size_t doublings_most = 2;
/// Failures are counted up to here.
constexpr std::size_t doublings_in_all = 16;
constexpr int too_many_requests = 429;
constexpr Moment dues_per_contact = 3;

void ask_page(ListState& state, const Limits& limits, PipeNumbers& numbers, Moment now, Effects& effects) {
  state.pipe = numbers.take();
  state.answer = 0;
  state.retry_after = 0;
  state.body.clear();
  ++state.pages;
  effects.push_back(OpenPipe{
      state.pipe, limits.list_address, "GET", state.path, {}, {}, false, now + limits.contact / dues_per_contact});
}

void fail(ListState& state, const char* cause, Moment now, Effects& effects) {
  const bool told_to_slow_down = state.answer == too_many_requests;
  const auto pause = state.retry != 0 && !told_to_slow_down ? state.retry : state.pace;
  const auto wait = std::max(state.retry_after, std::min(pause << state.failures, state.pace << doublings_most));
  // A retry doesn't wait for the pause that was counted from the beginning of the ask that failed.
  if (state.retry != 0 && !told_to_slow_down) state.next_ask = now;
  if (state.failures < doublings_in_all) ++state.failures;
  if (state.failures == 1) note(effects, "list.failed", {{"cause", cause}, {"status", std::to_string(state.answer)}});
  state.next_ask = std::max(state.next_ask, now + wait);
}

/// Takes bytes of a page. One that is too long is read no further: it is refused, counted, and the last list is kept.
void take_bytes(ListState& state, const std::string& bytes, Moment now, Effects& effects) {
  state.bytes += bytes.size();
  if (state.body.size() + bytes.size() <= page_bytes_most && state.bytes <= list_bytes_most) {
    state.body += bytes;
    return;
  }
  effects.push_back(CancelPipe{state.pipe});
  state.pipe = 0;
  state.body.clear();
  state.gathered.clear();
  ++state.too_large;
  fail(state, "too_large", now, effects);
}

Moment read_seconds(const std::string& text) {
  double seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  constexpr double most = 3600;
  return static_cast<Moment>(std::clamp(seconds, 0.0, most) * 1000);
}

void take_all(ListState& state, Effects& effects) {
  std::ranges::stable_sort(state.gathered, {}, &wire::WorkerEntry::identity);
  const auto doubled = std::ranges::unique(state.gathered, {}, &wire::WorkerEntry::identity);
  state.gathered.erase(doubled.begin(), doubled.end());
  state.workers = std::move(state.gathered);
  state.gathered.clear();
  state.asked = state.begun;
  state.known = true;
  if (state.failures > 0) note(effects, "list.back", {{"failures", std::to_string(state.failures)}});
  state.failures = 0;
}

}  // namespace

void list_tick(ListState& state, const Limits& limits, const Dialect& dialect, PipeNumbers& numbers, Moment now,
               Effects& effects) {
  if (limits.list_address.empty() || state.pipe != 0 || now < state.next_ask) return;
  state.path = dialect.list_path;
  state.pages = 0;
  state.bytes = 0;
  state.gathered.clear();
  state.begun = now;
  state.next_ask = now + state.pace;
  ask_page(state, limits, numbers, now, effects);
}

bool list_pipe(ListState& state, const Limits& limits, const Dialect& dialect, PipeNumbers& numbers, const Event& event,
               Moment now, Effects& effects) {
  if (state.pipe == 0) return false;
  if (const auto* head = std::get_if<PipeHead>(&event); head != nullptr && head->pipe == state.pipe) {
    state.answer = head->status;
    for (const auto& header : head->headers)
      if (header.name == "retry-after") state.retry_after = read_seconds(header.value);
  }
  if (const auto* bytes = std::get_if<PipeBytes>(&event); bytes != nullptr && bytes->pipe == state.pipe) {
    take_bytes(state, bytes->bytes, now, effects);
    return false;
  }
  const auto* ended = std::get_if<PipeEnded>(&event);
  if (ended == nullptr || ended->pipe != state.pipe) return false;
  state.pipe = 0;
  if (!ended->whole || state.answer != 200) {
    fail(state, "unanswered", now, effects);
    return false;
  }
  auto page = dialect.read_list(state.body);
  state.body.clear();
  if (!page || state.pages >= pages_most) {
    fail(state, "malformed", now, effects);
    return false;
  }
  for (auto& worker : page->workers) state.gathered.push_back(std::move(worker));
  if (!page->next_path.empty()) {
    state.path = std::move(page->next_path);
    ask_page(state, limits, numbers, now, effects);
    return false;
  }
  take_all(state, effects);
  return true;
}

void list_end(ListState& state, Effects& effects) {
  if (state.pipe != 0) effects.push_back(CancelPipe{state.pipe});
  state.pipe = 0;
  state.gathered.clear();
}

}  // namespace weldsail
