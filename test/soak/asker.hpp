#pragma once
#include <functional>
#include <map>

#include "shell/ask.hpp"

namespace weldsail::soak {

/// One request of the soak.
struct Question {
  std::string method;
  std::string address;
  std::string path;
  std::vector<Header> headers;
  std::string body;
  Moment within = 5000;
};

/// Asks many things at once; answers are handed out by `tick`.
class Asker {
 public:
  using Take = std::function<void(const Reply&)>;
  explicit Asker(Loop& loop);
  void ask(const Question& question, Take take);
  void tick(Moment now);
  std::size_t open() const { return open_.size(); }

 private:
  struct Open {
    Reply reply;
    bool ended = false;
    Take take;
  };
  Client client_;
  std::map<std::uint64_t, Open> open_;
  std::uint64_t next_ = 1;
};

/// A header of a reply as a number; 0 where it isn't there.
std::uint64_t version_of(const Reply& reply);

}  // namespace weldsail::soak
