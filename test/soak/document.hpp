#pragma once
#include <cstddef>
#include <string>

namespace weldsail::soak {

/// A route of the soak's configuration, by its number; numbers beyond the first document's are added by changes.
std::string route_path(std::size_t number);
std::string route_pointer(std::size_t number);
std::string route_text(std::size_t due_ms);

/// A configuration of so many routes.
std::string first_document(std::size_t routes);
/// The body of a change that sets routes [from, until) to a due time.
std::string change_body(std::size_t from, std::size_t until, std::size_t due_ms);
/// Due time of a route in a document; 0 where the route isn't there.
std::size_t route_due(const std::string& document, std::size_t number);

}  // namespace weldsail::soak
