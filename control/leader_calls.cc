#include <algorithm>
#include <cmath>
#include <utility>

#include "control/event_queue.h"
#include "control/leader.h"
#include "control/refusal.h"
#include "jobs/job_admission.h"
#include "jobs/team_shares.h"

// The leader's handlers for calls of clients, workers and operators.
namespace godwitpaddle::jobs {
namespace {

using detail::MakeRefusal;

constexpr std::int64_t kConfigureRetryS = 1;
constexpr std::int64_t kOverloadRetryS = 1;
constexpr std::int64_t kMaxRetryS = 30;

/// Whether the job has more than `limit` tasks. Compares before it multiplies: the product of two
/// valid counts may overflow.
bool HasMoreTasks(const JobSpec& spec, std::uint64_t limit) {
  std::uint64_t count = 0;  // of one occurrence
  for (const Step& step : spec.steps) {
    count += step.count;
    if (count > limit) return true;
  }
  return count * spec.occurrences() > limit;
}

/// Returns the team's accepted work in VM-milliseconds.
double WorkInVmMs(const TeamLoad& load, const Resources& vm) {
  const auto ratio = [](double amount, std::int64_t of) {
    return of <= 0 ? 0 : amount / static_cast<double>(of);
  };
  return std::max(ratio(load.open_cpu_ms, vm.cpu), ratio(load.open_memory_ms, vm.memory_mb));
}

/// Returns after how many seconds the caller may come back. Callers that are refused at the same
/// time come back over a time as long as the one they wait, so that no second peak follows.
std::int64_t RetryAfterS(const AdmissionVerdict& verdict, JobId job) {
  const auto seconds = static_cast<std::int64_t>(std::ceil(verdict.retry_after_ms / 1'000));
  const std::int64_t least = std::clamp(seconds, kOverloadRetryS, kMaxRetryS);
  return least + static_cast<std::int64_t>(job % static_cast<std::uint64_t>(least + 1));
}

}  // namespace

void Leader::Refuse(const JobCall& call, const CallRequest& request, Answer refusal,
                    Outbox& out) const {
  out.Log("call_refused", {{"call", std::string(NameOf(kJobCallKindNames, call.kind))},
                           {"path", call.path},
                           {"code", std::string(NameOf(kAnswerCodeNames, refusal.code))},
                           {"reason", refusal.text},
                           {"configuration", std::to_string(state_.configuration().version)}});
  Reply(RequesterOf(request), std::move(refusal), out);
}

void Leader::OnCall(const CallRequest& request, Micros waited, Micros now, WallMs wall,
                    Outbox& out) {
  if (HasToWait(request.call)) {
    held_calls_.push_back({.request = request, .waited = waited});
    return out.Count("calls_held_total");
  }
  HandleCall(request, waited, now, wall, out);
}

void Leader::HandleCall(const CallRequest& request, Micros waited, Micros now, WallMs wall,
                        Outbox& out) {
  call_waited_ = waited;
  std::visit([&](const auto& call) { Handle(call, request, now, wall, out); }, request.call);
}

bool Leader::HasToWait(const Call& call) const {
  if (!configure_unapplied_) return false;
  if (std::holds_alternative<ConfigureCall>(call)) return true;
  const auto* job_call = std::get_if<JobCall>(&call);
  if (job_call == nullptr || job_call->kind == JobCallKind::kQuery) return false;
  if (job_call->kind == JobCallKind::kSubmit) return true;
  // A cancellation waits for the job that it cancels.
  return std::ranges::any_of(held_calls_, [&](const HeldCall& held) {
    const auto* before = std::get_if<JobCall>(&held.request.call);
    return before != nullptr && before->host == job_call->host && before->path == job_call->path;
  });
}

void Leader::HandleHeldCalls(Micros now, WallMs wall, Outbox& out) {
  while (!held_calls_.empty() && !configure_unapplied_) {
    const HeldCall next = std::move(held_calls_.front());
    held_calls_.pop_front();
    HandleCall(next.request, next.waited, now, wall, out);
  }
}

void Leader::Handle(const JobCall& call, const CallRequest& request, Micros /*now*/, WallMs wall,
                    Outbox& out) {
  const Configuration& configuration = state_.configuration();
  const auto refuse = [&](Answer refusal) { Refuse(call, request, std::move(refusal), out); };
  if (configuration.version == 0) {
    return refuse(MakeRefusal(AnswerCode::kUnavailable, "no configuration yet", kConfigureRetryS));
  }
  const NamedJob named = FindNamedJob(call);
  const bool has_key = HasKey(call, named);
  if (call.kind == JobCallKind::kCancel && named.job != nullptr && has_key) {
    return OnCancel(call, *named.path, request, wall, out);
  }
  const bool repeated_submit = request.repeated && call.kind == JobCallKind::kSubmit;
  if (repeated_submit && named.job != nullptr && (named.queue == nullptr || !has_key)) {
    return refuse(MakeRefusal(AnswerCode::kUnknown, "an earlier leader may have accepted the job"));
  }
  if (named.queue == nullptr) return refuse(MakeRefusal(AnswerCode::kNoQueue, "no such queue"));
  if (!has_key) return refuse(MakeRefusal(AnswerCode::kBadKey, "the key belongs to no team"));
  switch (call.kind) {
    case JobCallKind::kSubmit:
      return OnSubmit(call, named, request, wall, out);
    case JobCallKind::kQuery:
      return OnQuery(call, named, request, out);
    case JobCallKind::kCancel:
      if (!named.path) return refuse(MakeRefusal(AnswerCode::kNoSuchJob, "no such job"));
      return OnCancel(call, *named.path, request, wall, out);
  }
}

Leader::NamedJob Leader::FindNamedJob(const JobCall& call) const {
  NamedJob named{.queue = FindQueue(state_.configuration(), call.host, call.path),
                 .path = ParseJobPath(call.host, call.path)};
  if (named.path) named.job = state_.FindJobAt(*named.path);
  return named;
}

bool Leader::HasKey(const JobCall& call, const NamedJob& named) const {
  const bool any_queue = named.queue != nullptr || named.job != nullptr;
  const bool queue_open = named.queue == nullptr || named.queue->open;
  const bool job_open = named.job == nullptr || State::QueueOf(*named.job).open;
  if (any_queue && queue_open && job_open) return true;
  return FindTeamByKey(state_.configuration(), call.key) != nullptr;
}

void Leader::OnQuery(const JobCall& call, const NamedJob& named, const CallRequest& request,
                     Outbox& out) const {
  if (named.job != nullptr) return Reply(RequesterOf(request), PhaseOf(*named.job), out);
  if (call.path == named.queue->prefix) {
    return Reply(RequesterOf(request), CountPending(*named.queue), out);
  }
  Refuse(call, request, MakeRefusal(AnswerCode::kNoSuchJob, "no such job"), out);
}

/// Proposed also if the job is not known or has ended: a Submit may be before it in the log, and
/// one that is applied later must not be accepted.
void Leader::OnCancel(const JobCall& call, const JobPath& path, const CallRequest& request,
                      WallMs wall, Outbox& out) {
  const Job* job = state_.FindJobAt(path);
  const std::string phase(job == nullptr ? "unknown" : NameOf(kJobPhaseNames, job->phase));
  out.Log("job_cancelled", {{"job", FormatJob(path.job)}, {"path", call.path}, {"phase", phase}});
  ProposeFor(Cancel{.job = path.job, .wall_ms = wall, .host = path.host, .prefix = path.prefix},
             request);
}

void Leader::OnSubmit(const JobCall& call, const NamedJob& named, const CallRequest& request,
                      WallMs wall, Outbox& out) {
  if (named.job != nullptr) return Reply(RequesterOf(request), {}, out);
  const auto refuse = [&](AnswerCode code, std::string reason, std::int64_t retry_after_s = 0) {
    Refuse(call, request, MakeRefusal(code, std::move(reason), retry_after_s), out);
  };
  const Queue& queue = *named.queue;
  if (!named.path || named.path->prefix != queue.prefix) {
    return refuse(AnswerCode::kInvalid, "the path contains no job id");
  }
  const JobId job = named.path->job;
  if (state_.FindJob(job) != nullptr) {
    return refuse(AnswerCode::kInvalid, "the id names a job of another queue");
  }
  if (state_.IsCancelledBefore(*named.path)) {
    return refuse(AnswerCode::kNoSuchJob, "the job was cancelled before it arrived");
  }
  if (call_waited_ > kMaxSubmitWait && MayRefuse(job)) {
    out.Count("submits_refused_late_total");
    return refuse(AnswerCode::kOverloaded, "the leader is overloaded; the job was not accepted",
                  kOverloadRetryS);
  }
  std::string error = CheckSpec(call.spec);
  if (error.empty() && queue.requires_ticket) error = "policy services are not supported";
  if (!error.empty()) return refuse(AnswerCode::kInvalid, std::move(error));
  if (auto refusal = RefuseForLackOfRoom(call, queue, job, out)) {
    return Refuse(call, request, *std::move(refusal), out);
  }
  ProposeSubmit(call, queue, job, request, wall, out);
}

void Leader::ProposeSubmit(const JobCall& call, const Queue& queue, JobId job,
                           const CallRequest& request, WallMs wall, Outbox& out) {
  out.Log("job_accepted", {{"job", FormatJob(job)},
                           {"queue", queue.name},
                           {"configuration", std::to_string(state_.configuration().version)},
                           {"open_jobs", std::to_string(state_.open_job_count())},
                           {"steps", FormatSteps(call.spec.steps)}});
  unapplied_submits_.insert(job);
  ProposeFor(Submit{.job = job,
                    .queue = queue.name,
                    .key = call.key,
                    .wall_ms = wall,
                    .spec = call.spec,
                    .host = queue.host,
                    .prefix = queue.prefix},
             request);
}

bool Leader::MayRefuse(JobId job) const {
  return state_.FindJob(job) == nullptr && !unapplied_submits_.contains(job);
}

std::optional<Answer> Leader::RefuseForLackOfRoom(const JobCall& call, const Queue& queue,
                                                  JobId job, Outbox& out) {
  const KnownTeam* team = queue.open ? nullptr : state_.FindTeamOfKey(call.key);
  const RoomOutlook* room = pools_.OutlookOf(queue.service);
  const bool bounded =
      call.spec.repeat_count == 0 && std::ranges::none_of(call.spec.steps, &Step::long_running);
  if (team == nullptr || room == nullptr || !bounded || !MayRefuse(job)) return std::nullopt;
  std::vector<TeamDemand> demands;
  double ahead_vm_ms = 0;
  const double factor = demand_.EstimateFactor(queue.service);
  for (const auto& [number, load] : state_.LoadsOf(queue.service)) {
    const KnownTeam* one = state_.FindTeam(number);
    if (one == nullptr) continue;
    demands.push_back({.team = number,
                       .weight = one->team.weight,
                       .used = load.used,
                       .wanted = load.used + load.waiting});
    if (one == team) ahead_vm_ms = factor * WorkInVmMs(load, room->vm);
  }
  const std::vector<TeamShare> shares = DivideService(demands, room->vms, room->vm);
  const bool crowds = std::ranges::any_of(
      shares, [&](const TeamShare& share) { return share.crowds && share.team == team->number; });
  const double path_ms = factor * static_cast<double>(CriticalPathMs(call.spec));
  const AdmissionVerdict verdict = DecideAdmission(
      {.ahead_vm_ms = ahead_vm_ms,
       .team_vms = ExpectedVms(demands, team->number, team->team.weight, room->vms, room->vm),
       .room_delay_ms = static_cast<double>(room->delay) / kMillisecond,
       .critical_path_ms = path_ms,
       .objective_ms = static_cast<double>(queue.target_latency_ms) + queue.stretch * path_ms,
       .crowds = crowds});
  if (verdict.admitted) return std::nullopt;
  ++refused_[team->number];
  out.Count("jobs_refused_no_room_total");
  return MakeRefusal(AnswerCode::kOverloaded,
                     "the team's work before this job would take too long; the job was not "
                     "accepted",
                     RetryAfterS(verdict, job));
}

std::string Leader::CheckSpec(const JobSpec& spec) const {
  if (spec.payload.size() > options_.max_spec_bytes) return "the job's payload is too long";
  if (spec.steps.empty()) return "the job has no steps";
  if (HasMoreTasks(spec, options_.max_tasks)) return "the job has too many tasks";
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const Step& step = spec.steps[i];
    if (step.count == 0) return "a step has no tasks";
    if (step.size.cpu < 0 || step.size.memory_mb < 0 || step.size.accelerators < 0) {
      return "a step requests a negative amount of a resource";
    }
    for (const std::uint32_t dependency : step.depends_on) {
      if (dependency >= i) return "a step depends on itself or on a later step";
    }
  }
  return {};
}

Answer Leader::CountPending(const Queue& queue) const {
  const KnownQueue* known = state_.FindKnownQueue(queue);
  const std::size_t pending =
      known == nullptr ? 0 : known->queued_jobs + fleet_.unbegun_jobs().Count(known->number);
  return {.content = AnswerContent::kPending, .number = pending};
}

Answer Leader::PhaseOf(const Job& job) const {
  const bool unbegun = job.phase == JobPhase::kRunning && fleet_.unbegun_jobs().Contains(job.id);
  const JobPhase phase = unbegun ? JobPhase::kQueued : job.phase;
  return {.content = AnswerContent::kJobPhase, .text = std::string(NameOf(kJobPhaseNames, phase))};
}

/// Whether the service of the record is in the configuration, or was when the worker first reported
/// it. Before the first configuration every service may be.
bool Leader::NamesKnownService(const WorkerRecord& record, const Worker* known) const {
  const Configuration& configuration = state_.configuration();
  return configuration.version == 0 ||
         (known != nullptr && known->record.service == record.service) ||
         FindService(configuration, record.service) != nullptr;
}

void Leader::Handle(const HeartbeatCall& call, const CallRequest& request, Micros now,
                    WallMs /*wall*/, Outbox& out) {
  const Worker* known = state_.FindWorker(call.record.id);
  const bool starts_draining = call.record.phase == WorkerPhase::kDraining &&
                               (known == nullptr || known->record.phase != WorkerPhase::kDraining);
  if (!NamesKnownService(call.record, known)) {
    out.Log("report_refused",
            {{"worker", call.record.id}, {"service", call.record.service}, {"vm", call.record.vm}},
            Severity::kWarning);
    return Reply(RequesterOf(request),
                 MakeRefusal(AnswerCode::kInvalid, "no configuration has this service"), out);
  }
  const bool accepted = fleet_.OnHeartbeat(call, now);
  if (known == nullptr || starts_draining ||
      known->record.incarnation_ms != call.record.incarnation_ms) {
    out.Log("worker_reported", {{"worker", call.record.id},
                                {"born_ms", std::to_string(call.record.incarnation_ms)},
                                {"vm", call.record.vm},
                                {"service", call.record.service},
                                {"draining", starts_draining ? "true" : "false"},
                                {"taken", accepted ? "true" : "false"}});
  }
  Reply(RequesterOf(request), {}, out);
}

void Leader::Handle(const LeaveCall& call, const CallRequest& request, Micros now, WallMs /*wall*/,
                    Outbox& out) {
  out.Log("worker_left", {{"worker", call.worker}});
  fleet_.ExpectWorkerDown(call.worker, now);
  Reply(RequesterOf(request), {}, out);
}

void Leader::Handle(const ConfigureCall& call, const CallRequest& request, Micros /*now*/,
                    WallMs /*wall*/, Outbox& out) {
  const Requester requester = RequesterOf(request);
  const std::string error = CheckConfiguration(call.configuration);
  out.Log("configuration_received", {{"version", std::to_string(call.configuration.version)},
                                     {"in_force", std::to_string(state_.configuration().version)},
                                     {"error", error}});
  if (!error.empty()) return Reply(requester, MakeRefusal(AnswerCode::kInvalid, error), out);
  if (call.configuration.version <= state_.configuration().version) {
    return Reply(requester, {}, out);
  }
  configure_unapplied_ = true;
  ProposeFor(Configure{.configuration = call.configuration}, request);
}

void Leader::Handle(const ReadConfigurationCall& /*call*/, const CallRequest& request,
                    Micros /*now*/, WallMs /*wall*/, Outbox& out) {
  const Requester requester = RequesterOf(request);
  const Configuration& configuration = state_.configuration();
  if (configuration.version == 0) {
    return Reply(requester,
                 MakeRefusal(AnswerCode::kUnavailable, "no configuration yet", kConfigureRetryS),
                 out);
  }
  Reply(requester, {.content = AnswerContent::kConfiguration, .text = configuration.document}, out);
}

void Leader::Handle(const WaveCall& call, const CallRequest& request, Micros /*now*/, WallMs wall,
                    Outbox& out) {
  out.Log("wave_received", {{"wave", std::to_string(call.wave.wave)},
                            {"vms", std::to_string(call.wave.vms.size())},
                            {"max_down", std::to_string(call.wave.max_down)},
                            {"duration_ms", std::to_string(call.wave.duration_ms)}});
  StartWave wave = call.wave;
  wave.wall_ms = wall;
  ProposeFor(std::move(wave), request);
}

void Leader::Handle(const WaveQueryCall& call, const CallRequest& request, Micros /*now*/,
                    WallMs /*wall*/, Outbox& out) {
  const Requester requester = RequesterOf(request);
  const auto wave = state_.waves().find(call.wave);
  if (wave == state_.waves().end()) {
    return Reply(requester, MakeRefusal(AnswerCode::kNoQueue, "no such wave"), out);
  }
  Reply(requester,
        {.content = AnswerContent::kWavePhase,
         .text = wave->second.completed() ? "completed" : "running"},
        out);
}

bool Leader::IsKnownZone(const std::string& zone) const {
  if (std::ranges::find(options_.zones, zone) != options_.zones.end()) return true;
  return std::ranges::any_of(state_.workers(),
                             [&](const auto& entry) { return entry.second.record.zone == zone; });
}

/// An order is proposed even if the zone is already as ordered: an earlier order that is not
/// applied yet may change that.
void Leader::Handle(const EvacuationCall& call, const CallRequest& request, Micros /*now*/,
                    WallMs wall, Outbox& out) {
  const bool known = IsKnownZone(call.zone) || state_.IsEvacuated(call.zone);
  out.Log("evacuation_received", {{"zone", call.zone},
                                  {"evacuate", call.evacuated ? "true" : "false"},
                                  {"known", known ? "true" : "false"}});
  if (!known) {
    return Reply(RequesterOf(request),
                 MakeRefusal(AnswerCode::kInvalid, "no such availability zone"), out);
  }
  ProposeFor(
      Configure{.zone_order = {.zone = call.zone, .evacuated = call.evacuated, .wall_ms = wall}},
      request);
}

}  // namespace godwitpaddle::jobs
