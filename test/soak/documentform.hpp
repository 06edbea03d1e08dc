#pragma once
#include <map>

#include "asker.hpp"

/// The two forms of configuration that the programs know, as operators and callers use them.
namespace weldsail::soak {

/// Sets routes [from, until) to a due time. Numbers beyond the first document's add routes.
struct RouteChange {
  std::size_t from = 0;
  std::size_t until = 0;
  std::size_t due_ms = 0;
  /// The operator's own number of the document that comes of it, where documents carry one.
  std::uint64_t revision = 0;
};

/// How a configuration is written, changed and read. The questions lack the address.
struct DocumentForm {
  /// True where documents carry the operator's own revision, on which changes are built.
  bool numbered;
  std::string (*first_document)(std::size_t routes);
  Question (*first_request)(const std::string& document);
  std::string (*change_body)(const RouteChange& change);
  /// The identity under which the history lists a change that an operator calls `name`.
  std::string (*identity)(const std::string& name, std::uint64_t base, const std::string& body);
  Question (*change_request)(const std::string& identity, std::uint64_t base, const std::string& body);
  /// Reads the document from a control process.
  const char* read_path;
  /// Status by which a change is refused since it is built on an older document.
  int conflict_status;
  /// A caller's request for a route.
  Question (*probe)(std::size_t route);
  /// Revision of a document; 0 where documents carry none.
  std::uint64_t (*revision)(const std::string& document);
  /// Due times of the routes of a document by the routes' numbers.
  std::map<std::size_t, std::size_t> (*dues)(const std::string& document);
};

/// The product's own form: changes by JSON pointers, built on versions.
const DocumentForm& product_form();
/// The form of a deployment, translated by `platform/`: changes by labels, built on the operator's revisions.
const DocumentForm& deployment_form();

}  // namespace weldsail::soak
