#pragma once
#include "sim/orders.hpp"
#include "sim/world.hpp"

namespace weldsail::sim {

/// One answer to an order; status 0 where none came in time or it was lost on its way.
struct OrderAnswered {
  std::size_t order = 0;
  int status = 0;
  std::string outcome;
};

/// Operators that race with up to eight orders under way, and the record that the plain model judges.
class OrderSenders {
 public:
  OrderSenders(World& world, std::vector<std::string> nodes, bool dialect);
  /// Sends new orders and repeats of earlier ones until the moment.
  void work_until(Moment end);
  /// Share of answers that are lost on their way.
  double answers_lost = 0.15;
  /// Changes by which the processes recognise repeats.
  std::size_t remembered = 12;
  /// Sends every order once more in calm times and compares each answer with the model's.
  std::vector<std::string> examine();
  /// What differs between the record and the model.
  std::vector<std::string> faults() const;
  std::size_t taken() const { return committed_.size(); }
  std::size_t repeats() const { return repeats_; }
  const std::vector<Order>& orders() const { return orders_; }
  /// Takes an order in hand and sends it until it has a clear answer, or eight tries had none.
  void send(std::size_t order, int tries, std::function<void()> then);
  std::size_t add(Order order);
  /// Answers of one sending of an order.
  const std::vector<OrderAnswered>& answers() const { return answers_; }

 private:
  /// Committed configurations in turn, and the order that brought each.
  struct Taken {
    std::vector<std::size_t> orders;
    std::vector<PlainConfig> configs;
    std::vector<std::string> faults;
  };
  void watch();
  void work(Moment end);
  void read(const std::function<void()>& then);
  Order next_order();
  std::optional<Order> older_order();
  Taken replay() const;
  std::string wrong_answer(const Taken& taken, const OrderAnswered& answer) const;
  std::string wrong_in_calm(const Taken& taken, const OrderAnswered& answer) const;

  World& world_;
  std::vector<std::string> nodes_;
  bool dialect_;
  std::vector<Order> orders_;
  std::vector<OrderAnswered> answers_;
  std::map<std::uint64_t, std::string> committed_;
  std::vector<std::string> slips_;
  PlainConfig known_;
  std::size_t repeats_ = 0;
};

}  // namespace weldsail::sim
