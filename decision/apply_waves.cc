#include <algorithm>
#include <string>

#include "decision/apply_detail.h"

namespace godwitpaddle::detail {
namespace {

void EndIfComplete(WaveRecord& wave, const ApplyContext& ctx) {
  if (!wave.remaining.empty()) return;
  if (wave.state != WaveState::kRunning && wave.state != WaveState::kPaused) return;
  wave.state = WaveState::kDone;
  wave.ended = ctx.now;
  wave.reason = wave.failed.empty() ? "" : std::to_string(wave.failed.size()) + " VMs failed";
}

ApplyResult Start(FleetState& state, const ApplyContext& ctx, const ControlWave& body) {
  const auto config = state.config.waves.find(body.wave);
  if (config == state.config.waves.end()) {
    return Refuse(ResultCode::kNotFound, "there is no wave \"" + body.wave + "\"");
  }
  WaveRecord& wave = state.waves[body.wave];
  const bool is_open = wave.state == WaveState::kRunning || wave.state == WaveState::kPaused;
  if (wave.run_number > 0 && is_open) {
    return Refuse(ResultCode::kConflict, "the wave is already running or paused");
  }
  wave = {.run_number = wave.run_number + 1, .started = ctx.now};
  const auto& pools = config->second.pools;
  for (const auto& [id, vm] : state.vms) {
    if (std::find(pools.begin(), pools.end(), vm.pool) != pools.end()) wave.remaining.insert(id);
  }
  EndIfComplete(wave, ctx);
  return {};
}

ApplyResult Resume(FleetState& state, const WaveId& id, WaveRecord& wave) {
  const std::set<VmId> failures = WaveFailures(state, id);
  wave.accepted_failures.insert(failures.begin(), failures.end());
  wave.state = WaveState::kRunning;
  wave.reason.clear();
  return {};
}

}  // namespace

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const ControlWave& body) {
  if (body.action == WaveAction::kStart) return Start(state, ctx, body);
  const auto it = state.waves.find(body.wave);
  if (it == state.waves.end()) {
    return Refuse(ResultCode::kNotFound, "the wave \"" + body.wave + "\" was never started");
  }
  WaveRecord& wave = it->second;
  const bool paused = wave.state == WaveState::kPaused;
  if (body.action == WaveAction::kResume && paused) return Resume(state, body.wave, wave);
  if (body.action == WaveAction::kPause && wave.state == WaveState::kRunning) {
    wave.state = WaveState::kPaused;
    wave.reason = body.reason;
    return {};
  }
  if (body.action == WaveAction::kCancel && (paused || wave.state == WaveState::kRunning)) {
    wave.state = WaveState::kCancelled;
    wave.reason = body.reason;
    wave.ended = ctx.now;
    return {};
  }
  return Refuse(ResultCode::kConflict,
                "the wave is " + std::string(NameOf(kWaveStateNames, wave.state)));
}

void FinishWaveVm(FleetState& state, const ApplyContext& ctx, const WaveId& wave, const VmId& vm,
                  bool succeeded) {
  const auto it = state.waves.find(wave);
  if (it == state.waves.end() || it->second.remaining.erase(vm) == 0) return;
  (succeeded ? it->second.done : it->second.failed).insert(vm);
  EndIfComplete(it->second, ctx);
}

void ReconcileWaves(FleetState& state, const ApplyContext& ctx) {
  for (auto& [id, wave] : state.waves) {
    if (wave.state != WaveState::kRunning && wave.state != WaveState::kPaused) continue;
    if (state.config.waves.count(id) == 0) {
      wave.state = WaveState::kCancelled;
      wave.reason = "removed from the configuration";
      wave.ended = ctx.now;
      continue;
    }
    std::erase_if(wave.remaining, [&](const VmId& vm) { return state.vms.count(vm) == 0; });
    EndIfComplete(wave, ctx);
  }
}

}  // namespace godwitpaddle::detail
