#ifndef GODWITPADDLE_BENCH_SCHEDULING_SCENARIO_H_
#define GODWITPADDLE_BENCH_SCHEDULING_SCENARIO_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bench/deployment.h"
#include "bench/pool_driver.h"
#include "bench/pool_policy.h"
#include "bench/report.h"
#include "bench/signature.h"

namespace godwitpaddle::bench {

using MakePolicy = std::function<std::unique_ptr<PoolPolicy>(SchedulerOptions)>;

struct PolicyChoice {
  std::string name;
  MakePolicy make;
};

inline SchedulerOptions OptionsOf(const Deployment& deployment, const ServiceModel& service) {
  SchedulerOptions options;
  options.pool = service.name;
  options.config = {.service = service.name, .slots_per_vm = kSlots, .max_queue = 1000};
  options.queues[service.name] = {.pool = service.name, .idempotent = service.idempotent};
  for (const TeamModel& team : deployment.teams) {
    options.teams[team.name] = {.share = team.share, .limit = 60};
  }
  return options;
}

inline std::unique_ptr<PoolPolicy> MakeScheduler(SchedulerOptions options) {
  return std::make_unique<SchedulerPolicy>(std::move(options));
}

/// Returns the scheduler with its default options, followed by the baselines.
inline std::vector<PolicyChoice> PolicyChoices() {
  const auto with_urgent = [](double reserve, bool checkpoint) {
    return [reserve, checkpoint](SchedulerOptions options) {
      options.urgent.reserve = reserve;
      options.urgent.checkpoint = checkpoint;
      return MakeScheduler(std::move(options));
    };
  };
  return {{"scheduler", MakeScheduler},
          {"first come",
           [](SchedulerOptions options) -> std::unique_ptr<PoolPolicy> {
             return std::make_unique<FirstComePolicy>(std::move(options));
           }},
          {"no urgent mechanism", with_urgent(0, false)},
          {"reserve 3%", with_urgent(0.03, false)},
          {"reserve 6%", with_urgent(0.06, false)},
          {"checkpoint", with_urgent(0, true)}};
}

struct ShareError {
  double mean = 0;
  double worst = 0;
  std::string where;  // direction, run and team of the worst value, as text
};

/// Returns the deviation of each team's use from its fair part, in percent of that part. Leaves out
/// teams whose fair part is below 1 slot second.
inline ShareError TeamShareError(const PoolMetrics& metrics) {
  ShareError distance;
  int count = 0;
  for (const auto& [name, use] : metrics.share) {
    if (use.second < 1) continue;
    const double relative = 100 * std::abs(use.first - use.second) / use.second;
    distance.mean += relative;
    if (relative > distance.worst) {
      distance.worst = relative;
      distance.where = (use.first > use.second ? "% over " : "% under ") + name + " of " +
                       std::to_string(use.second) + " slot seconds";
    }
    ++count;
  }
  if (count > 0) distance.mean /= count;
  return distance;
}

/// Returns the deviation of each team's use from its fair part per burst, in percentage points of
/// the pool's slot seconds in use.
inline ShareError BurstShareError(const PoolMetrics& metrics) {
  ShareError distance;
  int count = 0;
  for (const auto& [name, use] : metrics.burst_share) {
    const double slots = metrics.burst_slots.at(name.substr(0, name.rfind('/')));
    if (slots < 100) continue;  // the pool was full for little more than a second
    const double points = 100 * std::abs(use.first - use.second) / slots;
    distance.mean += points;
    distance.worst = std::max(distance.worst, points);
    ++count;
  }
  if (count > 0) distance.mean /= count;
  return distance;
}

inline double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

inline double Percent(double part, double whole) { return whole > 0 ? 100 * part / whole : 0; }

inline void PrintMetrics(Report& report, const std::string& scenario, const std::string& policy,
                         const PoolMetrics& metrics, bool is_shipped, double baseline_missed) {
  const ShareError share = TeamShareError(metrics);
  const ShareError burst = BurstShareError(metrics);
  const double missed = 100 - Percent(metrics.in_time, metrics.eligible);
  const double urgent = Quantile(metrics.urgent_wait_s, 0.99);
  const auto line = [&](const char* measure, double value, const char* unit) {
    report.PrintLine(scenario + " " + measure, policy, value, unit);
  };
  const auto goal = [&](const char* measure, double value, const char* unit, double bound) {
    if (!is_shipped) return line(measure, value, unit);
    report.PrintGoal(scenario + " " + measure, policy, value, unit, bound);
  };
  goal("share distance mean", share.mean, "%", 2);
  goal("share distance worst", share.worst, share.where.c_str(), 5);
  line("share distance per burst mean", burst.mean, "points");
  line("share distance per burst worst", burst.worst, "points");
  goal("deadlines missed", missed, "%", baseline_missed);
  goal("urgent start p99", urgent, "s", 1.9);
  line("urgent not started",
       100 - Percent(static_cast<double>(metrics.urgent_wait_s.size()), metrics.urgent_requests),
       "%");
  line("urgent start worst", Quantile(metrics.urgent_wait_s, 1), "s");
  line("wasted runs", Percent(metrics.wasted, metrics.starts), "%");
  line("refused early", Percent(metrics.refused_early, metrics.eligible), "%");
  line("refused late", Percent(metrics.refused_late, metrics.eligible), "%");
  line("late", Percent(metrics.late, metrics.eligible), "%");
  line("given up", Percent(metrics.failed, metrics.eligible), "%");
  line("servers with cores overloaded", Percent(metrics.core_overload_s, metrics.server_s), "%");
  line("servers with memory overloaded", Percent(metrics.memory_overload_s, metrics.server_s), "%");
  line("idle server time", Percent(metrics.idle_slot_s, metrics.total_slot_s), "%");
}

/// Reports share, deadlines, urgent starts and waste of each policy under the demand of both
/// deployments, without and with faults. The signature covers only the decisions of the scheduler
/// with its default options.
inline void RunSchedulingScenario(bool brief, Report& report, Signature& signature) {
  const Micros length = 240 * kSecond;
  for (const Deployment& deployment : {FederationDeployment(), QureshiDeployment()}) {
    for (const bool faults : {false, true}) {
      const std::string scenario = deployment.name + (faults ? " faults" : " calm");
      std::vector<std::pair<std::string, PoolMetrics>> results;
      for (const PolicyChoice& choice : PolicyChoices()) {
        if (brief && results.size() == 2) break;
        PoolMetrics& metrics = results.emplace_back(choice.name, PoolMetrics{}).second;
        Signature ignored;
        Signature& used = results.size() == 1 ? signature : ignored;
        for (std::size_t turn = 0; turn < deployment.services.size(); ++turn) {
          const auto policy = choice.make(OptionsOf(deployment, deployment.services[turn]));
          const DriverOptions options{.faults = faults, .seed = 1, .length = length};
          PoolDriver(deployment, turn, options, *policy, metrics, used).Run();
        }
      }
      const PoolMetrics& first_come = results[1].second;
      const double baseline = 100 - Percent(first_come.in_time, first_come.eligible);
      for (const auto& [name, metrics] : results) {
        PrintMetrics(report, scenario, name, metrics, &metrics == &results.front().second,
                     baseline);
      }
    }
  }
}

}  // namespace godwitpaddle::bench

#endif  // GODWITPADDLE_BENCH_SCHEDULING_SCENARIO_H_
