#include "control/leader.h"

#include <algorithm>
#include <utility>

#include "jobs/planner.h"

namespace godwitpaddle::jobs {
namespace {

constexpr Micros kPlanPause = 5 * kMillisecond;  // ends and jobs that arrive together share a plan
constexpr Micros kPlanPeriod = 100 * kMillisecond;  // due times and rests pass without an event
constexpr Micros kPlanPausePerJob = 10;             // a plan looks at all open jobs
/// Starts under way at once; more would wait within this node until they are too late.
constexpr std::size_t kStartsAtOnce = 128;
constexpr Micros kFleetTick = 10 * kMillisecond;
constexpr std::int64_t kConfigureRetryS = 1;

Answer Refusal(AnswerCode code, std::string text, std::int64_t retry_after_s = 0) {
  return {.code = code, .text = std::move(text), .retry_after_s = retry_after_s};
}

Answer AnswerTo(const Command& command, ApplyOutcome outcome) {
  switch (outcome) {
    case ApplyOutcome::kApplied:
      return {};
    case ApplyOutcome::kNoQueue:
      return Refusal(AnswerCode::kNoQueue, "no such queue");
    case ApplyOutcome::kBadKey:
      return Refusal(AnswerCode::kBadKey, "the key belongs to no team");
    case ApplyOutcome::kNoSuchJob:
      return Refusal(AnswerCode::kGone, "no such job");
    case ApplyOutcome::kFull:
      return Refusal(AnswerCode::kBusy, "too many jobs are kept; the job has not run", 1);
    case ApplyOutcome::kRejected:
      break;
  }
  const bool change = std::holds_alternative<Configure>(command);
  return Refusal(AnswerCode::kUnknown, change ? "the change was not taken" : "not taken");
}

std::uint64_t CountTasks(const JobSpec& spec) {
  std::uint64_t count = 0;
  for (const Step& step : spec.steps) count += step.count;
  return count * spec.occurrences();
}

}  // namespace

Leader::Leader(LeaderOptions options, const State& state)
    : options_(std::move(options)),
      state_(state),
      fleet_(options_.fleet, state, [this](Command command) { Propose(std::move(command)); }),
      desk_(options_.desk, state, [this](Command command) { Propose(std::move(command)); }),
      maintenance_(options_.maintenance, state, fleet_, desk_,
                   [this](Command command) { Propose(std::move(command)); }),
      pools_(options_.pools, state, fleet_, desk_, maintenance_, demand_) {}

void Leader::BeginTerm(replication::Term term, Micros now, WallMs wall, Outbox& out) {
  term_ = term;
  proposals_.clear();
  askers_.clear();
  unapplied_starts_ = 0;
  fleet_.BeginTerm(term, now, wall);
  desk_.BeginTerm(term, now);
  maintenance_.BeginTerm(now);
  pools_.BeginTerm();
  plan_due_ = true;
  out.Log("leadership_began", {{"term", std::to_string(term)},
                               {"configuration", std::to_string(state_.configuration().version)},
                               {"open_jobs", std::to_string(state_.open_jobs().size())},
                               {"workers", std::to_string(state_.workers().size())}});
}

void Leader::EndTerm(Outbox& out) {
  if (term_ == 0) return;
  out.Log("leadership_ended", {{"term", std::to_string(term_)}}, Severity::kWarning);
  term_ = 0;
  proposals_.clear();
  askers_.clear();
  fleet_.EndTerm();
  desk_.EndTerm();
}

// ---- proposals ----

void Leader::ProposeFor(Command command, const CallRequest& request) {
  proposals_.push_back({.command = std::move(command),
                        .has_asker = true,
                        .asker = {.id = request.id, .address = request.reply_address}});
}

std::vector<std::string> Leader::TakeProposals() {
  std::vector<std::string> payloads;
  payloads.reserve(proposals_.size());
  for (const Proposal& proposal : proposals_) payloads.push_back(Encode(proposal.command));
  return payloads;
}

void Leader::Proposed(std::uint64_t first_index) {
  std::uint64_t index = first_index;
  for (Proposal& proposal : proposals_) {
    if (proposal.has_asker) askers_[index] = std::move(proposal.asker);
    ++index;
  }
  proposals_.clear();
}

void Leader::Reply(const Asker& asker, Answer answer, Outbox& out) const {
  out.Send(asker.address, CallReply{.id = asker.id, .term = term_, .answer = std::move(answer)});
}

/// What every core node learns, so that it knows it when it leads.
void Leader::Learn(const AppliedCommand& applied, Micros now) {
  if (const auto* note = std::get_if<NoteVmOrder>(&applied.command)) {
    desk_.OnNoted(*note, applied.replayed, now);
  }
  const auto* submit = std::get_if<Submit>(&applied.command);
  if (submit == nullptr || applied.replayed) return;
  const Job* job = state_.FindJob(submit->job);
  if (job != nullptr) demand_.OnAccepted(job->service, job->spec, now);
}

void Leader::OnApplied(const AppliedCommand& applied, Micros now, WallMs wall, Outbox& out) {
  Learn(applied, now);
  if (term_ == 0) return;
  const Command& command = applied.command;
  const ApplyOutcome outcome = applied.outcome;
  const auto asker = askers_.find(applied.index);
  if (asker != askers_.end()) {
    Reply(asker->second, AnswerTo(command, outcome), out);
    askers_.erase(asker);
  }
  if (std::holds_alternative<Assign>(command) && unapplied_starts_ > 0) --unapplied_starts_;
  if (const auto* end = std::get_if<NoteEnd>(&command)) LearnRunTime(*end, now);
  fleet_.OnApplied(command, outcome, now, wall, out);
  if (const auto* cancel = std::get_if<Cancel>(&command)) StopEndedJob(cancel->job, now, out);
  if (const auto* end = std::get_if<NoteEnd>(&command)) StopEndedJob(end->task.job, now, out);
  if (const auto* change = std::get_if<Configure>(&command)) {
    out.Log("configuration_applied",
            {{"version", std::to_string(change->configuration.version)},
             {"in_force", std::to_string(state_.configuration().version)}});
  }
  plan_due_ = true;
}

void Leader::LearnRunTime(const NoteEnd& end, Micros now) {
  if (end.how != EndKind::kDone) return;
  const Job* job = state_.FindJob(end.task.job);
  const auto time = fleet_.RunTime(end.task, end.run, now);
  if (job == nullptr || !time || end.task.step >= job->spec.steps.size()) return;
  demand_.OnDone(job->service, job->spec.steps[end.task.step].estimate_ms, *time / kMillisecond);
}

void Leader::StopEndedJob(JobId id, Micros now, Outbox& out) {
  const Job* job = state_.FindJob(id);
  if (job == nullptr || job->active() || job->assigned == 0) return;
  for (std::uint32_t occurrence = 0; occurrence < job->spec.occurrences(); ++occurrence) {
    for (std::uint32_t step = 0; step < job->spec.steps.size(); ++step) {
      const auto& tasks = job->At(occurrence, step).tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].phase == TaskPhase::kAssigned) {
          fleet_.Stop({id, occurrence, step, index}, now, out);
        }
      }
    }
  }
}

// ---- calls ----

void Leader::OnCall(const CallRequest& request, Micros now, WallMs wall, Outbox& out) {
  std::visit([&](const auto& call) { Handle(call, request, now, wall, out); }, request.call);
}

void Leader::Handle(const JobCall& call, const CallRequest& request, Micros /*now*/, WallMs wall,
                    Outbox& out) {
  const Asker asker{.id = request.id, .address = request.reply_address};
  const Configuration& configuration = state_.configuration();
  if (configuration.version == 0) {
    return Reply(asker, Refusal(AnswerCode::kUnavailable, "no configuration yet", 1), out);
  }
  const Queue* queue = FindQueue(configuration, call.host, call.path);
  if (queue == nullptr) return Reply(asker, Refusal(AnswerCode::kNoQueue, "no such queue"), out);
  if (!queue->open && FindTeamByKey(configuration, call.key) == nullptr) {
    return Reply(asker, Refusal(AnswerCode::kBadKey, "the key belongs to no team"), out);
  }
  const std::string rest = call.path.substr(queue->prefix.size());
  const auto job = ParseJob(rest);
  if (call.kind == JobCallKind::kQuery) return Reply(asker, Describe(*queue, rest), out);
  if (call.kind == JobCallKind::kSubmit) {
    if (!job) return Reply(asker, Refusal(AnswerCode::kInvalid, "the path names no job id"), out);
    return OnSubmit(call, *queue, *job, request, wall, out);
  }
  const Job* known = job ? state_.FindJob(*job) : nullptr;
  if (known == nullptr || known->queue != queue->name) {
    return Reply(asker, Refusal(AnswerCode::kGone, "no such job"), out);
  }
  out.Log("job_cancelled",
          {{"job", rest}, {"phase", std::string(NameOf(kJobPhaseNames, known->phase))}});
  ProposeFor(Cancel{.job = *job, .wall_ms = wall}, request);
}

void Leader::OnSubmit(const JobCall& call, const Queue& queue, JobId job,
                      const CallRequest& request, WallMs wall, Outbox& out) {
  const Asker asker{.id = request.id, .address = request.reply_address};
  const Job* known = state_.FindJob(job);
  if (known != nullptr) {
    if (known->queue == queue.name) return Reply(asker, {}, out);
    return Reply(asker, Refusal(AnswerCode::kInvalid, "the id names a job of another queue"), out);
  }
  std::string error = CheckSpec(call.spec);
  if (error.empty() && queue.advised) error = "queues with a policy service are not supported";
  if (!error.empty()) {
    out.Log("job_refused", {{"job", FormatJob(job)}, {"queue", queue.name}, {"reason", error}});
    return Reply(asker, Refusal(AnswerCode::kInvalid, std::move(error)), out);
  }
  out.Log("job_accepted", {{"job", FormatJob(job)},
                           {"queue", queue.name},
                           {"configuration", std::to_string(state_.configuration().version)},
                           {"open_jobs", std::to_string(state_.open_jobs().size())}});
  ProposeFor(
      Submit{.job = job, .queue = queue.name, .key = call.key, .wall_ms = wall, .spec = call.spec},
      request);
}

std::string Leader::CheckSpec(const JobSpec& spec) const {
  if (spec.text.size() > options_.max_spec_bytes) return "the job's text is too long";
  if (spec.steps.empty()) return "the job has no steps";
  if (CountTasks(spec) > options_.max_tasks) return "the job has too many tasks";
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const Step& step = spec.steps[i];
    if (step.count == 0) return "a step has no tasks";
    if (step.size.cpu < 0 || step.size.memory_mb < 0 || step.size.accelerators < 0) {
      return "a step asks for less than nothing";
    }
    for (const std::uint32_t before : step.depends_on) {
      if (before >= i) return "a step depends on a later one";
    }
  }
  return {};
}

Answer Leader::Describe(const Queue& queue, const std::string& rest) const {
  if (rest.empty()) {
    const auto pending = std::ranges::count_if(state_.open_jobs(), [&](JobId id) {
      const Job& job = *state_.FindJob(id);
      return job.phase == JobPhase::kQueued && job.queue == queue.name;
    });
    return {.content = AnswerContent::kPending, .number = static_cast<std::uint64_t>(pending)};
  }
  const auto id = ParseJob(rest);
  const Job* job = id ? state_.FindJob(*id) : nullptr;
  if (job == nullptr || job->queue != queue.name) {
    return Refusal(AnswerCode::kGone, "no such job");
  }
  return {.content = AnswerContent::kJobPhase,
          .text = std::string(NameOf(kJobPhaseNames, job->phase))};
}

void Leader::Handle(const HeartbeatCall& call, const CallRequest& request, Micros now, WallMs wall,
                    Outbox& out) {
  const Worker* known = state_.FindWorker(call.record.id);
  const bool drains = call.record.phase == WorkerPhase::kDraining &&
                      (known == nullptr || known->record.phase != WorkerPhase::kDraining);
  const bool taken = fleet_.OnHeartbeat(call, now, wall, out);
  if (known == nullptr || drains || known->record.born_ms != call.record.born_ms) {
    out.Log("worker_reported", {{"worker", call.record.id},
                                {"born_ms", std::to_string(call.record.born_ms)},
                                {"vm", call.record.vm},
                                {"service", call.record.service},
                                {"draining", drains ? "true" : "false"},
                                {"taken", taken ? "true" : "false"}});
  }
  Reply({.id = request.id, .address = request.reply_address}, {}, out);
}

void Leader::Handle(const LeaveCall& call, const CallRequest& request, Micros now, WallMs /*wall*/,
                    Outbox& out) {
  out.Log("worker_left", {{"worker", call.worker}});
  fleet_.OnLeave(call.worker, now);
  Reply({.id = request.id, .address = request.reply_address}, {}, out);
}

void Leader::Handle(const ConfigureCall& call, const CallRequest& request, Micros /*now*/,
                    WallMs /*wall*/, Outbox& out) {
  const Asker asker{.id = request.id, .address = request.reply_address};
  const std::string error = CheckConfiguration(call.configuration);
  out.Log("configuration_received", {{"version", std::to_string(call.configuration.version)},
                                     {"in_force", std::to_string(state_.configuration().version)},
                                     {"error", error}});
  if (!error.empty()) return Reply(asker, Refusal(AnswerCode::kInvalid, error), out);
  if (call.configuration.version <= state_.configuration().version) {
    return Reply(asker, {}, out);
  }
  ProposeFor(Configure{.configuration = call.configuration}, request);
}

void Leader::Handle(const ReadConfigurationCall& /*call*/, const CallRequest& request,
                    Micros /*now*/, WallMs /*wall*/, Outbox& out) {
  const Asker asker{.id = request.id, .address = request.reply_address};
  const Configuration& configuration = state_.configuration();
  if (configuration.version == 0) {
    return Reply(asker, Refusal(AnswerCode::kUnavailable, "no configuration yet", kConfigureRetryS),
                 out);
  }
  Reply(asker, {.content = AnswerContent::kConfiguration, .text = configuration.document}, out);
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
  const Asker asker{.id = request.id, .address = request.reply_address};
  const auto wave = state_.waves().find(call.wave);
  if (wave == state_.waves().end()) {
    return Reply(asker, Refusal(AnswerCode::kNoQueue, "no such wave"), out);
  }
  Reply(asker,
        {.content = AnswerContent::kWavePhase,
         .text = wave->second.completed() ? "completed" : "running"},
        out);
}

// ---- workers, platform, time ----

void Leader::OnOrderReply(const OrderEvent& event, Micros now, WallMs wall, Outbox& out) {
  if (term_ == 0) return;
  fleet_.OnReply(event, now, wall, out);
}

void Leader::OnVmReply(const VmEvent& event, Micros now, WallMs wall, Outbox& out) {
  if (term_ == 0) return;
  desk_.OnReply(event, now, wall, out);
}

void Leader::Tick(Micros now, WallMs wall, Outbox& out) {
  if (term_ == 0) return;
  if (now >= next_fleet_tick_) {
    next_fleet_tick_ = now + kFleetTick;
    fleet_.Tick(now, wall, out);
  }
  // What is proposed to start on a VM must be seen before the VM is taken down as empty.
  if (unapplied_starts_ == 0) {
    maintenance_.Tick(now, out);
    pools_.Tick(now, out);
  }
  desk_.Tick(now, wall, out);
  const bool due = plan_due_ || now >= next_plan_ + kPlanPeriod;
  if (due && now >= next_plan_ && unapplied_starts_ == 0) Plan(now, wall, out);
}

void Leader::Plan(Micros now, WallMs wall, Outbox& out) {
  plan_due_ = false;
  next_plan_ = now + kPlanPause + static_cast<Micros>(state_.open_jobs().size()) * kPlanPausePerJob;
  const std::size_t under_way = fleet_.StartsUnderWay();
  if (under_way >= kStartsAtOnce) return;
  const auto usable = [&] {
    auto workers = fleet_.UsableWorkers(now);
    std::erase_if(workers, [&](const UsableWorker& one) {
      return maintenance_.IsCordoned(*one.worker) || pools_.IsCordoned(*one.worker);
    });
    return workers;
  };
  for (Assign& start : PlanStarts({.state = state_, .usable_workers = usable, .wall_ms = wall})) {
    out.Log("task_assigned", {{"task", FormatTask(start.task)},
                              {"run", std::to_string(start.run)},
                              {"worker", start.worker}});
    Propose(std::move(start));
    ++unapplied_starts_;
  }
}

}  // namespace godwitpaddle::jobs
