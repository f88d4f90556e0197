#ifndef GODWITPADDLE_BENCH_WAVE_SCENARIO_H_
#define GODWITPADDLE_BENCH_WAVE_SCENARIO_H_

#include <algorithm>
#include <cstdio>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include "bench/fleet_model.h"
#include "bench/scenario_result.h"

namespace godwitpaddle {

/// Outcome of one wave over a whole deployment.
struct WaveOutcome {
  double rollout_s = 0;
  double bound_s = 0;  // lower bound of rollout_s, from RolloutBound
  std::size_t done = 0;
  std::size_t failed = 0;
  int pauses = 0;
  int below_minimum = 0;  // operations planned on a healthy VM of a pool that is at min_available
  std::string state;
};

/// Returns a lower bound of the time in which all VMs of a zone can be operated on, at most `slots`
/// VMs at a time. `cycles` holds one duration for each VM: the time for which the VM occupies a
/// slot. The result is the maximum of three bounds: the longest cycle, the sum of all cycles
/// divided by `slots`, and the sum of the n shortest cycles, where n is the number of VMs divided
/// by `slots`, rounded up (at least one slot must process n VMs one after another).
inline Micros MinimumTime(std::vector<Micros> cycles, int slots) {
  std::sort(cycles.begin(), cycles.end());
  const auto count = static_cast<int>(cycles.size());
  const Micros sum = std::accumulate(cycles.begin(), cycles.end(), Micros{0});
  const int rounds_per_slot = (count + slots - 1) / slots;
  const Micros shortest_sum =
      std::accumulate(cycles.begin(), cycles.begin() + rounds_per_slot, Micros{0});
  return std::max({cycles.back(), sum / slots, shortest_sum});
}

/// Returns a lower bound of the roll-out time: the pools run in parallel, the availability zones of
/// a pool one after another, with as many VMs at a time as min_available allows.
inline Micros RolloutBound(const FleetModel& model) {
  std::map<PoolId, std::map<std::string, std::vector<Micros>>> cycles;
  for (const auto& [id, vm] : model.state.vms) {
    const VmTimes& times = model.vms.at(id).times;
    const Micros hold = model.state.config.pools.at(vm.pool).hold_down_s * kSecond;
    cycles[vm.pool][vm.zone].push_back(times.drain + times.platform + times.start + hold);
  }
  Micros longest = 0;
  for (const auto& [pool, zones] : cycles) {
    const int slots =
        AvailableVms(model.state, pool) - model.state.config.pools.at(pool).min_available;
    Micros total = 0;
    for (const auto& [zone, list] : zones) total += MinimumTime(list, slots);
    longest = std::max(longest, total);
  }
  return longest;
}

// A wave that takes longer than a day is considered stuck.
inline constexpr Micros kWaveTimeout = 1'440 * kMinute;

inline WaveOutcome RunWave(const Deployment& deployment, std::uint64_t seed, int max_parallel,
                           const FleetModel::Faults& faults) {
  FleetModel model(deployment, seed, max_parallel,
                   deployment.pools.size() > 100 ? kSecond : kSecond / 2);
  WaveOutcome outcome{.bound_s = static_cast<double>(RolloutBound(model)) / kSecond};
  model.faults = faults;
  model.Propose(ControlWave{"", "all", WaveAction::kStart});
  const Micros start = model.now;
  const WaveRecord& wave = model.state.waves.at("all");
  while (wave.state != WaveState::kDone && model.now - start < kWaveTimeout) {
    if (wave.state == WaveState::kPaused) {  // simulates an operator who resumes the wave
      ++outcome.pauses;
      model.Propose(ControlWave{"", "all", WaveAction::kResume});
    }
    model.Step([&](Plan& plan) {
      for (const CommandBody& body : plan.commands) {
        const auto* start_command = std::get_if<StartVmOperation>(&body);
        if (start_command == nullptr) continue;
        const VmRecord& vm = model.state.vms.at(start_command->vm);
        const int minimum = model.state.config.pools.at(vm.pool).min_available;
        if (vm.healthy && AvailableVms(model.state, vm.pool) <= minimum) ++outcome.below_minimum;
      }
    });
  }
  outcome.rollout_s = static_cast<double>(model.now - start) / kSecond;
  outcome.done = wave.done.size();
  outcome.failed = wave.failed.size();
  outcome.state = NameOf(kWaveStateNames, wave.state);
  return outcome;
}

inline std::string WaveLine(const std::string& name, const WaveOutcome& outcome) {
  char line[256];
  std::snprintf(line, sizeof(line),
                "wave %-22s rollout_s=%.1f bound_s=%.1f ratio=%.3f done=%zu failed=%zu pauses=%d "
                "over_budget=%d state=%s",
                name.c_str(), outcome.rollout_s, outcome.bound_s,
                outcome.rollout_s / outcome.bound_s, outcome.done, outcome.failed, outcome.pauses,
                outcome.below_minimum, outcome.state.c_str());
  return line;
}

/// Reports the roll-out of one wave over each deployment, without and with faults, compared with
/// the lower bound and with a roll-out of one VM at a time.
inline ScenarioResult WaveScenario(std::uint64_t seed, bool with_target) {
  ScenarioResult result;
  std::vector<Deployment> deployments = {FederationDeployment(), QureshiDeployment()};
  if (with_target) deployments.push_back(TargetDeployment());
  const FleetModel::Faults faults{.operation_failure_rate = 0.05,
                                  .vm_loss_interval = 5 * kMinute,
                                  .leader_change_interval = 3 * kMinute};
  for (const Deployment& deployment : deployments) {
    result.Add(WaveLine(deployment.name + "/calm", RunWave(deployment, seed, 0, {})));
    result.Add(WaveLine(deployment.name + "/faults", RunWave(deployment, seed, 0, faults)));
    if (deployment.pools.size() > 100) continue;
    result.Add(WaveLine(deployment.name + "/one-at-a-time", RunWave(deployment, seed, 1, {})));
  }
  return result;
}

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_BENCH_WAVE_SCENARIO_H_
