#pragma once
#include "sim/modelsearch.hpp"

namespace weldsail::sim::model {

/// One bounded world for the exhaustive search.
struct Setup {
  std::string name;
  ModelWorld root;
  /// Depth that the sanitizer build reaches in its share of a test group's time.
  std::size_t depth = 0;
};

/// The worlds that are searched exhaustively, each around one part of the protocol.
std::vector<Setup> search_setups();
/// The world of the random walks: every kind of trouble, with wide bounds.
ModelWorld walk_root();
/// One line of figures about a search.
std::string search_text(const std::string& name, const SearchResult& result);

}  // namespace weldsail::sim::model
