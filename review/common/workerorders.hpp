// Orders to load and unload at a stand-in for a model worker, as the pages describe them.
#pragma once
#include "standins.hpp"

namespace standins {

/// What a worker holds, and the order that is under way. Not locked.
class WorkerOrders {
 public:
  double load_ms = 2100;

  void hold(const std::string& model) { held_.insert(model); }
  const std::set<std::string>& held() const { return held_; }
  bool busy() const { return !order_model_.empty(); }
  std::uint64_t sequence() const { return sequence_; }
  /// True when a request for the model may begin.
  bool serves(const std::string& model) const {
    return held_.contains(model) && (order_model_ != model || order_load_);
  }

  std::string models_text() const {
    std::string text = "[";
    for (const auto& model : held_)
      text += (text.size() > 1 ? ",{" : "{") + std::string(R"("label":")") + model + R"(","revision":1,"adapters":[]})";
    return text + "]";
  }

  void finish_order() {
    if (order_model_.empty() || now_ms() < order_done_) return;
    if (order_load_)
      held_.insert(order_model_);
    else
      held_.erase(order_model_);
    order_model_.clear();
  }

  /// Takes an order; its answer's status.
  int order(const std::string& body) {
    finish_order();
    const auto text = [&](const char* name) {
      const auto mark = "\"" + std::string(name) + "\":\"";
      const auto place = body.find(mark);
      if (place == std::string::npos) return std::string();
      const auto begin = place + mark.size();
      return body.substr(begin, body.find('"', begin) - begin);
    };
    const auto number = [&](const char* name) -> std::optional<std::uint64_t> {
      const auto mark = "\"" + std::string(name) + "\":";
      const auto place = body.find(mark);
      if (place == std::string::npos) return std::nullopt;
      return std::strtoull(body.c_str() + place + mark.size(), nullptr, 10);
    };
    const auto model = text("model");
    const auto fence = number("fence");
    if (model.empty() || text("holder").empty() || !fence || !text("adapter").empty()) return 400;
    if (*fence < fence_) return 412;
    fence_ = *fence;
    if (!order_model_.empty() || number("expected").value_or(sequence_) != sequence_) return 409;
    const bool load = text("operation") == "load";
    if (held_.contains(model) == load) return 200;
    ++sequence_;
    order_model_ = model;
    order_load_ = load;
    order_done_ = now_ms() + static_cast<std::int64_t>(load ? load_ms : 20);
    return 202;
  }

 private:
  std::set<std::string> held_;
  std::string order_model_;
  bool order_load_ = false;
  std::int64_t order_done_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
};

}  // namespace standins
