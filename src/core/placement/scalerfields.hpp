#pragma once
#include "core/configuration/config.hpp"

namespace weldsail {

/// One scaler value: its name in a document, its place and its range.
struct ScalerField {
  const char* name;
  double ScalerOptions::*place;
  double least;
  double most;
};

/// All scaler values.
inline constexpr ScalerField scaler_fields[] = {
    {"interval_s", &ScalerOptions::interval_s, 1, 300},
    {"stable_window_s", &ScalerOptions::stable_window_s, 1, 600},
    {"panic_window_s", &ScalerOptions::panic_window_s, 1, 300},
    {"panic_threshold", &ScalerOptions::panic_threshold, 0.001, 1000},
    {"ttft_target_ms", &ScalerOptions::ttft_target_ms, 1, 600000},
    {"itl_target_ms", &ScalerOptions::itl_target_ms, 1, 600000},
    {"breach_ratio", &ScalerOptions::breach_ratio, 1, 100},
    {"prefill_tokens_per_s", &ScalerOptions::prefill_tokens_per_s, 1, 1e9},
    {"decode_tokens_per_s", &ScalerOptions::decode_tokens_per_s, 1, 1e9},
    {"ratio_min", &ScalerOptions::ratio_min, 0.001, 1000},
    {"ratio_max", &ScalerOptions::ratio_max, 0.001, 1000},
    {"grow_step", &ScalerOptions::grow_step, 1, 1024},
    {"grow_percent", &ScalerOptions::grow_percent, 0, 1000},
    {"shrink_step", &ScalerOptions::shrink_step, 0, 1024},
    {"floor_window_s", &ScalerOptions::floor_window_s, 1, 1800},
    {"decode_grace_s", &ScalerOptions::decode_grace_s, 0, 3600},
    {"abort_cooldown_s", &ScalerOptions::abort_cooldown_s, 0, 3600},
    {"pending_timeout_s", &ScalerOptions::pending_timeout_s, 5, 1200},
    {"sample_limit", &ScalerOptions::sample_limit, 1, 64},
    {"idle_evict_s", &ScalerOptions::idle_evict_s, 1, 3600},
};

}  // namespace weldsail
