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

inline std::unique_ptr<PoolPolicy> Ours(SchedulerOptions options) {
  return std::make_unique<SchedulerPolicy>(std::move(options));
}

/// The scheduler as shipped, then the baselines.
inline std::vector<PolicyChoice> Choices() {
  const auto with_urgent = [](double reserve, bool checkpoint) {
    return [reserve, checkpoint](SchedulerOptions options) {
      options.urgent.reserve = reserve;
      options.urgent.checkpoint = checkpoint;
      return Ours(std::move(options));
    };
  };
  return {{"scheduler", Ours},
          {"first come",
           [](SchedulerOptions options) -> std::unique_ptr<PoolPolicy> {
             return std::make_unique<FirstComePolicy>(std::move(options));
           }},
          {"no urgent mechanism", with_urgent(0, false)},
          {"reserve 3%", with_urgent(0.03, false)},
          {"reserve 6%", with_urgent(0.06, false)},
          {"checkpoint", with_urgent(0, true)}};
}

struct Distance {
  double mean = 0;
  double worst = 0;
  std::string where;  // run and team of the worst
};

/// Distance of each team's use from its due part, relative to that part, in percent.
inline Distance ShareDistance(const PoolFigures& figures) {
  Distance distance;
  int count = 0;
  for (const auto& [name, use] : figures.share) {
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

/// The same for each burst, in points of the pool's slots in use.
inline Distance BurstDistance(const PoolFigures& figures) {
  Distance distance;
  int count = 0;
  for (const auto& [name, use] : figures.burst_share) {
    const double slots = figures.burst_slots.at(name.substr(0, name.rfind('/')));
    if (slots < 100) continue;  // full for little more than a second
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

inline void Print(Report& report, const std::string& scenario, const std::string& policy,
                  const PoolFigures& figures, bool ours, double baseline_missed) {
  const Distance share = ShareDistance(figures);
  const Distance burst = BurstDistance(figures);
  const double missed = 100 - Percent(figures.in_time, figures.asked);
  const double urgent = Quantile(figures.urgent_wait_s, 0.99);
  const auto line = [&](const char* measure, double value, const char* unit) {
    report.Line(scenario + " " + measure, policy, value, unit);
  };
  const auto goal = [&](const char* measure, double value, const char* unit, double bound) {
    if (!ours) return line(measure, value, unit);
    report.Goal(scenario + " " + measure, policy, value, unit, bound);
  };
  goal("share distance mean", share.mean, "%", 2);
  goal("share distance worst", share.worst, share.where.c_str(), 5);
  line("share distance per burst mean", burst.mean, "points");
  line("share distance per burst worst", burst.worst, "points");
  goal("deadlines missed", missed, "%", baseline_missed);
  goal("urgent start p99", urgent, "s", 1.9);
  line("urgent not started",
       100 - Percent(static_cast<double>(figures.urgent_wait_s.size()), figures.urgent_asked), "%");
  line("urgent start worst", Quantile(figures.urgent_wait_s, 1), "s");
  line("wasted runs", Percent(figures.wasted, figures.starts), "%");
  line("refused early", Percent(figures.refused_early, figures.asked), "%");
  line("refused late", Percent(figures.refused_late, figures.asked), "%");
  line("late", Percent(figures.late, figures.asked), "%");
  line("given up", Percent(figures.failed, figures.asked), "%");
  line("servers with cores overloaded", Percent(figures.core_overload_s, figures.server_s), "%");
  line("servers with memory overloaded", Percent(figures.memory_overload_s, figures.server_s), "%");
  line("idle server time", Percent(figures.idle_slot_s, figures.total_slot_s), "%");
}

/// Share, deadlines, urgent starts and waste of each policy under the demand of both deployments.
/// The signature covers the decisions of the scheduler as shipped.
inline void RunScheduling(bool brief, Report& report, Signature& signature) {
  const Micros length = (brief ? 80 : 240) * kSecond;
  for (const Deployment& deployment : {Federation(), Qureshi()}) {
    for (const bool faults : {false, true}) {
      const std::string scenario = deployment.name + (faults ? " faults" : " calm");
      std::vector<std::pair<std::string, PoolFigures>> results;
      for (const PolicyChoice& choice : Choices()) {
        if (brief && results.size() == 2) break;
        PoolFigures& figures = results.emplace_back(choice.name, PoolFigures{}).second;
        Signature ignored;
        Signature& used = results.size() == 1 ? signature : ignored;
        for (std::size_t turn = 0; turn < deployment.services.size(); ++turn) {
          const auto policy = choice.make(OptionsOf(deployment, deployment.services[turn]));
          const DriverOptions options{.faults = faults, .seed = 1, .length = length};
          PoolDriver(deployment, turn, options, *policy, figures, used).Run();
        }
      }
      const PoolFigures& first_come = results[1].second;
      const double baseline = 100 - Percent(first_come.in_time, first_come.asked);
      for (const auto& [name, figures] : results) {
        Print(report, scenario, name, figures, &figures == &results.front().second, baseline);
      }
    }
  }
}

}  // namespace godwitpaddle::bench

#endif  // GODWITPADDLE_BENCH_SCHEDULING_SCENARIO_H_
