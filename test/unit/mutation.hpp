#pragma once
#include <string>
#include <vector>

#include "sim/world.hpp"

namespace weldsail {

/// Spoils protocol text as broken peers do: bytes and lines changed, left out, doubled, exchanged, or put in.
inline std::string mutated(std::string text, sim::Chance& chance) {
  static const std::vector<std::string> parts{"\r\n",
                                              "\n",
                                              "\r",
                                              "\r\n\r\n",
                                              "0\r\n\r\n",
                                              " ",
                                              "\t",
                                              ":",
                                              ",",
                                              ";",
                                              "-1",
                                              "0x",
                                              "ffffffffffffffff",
                                              "99999999999",
                                              "content-length: 3\r\n",
                                              "Content-Length: 0\r\n",
                                              "transfer-encoding: chunked\r\n",
                                              "Transfer-Encoding: gzip\r\n",
                                              "connection: close\r\n",
                                              "HTTP/1.1 200 OK\r\n",
                                              "HTTP/1.1 100 Continue\r\n\r\n",
                                              "GET / HTTP/1.1\r\n",
                                              std::string(1, '\0'),
                                              "\x80\xff",
                                              std::string(300, 'x')};
  const auto place = [&] { return chance.below(text.size() + 1); };
  switch (chance.below(6)) {
    case 0: text.resize(place()); break;
    case 1:
      if (!text.empty()) text[chance.below(text.size())] = static_cast<char>(chance.below(256));
      break;
    case 2: text.insert(place(), parts[chance.below(parts.size())]); break;
    case 3: text.erase(place(), 1 + chance.below(6)); break;
    case 4: {
      const auto begin = place();
      text.insert(place(), text.substr(begin, chance.below(40)));
      break;
    }
    default: {
      const auto end = text.find("\r\n", place());
      if (end != std::string::npos) text.replace(end, 2, parts[chance.below(parts.size())]);
    }
  }
  return text;
}

}  // namespace weldsail
