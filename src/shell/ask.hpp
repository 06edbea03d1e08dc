#pragma once
#include "shell/client.hpp"

namespace weldsail {

/// A whole answer to one request.
struct Reply {
  int status = 0;
  bool whole = false;
  bool sent = false;
  std::string reason;
  std::vector<Header> headers;
  std::string body;
};

/// Adds what a pipe tells to a reply; `ended` is set with its end.
void reply_take(Reply& reply, const Event& event, bool& ended);

/// Asks and waits on the loop until the answer is whole or the time is over.
Reply ask(Loop& loop, const std::string& method, const std::string& address, const std::string& path,
          const std::vector<Header>& headers, const std::string& body, Moment within);

}  // namespace weldsail
