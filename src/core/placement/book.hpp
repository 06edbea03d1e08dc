#pragma once
#include "core/dialect.hpp"
#include "core/limits.hpp"
#include "core/placement/demand.hpp"
#include "core/placement/refusals.hpp"

namespace weldsail {

/// Models and their adapters.
using Holdings = std::map<std::string, std::set<std::string>>;

/// An order that was sent and isn't known to have ended or to have come to nothing.
struct SentOrder {
  WorkerOrder order;
  Moment sent = 0;
  /// The worker said that it took the order.
  bool taken = false;
  /// Weights that come from the store.
  bool from_store = false;
  /// A reset or silence after the bytes may have left: it may begin at any moment.
  bool doubtful = false;
  /// The first report that didn't show it was asked for at this moment.
  std::optional<Moment> clear_since;
};

/// What the holder knows of one life of a worker.
struct WorkerBook {
  wire::WorkerEntry entry;
  Holdings held;
  /// Versions of the weights.
  std::map<std::string, std::uint64_t> revisions;
  /// Models that data nodes have been told to leave, and when.
  std::map<std::string, Moment> hidden;
  /// Models that this life has held: its own disk has them.
  std::set<std::string> had;
  /// Since when each of its models is known to be there.
  std::map<std::string, Moment> ready_since;
  /// Models that the worker refused to load or to unload.
  Refusals refused_loads;
  Refusals refused_unloads;
  /// The last order was for an adapter.
  bool adapter_last = false;
  /// Orders that the worker has taken in all; none until a report tells.
  std::optional<std::uint64_t> orders_taken;
  std::optional<SentOrder> order;
  /// Lists asked for sooner than this tell less of its models than the book.
  Moment lists_from = 0;
  /// The report that is open, or the order.
  std::uint64_t pipe = 0;
  bool pipe_orders = false;
  int answer = 0;
  std::string body;
  Moment asked = 0;
  /// Neither a report nor an order goes out sooner.
  Moment next_word = 0;
  std::size_t failures = 0;
  std::uint64_t running = 0;
  std::uint64_t waiting = 0;
};

/// Books by identity.
using Books = std::map<std::string, WorkerBook>;

/// What a list changed.
struct ListChange {
  /// A worker came or went, began to leave or has another address.
  bool workers = false;
  /// Identities of those that came or hold something else than the book said.
  std::set<std::string> holdings;
};

/// Takes a whole list: books of workers that are gone are closed, their pipes dropped.
ListChange books_list(Books& books, const std::vector<wire::WorkerEntry>& workers, Moment asked, Effects& effects);
/// Takes what the worker holds now; lists asked for before that and twice their lateness tell nothing newer.
void book_holdings(WorkerBook& book, const std::vector<wire::HeldModel>& models, const Limits& limits, Moment now);
/// Megabytes that its models and adapters take, with what may be on its way there.
std::int64_t book_room_taken(const WorkerBook& book, const PathService& service);
/// Adapters that are there or may be on their way there.
std::size_t book_adapters(const WorkerBook& book);
/// True when what the order would bring has room and a place, with what may be on its way there.
bool book_fits(const WorkerBook& book, const WorkerOrder& order, const PathService& service);
/// Weights of a model; one that isn't configured counts as the largest that is.
std::int64_t model_weights(const PathService& service, const std::string& model);
/// True when the worker has the model, and the adapter where one is named, and neither is being unloaded.
bool book_holds(const WorkerBook& book, const std::string& model, const std::string& adapter = {});

}  // namespace weldsail
