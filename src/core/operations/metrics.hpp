#pragma once
#include "core/control.hpp"
#include "core/data.hpp"
#include "core/operations/metricstext.hpp"

/// Figures of a process for monitoring, each made from its state alone. Names, units and meaning of all families stand
/// in docs/operating.md.
namespace weldsail {

/// The figures of a data-plane process.
std::string data_metrics_text(const DataState& state, Moment now);
/// The figures of a control-plane process.
std::string control_metrics_text(const ControlState& state, Moment now);

/// Writes what each process has: its identity, members, connections.
void write_process_metrics(MetricsText& text, const MemberState& member, const TransportFigures& transport);
/// Writes what is known of the configuration's versions and of the transfers of large values.
void write_delivery_metrics(MetricsText& text, const NewsState& news, std::uint64_t in_force, std::uint64_t revision,
                            Moment now);

}  // namespace weldsail
