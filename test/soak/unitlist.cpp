#include "unitlist.hpp"

namespace weldsail::soak {

UnitList::UnitList(Loop& loop) : server_(loop, ServerLimits{}) {
  server_.arrived.connect([this](const RequestArrived& request) {
    server_.answer({request.request, 200, {{"content-type", "application/json"}}, R"({"units":[]})"});
  });
}

bool UnitList::listen() {
  const auto listening = server_.listen("127.0.0.1:0");
  if (listening) address_ = *listening;
  return listening.has_value();
}

}  // namespace weldsail::soak
