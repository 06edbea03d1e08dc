#pragma once
#include <algorithm>

#include "unit/mutation.hpp"

namespace weldsail {

/// A sound answer whose body names its request.
inline std::string sound_answer(const std::string& mark, sim::Chance& chance) {
  std::string head = "HTTP/1.1 200 OK\r\nx-a: b\r\n";
  if (chance.happens(0.1)) head = "HTTP/1.1 100 Continue\r\nx: y\r\n\r\n" + head;
  if (chance.happens(0.1)) head = "HTTP/1.0 200 OK\r\nconnection: keep-alive\r\n";
  if (chance.happens(0.1)) head += "Connection: a, Keep-Alive\r\n";
  if (chance.happens(0.1)) head += "connection: close\r\n";
  if (chance.happens(0.1)) head += "keep-alive: timeout=3\r\n";
  if (chance.happens(0.5)) return head + "Content-Length: " + std::to_string(mark.size()) + "\r\n\r\n" + mark;
  if (chance.happens(0.1)) return "HTTP/1.1 204 No Content\r\n\r\n";
  std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t place = 0; place < mark.size();) {
    const auto count = std::min<std::size_t>(mark.size() - place, 1 + chance.below(9));
    text += std::to_string(count) + (chance.happens(0.1) ? ";a=b" : "") + "\r\n" + mark.substr(place, count) + "\r\n";
    place += count;
  }
  return text + "0\r\n" + (chance.happens(0.1) ? "x: y\r\n" : "") + "\r\n";
}

/// An answer that is sound, or spoiled a little, or followed by another one.
inline std::string any_answer(const std::string& mark, sim::Chance& chance) {
  auto text = sound_answer(mark, chance);
  if (chance.happens(0.1)) text += sound_answer("surplus", chance);
  for (auto count = chance.below(4); count > 0; --count) text = mutated(std::move(text), chance);
  return text;
}

}  // namespace weldsail
