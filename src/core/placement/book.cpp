#include "core/placement/book.hpp"

#include <algorithm>
#include <cmath>

namespace weldsail {
namespace {

/// True when the book says just that already.
bool says(const WorkerBook& book, const auto& models) {
  if (book.held.size() != static_cast<std::size_t>(models.size())) return false;
  return std::ranges::all_of(models, [&](const auto& model) {
    const auto held = book.held.find(model.name());
    const auto revision = book.revisions.find(model.name());
    return held != book.held.end() && revision != book.revisions.end() && revision->second == model.revision() &&
           held->second == std::set<std::string>(model.adapters().begin(), model.adapters().end());
  });
}

void hold(WorkerBook& book, const auto& models, Moment now) {
  book.held.clear();
  book.revisions.clear();
  for (const auto& model : models) {
    book.held[model.name()] = {model.adapters().begin(), model.adapters().end()};
    book.revisions[model.name()] = model.revision();
    book.had.insert(model.name());
    book.ready_since.try_emplace(model.name(), now);
  }
  std::erase_if(book.ready_since, [&](const auto& item) { return !book.held.contains(item.first); });
}

std::int64_t adapter_size(const PathService& service, const std::string& model) {
  const auto found = service.models.find(model);
  return found == service.models.end() ? 0 : static_cast<std::int64_t>(std::ceil(found->second.adapter_mb));
}

}  // namespace

ListChange books_list(Books& books, const std::vector<wire::WorkerEntry>& workers, Moment asked, Effects& effects) {
  ListChange change;
  std::set<std::string> listed;
  for (const auto& worker : workers) {
    listed.insert(worker.identity());
    const auto [found, fresh] = books.try_emplace(worker.identity());
    auto& book = found->second;
    change.workers |= fresh || book.entry.draining() != worker.draining() || book.entry.address() != worker.address();
    if (fresh) change.holdings.insert(worker.identity());
    book.entry = worker;
    if (asked < book.lists_from || book.order || says(book, worker.models())) continue;
    change.holdings.insert(worker.identity());
    hold(book, worker.models(), asked);
  }
  for (auto book = books.begin(); book != books.end();) {
    if (listed.contains(book->first)) {
      ++book;
      continue;
    }
    if (book->second.pipe != 0) effects.push_back(CancelPipe{book->second.pipe});
    book = books.erase(book);
    change.workers = true;
  }
  return change;
}

void book_holdings(WorkerBook& book, const std::vector<wire::HeldModel>& models, const Limits& limits, Moment now) {
  hold(book, models, now);
  book.lists_from = now + 2 * limits.list_delay;
}

std::int64_t model_weights(const PathService& service, const std::string& model) {
  const auto found = service.models.find(model);
  if (found != service.models.end()) return found->second.weights_mb;
  std::int64_t largest = 0;
  for (const auto& [name, options] : service.models) largest = std::max(largest, options.weights_mb);
  return largest;
}

std::int64_t book_room_taken(const WorkerBook& book, const PathService& service) {
  std::int64_t taken = 0;
  for (const auto& [model, adapters] : book.held)
    taken += model_weights(service, model) + adapter_size(service, model) * static_cast<std::int64_t>(adapters.size());
  if (!book.order || !book.order->order.load) return taken;
  const auto& order = book.order->order;
  if (book_holds(book, order.model, order.adapter)) return taken;
  return taken + (order.adapter.empty() ? model_weights(service, order.model) : adapter_size(service, order.model));
}

std::size_t book_adapters(const WorkerBook& book) {
  std::size_t count = 0;
  for (const auto& [model, adapters] : book.held) count += adapters.size();
  const bool coming = book.order && book.order->order.load && !book.order->order.adapter.empty() &&
                      !book_holds(book, book.order->order.model, book.order->order.adapter);
  return count + (coming ? 1 : 0);
}

bool book_holds(const WorkerBook& book, const std::string& model, const std::string& adapter) {
  const auto found = book.held.find(model);
  if (found == book.held.end() || (!adapter.empty() && !found->second.contains(adapter))) return false;
  if (!book.order || book.order->order.load || book.order->order.model != model) return true;
  return !book.order->order.adapter.empty() && book.order->order.adapter != adapter;
}

bool book_fits(const WorkerBook& book, const WorkerOrder& order, const PathService& service) {
  if (!order.load) return true;
  const auto model = service.models.find(order.model);
  if (model == service.models.end()) return false;
  const auto taken = book_room_taken(book, service);
  if (order.adapter.empty()) return taken + model->second.weights_mb <= service.room_mb;
  return book_holds(book, order.model) && book_adapters(book) < service.adapter_places &&
         taken + static_cast<std::int64_t>(model->second.adapter_mb) + 1 <= service.room_mb;
}

}  // namespace weldsail
