#include "control/plan_pace.h"

#include <algorithm>

namespace godwitpaddle::jobs {
namespace {

/// Upper bounds of the histogram's buckets, in milliseconds. A longer delay counts in the total.
constexpr std::array<std::int64_t, 6> kDelayBucketsMs = {10, 30, 100, 300, 1'000, 3'000};

}  // namespace

void PlanPace::CountEnd(PlanEnd end, Outbox& out) {
  ++counts_.at(static_cast<std::size_t>(end));
  out.Count("plans_" + std::string(NameOf(kPlanEndNames, end)) + "_total");
}

void PlanPace::OnPlan(PlanEnd end, Micros now, Outbox& out) {
  CountEnd(end, out);
  const Micros delay = held_since_ == 0 ? 0 : now - held_since_;
  held_since_ = 0;
  longest_delay_ = std::max(longest_delay_, delay);
  out.Count("plan_delay_total");
  for (const std::int64_t bound_ms : kDelayBucketsMs) {
    if (delay > bound_ms * kMillisecond) continue;
    out.Count("plan_delay_le_" + std::to_string(bound_ms) + "_ms_total");
  }
}

void PlanPace::OnHeldBack(PlanEnd reason, Micros now, Outbox& out) {
  if (held_since_ != 0) return;
  held_since_ = now;
  CountEnd(reason, out);
}

Fields PlanPace::TakeFields() {
  std::string ends;
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    if (counts_.at(i) == 0) continue;
    ends += (ends.empty() ? "" : ",") + std::string(kPlanEndNames.at(i)) + ":" +
            std::to_string(counts_.at(i));
  }
  counts_ = {};
  const Micros delay = longest_delay_;
  longest_delay_ = 0;
  return {{"plans", std::move(ends)},
          {"longest_plan_delay_ms", std::to_string(delay / kMillisecond)}};
}

}  // namespace godwitpaddle::jobs
