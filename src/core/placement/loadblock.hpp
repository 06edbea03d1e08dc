#pragma once
#include "core/placement/book.hpp"

namespace weldsail {

/// The load can't be begun now. Where that has been so for a bound the worker stops being a place for such loads, for a
/// bound at first and twice as long each further time.
void load_block_failed(LoadBlock& block, Moment bound, Moment now);
/// True while the worker isn't a place for a model that it doesn't hold.
bool load_blocked(const WorkerBook& book, const std::string& model, Moment now);

}  // namespace weldsail
