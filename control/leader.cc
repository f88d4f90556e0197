#include "control/leader.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "control/refusal.h"

namespace godwitpaddle::jobs {
namespace {

using detail::MakeRefusal;

/// Least time between plans, so that ends and jobs that arrive together share a plan.
constexpr Micros kPlanPause = 5 * kMillisecond;
/// A plan is made at least this often: due times and workers' backoffs pass without an event.
constexpr Micros kPlanPeriod = 100 * kMillisecond;
/// Added to the pause for each worker, because a plan examines the room of those of each service
/// for which a task waits.
constexpr Micros kPlanPausePerWorker = 6;
/// Most starts that are planned and not answered. If all were sent at the same moment, more would
/// queue in this node until their deadlines pass.
constexpr std::size_t kMaxStartsOutstanding = 2'048;
/// Most starts of one plan, which delays other events meanwhile.
constexpr std::size_t kMaxStartsPerPlan = 512;
/// Time from a plan to the next one while its starts are not durable. Each plan costs a batch of
/// the log, so many small ones would take the processor from other events.
constexpr Micros kUnappliedPlanPause = 40 * kMillisecond;
/// Least time between examinations of the workers that events concern, so that the events of one
/// worker share an examination.
constexpr Micros kFleetTickPeriod = 10 * kMillisecond;
/// Added to the period for each worker.
constexpr Micros kFleetTickPerWorker = 9;
constexpr Micros kLoadLinePeriod = kSecond;

/// Returns the time from a plan to the next one.
Micros PlanPause(const State& state) {
  return kPlanPause + static_cast<Micros>(state.worker_count()) * kPlanPausePerWorker;
}

/// Formats a number of VMs with one digit after the point.
std::string FormatVms(double vms) {
  const auto tenths = static_cast<std::int64_t>(std::lround(vms * 10));
  const std::int64_t whole = std::abs(tenths);
  return (tenths < 0 ? "-" : "") + std::to_string(whole / 10) + "." + std::to_string(whole % 10);
}

/// Counts how the plan chose among places and teams.
void CountStarts(const StartPlan& plan, Outbox& out) {
  const auto count = [&out](const char* name, std::size_t value) {
    if (value > 0) out.Count(name, static_cast<double>(value));
  };
  count("near_starts_total", plan.near.near_starts);
  count("far_starts_total", plan.near.far_starts);
  count("near_waits_total", plan.near.waits);
  count("share_starts_total", plan.share_starts);
}

/// Whether the command is a cancellation at a path for which there is no queue any more. Then the
/// call has had its effect, but is no success: calls at such a path find nothing.
bool CancelsWithoutQueue(const Command& command, const Configuration& configuration) {
  const auto* cancel = std::get_if<Cancel>(&command);
  return cancel != nullptr &&
         FindQueue(configuration, cancel->host, FormatPath(cancel->path())) == nullptr;
}

Answer AnswerTo(const Command& command, ApplyOutcome outcome, const Configuration& configuration) {
  switch (outcome) {
    case ApplyOutcome::kApplied:
      if (!CancelsWithoutQueue(command, configuration)) return {};
      return MakeRefusal(AnswerCode::kNoSuchJob, "the job was cancelled; its queue is gone");
    case ApplyOutcome::kNoQueue:
      return MakeRefusal(AnswerCode::kNoQueue, "no such queue");
    case ApplyOutcome::kBadKey:
      return MakeRefusal(AnswerCode::kBadKey, "the key belongs to no team");
    case ApplyOutcome::kNoSuchJob:
      return MakeRefusal(AnswerCode::kNoSuchJob, "no such job");
    case ApplyOutcome::kCancelledBefore:
      return MakeRefusal(AnswerCode::kNoSuchJob, "the job was cancelled before it arrived");
    case ApplyOutcome::kJobTableFull:
      if (std::holds_alternative<Cancel>(command)) {
        return MakeRefusal(AnswerCode::kUnavailable, "too many cancellations of unknown jobs", 1);
      }
      return MakeRefusal(AnswerCode::kOverloaded, "the job table is full; the job was not accepted",
                         1);
    case ApplyOutcome::kRejected:
      break;
  }
  const bool change = std::holds_alternative<Configure>(command);
  return MakeRefusal(AnswerCode::kUnknown, change ? "the configuration was not accepted"
                                                  : "the command was not accepted");
}

}  // namespace

Leader::Leader(LeaderOptions options, const State& state)
    : options_(std::move(options)),
      state_(state),
      fleet_(options_.fleet, state, [this](Command command) { Propose(std::move(command)); }),
      orders_(options_.vm_orders, state, [this](Command command) { Propose(std::move(command)); }),
      planner_(state),
      maintenance_(options_.maintenance, state, fleet_, orders_, planner_,
                   [this](Command command) { Propose(std::move(command)); }),
      pools_(options_.pools, state, fleet_, orders_, maintenance_, planner_, demand_),
      wait_report_(state, fleet_, planner_.unapplied(), [this] { return WithheldVms(); }),
      zone_drain_(state, fleet_, [this] { return WithheldVms(); }) {}

void Leader::BeginTerm(replication::Term term, Micros now, WallMs wall, Outbox& out) {
  term_ = term;
  proposals_.clear();
  requesters_.clear();
  unapplied_submits_.clear();
  configure_unapplied_ = false;
  refused_.clear();
  held_calls_.clear();
  fleet_.BeginTerm(term, now, wall);
  orders_.BeginTerm(term, now);
  maintenance_.BeginTerm(now);
  pools_.BeginTerm();
  planner_.Reset();
  wait_report_.BeginTerm();
  pace_.BeginTerm();
  plan_due_ = true;
  out.Log("leadership_began", {{"term", std::to_string(term)},
                               {"configuration", std::to_string(state_.configuration().version)},
                               {"open_jobs", std::to_string(state_.open_job_count())},
                               {"workers", std::to_string(state_.worker_count())}});
  zone_drain_.BeginTerm(out);
}

void Leader::EndTerm(Outbox& out) {
  if (term_ == 0) return;
  out.Log("leadership_ended", {{"term", std::to_string(term_)}}, Severity::kWarning);
  term_ = 0;
  proposals_.clear();
  requesters_.clear();
  unapplied_submits_.clear();
  configure_unapplied_ = false;
  held_calls_.clear();  // gateways send them to the next leader
  fleet_.EndTerm();
  orders_.EndTerm();
  zone_drain_.EndTerm(out);
}

// ---- proposals ----

void Leader::ProposeFor(Command command, const CallRequest& request) {
  proposals_.push_back({.command = std::move(command),
                        .has_requester = true,
                        .requester = {.id = request.id, .address = request.reply_address}});
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
    if (proposal.has_requester) requesters_[index] = std::move(proposal.requester);
    ++index;
  }
  proposals_.clear();
}

void Leader::Reply(const Requester& requester, Answer answer, Outbox& out) const {
  out.Send(requester.address,
           CallReply{.id = requester.id, .term = term_, .answer = std::move(answer)});
}

/// Observes on every core node what a new leader needs from the log: the latest orders to the
/// platform, and demand.
void Leader::ObserveCommand(const AppliedCommand& applied, Micros now) {
  if (const auto* record = std::get_if<RecordVmOrder>(&applied.command)) {
    orders_.OnRecorded(*record, applied.replayed, now);
  }
  const auto* submit = std::get_if<Submit>(&applied.command);
  if (submit == nullptr || applied.replayed) return;
  const Job* job = state_.FindJob(submit->job);
  if (job != nullptr) demand_.OnAccepted(State::QueueOf(*job).service, job->spec, now);
}

void Leader::OnApplied(const AppliedCommand& applied, Micros now, WallMs wall, Outbox& out) {
  ObserveCommand(applied, now);
  if (term_ == 0) return;
  const Command& command = applied.command;
  const ApplyOutcome outcome = applied.outcome;
  const auto requester = requesters_.find(applied.index);
  if (requester != requesters_.end()) {
    Reply(requester->second, AnswerTo(command, outcome, state_.configuration()), out);
    requesters_.erase(requester);
  }
  if (const auto* submit = std::get_if<Submit>(&command)) {
    const auto unapplied = unapplied_submits_.find(submit->job);
    if (unapplied != unapplied_submits_.end()) unapplied_submits_.erase(unapplied);
  }
  if (const auto* end = std::get_if<RecordEnd>(&command)) UpdateRunTimeEstimate(*end, now);
  TellPlanner(command);
  fleet_.OnApplied(command, outcome, now, wall, out);
  if (const auto* cancel = std::get_if<Cancel>(&command)) StopEndedJob(cancel->job, now, out);
  if (const auto* end = std::get_if<RecordEnd>(&command)) StopEndedJob(end->task.job, now, out);
  if (const auto* assign = std::get_if<Assign>(&command)) StopEndedJob(assign->task.job, now, out);
  if (applied.ended != nullptr) LogEnd(*applied.ended, command, out);
  const auto* change = std::get_if<Configure>(&command);
  if (change != nullptr && change->is_zone_order()) {
    zone_drain_.OnOrder(change->zone_order, out);
  } else if (change != nullptr) {
    out.Log("configuration_applied",
            {{"version", std::to_string(change->configuration.version)},
             {"in_force", std::to_string(state_.configuration().version)}});
    configure_unapplied_ = false;
    HandleHeldCalls(now, wall, out);
  }
  plan_due_ = true;
}

void Leader::TellPlanner(const Command& command) {
  if (const auto* submit = std::get_if<Submit>(&command)) planner_.OnJobChanged(submit->job);
  if (const auto* cancel = std::get_if<Cancel>(&command)) planner_.OnJobChanged(cancel->job);
  if (const auto* assign = std::get_if<Assign>(&command)) planner_.OnStartApplied(*assign);
  if (const auto* end = std::get_if<RecordEnd>(&command)) planner_.OnJobChanged(end->task.job);
  const auto* change = std::get_if<Configure>(&command);
  if (change != nullptr && !change->is_zone_order()) planner_.RankAll();
}

void Leader::UpdateRunTimeEstimate(const RecordEnd& end, Micros now) {
  if (end.kind != EndKind::kDone) return;
  const Job* job = state_.FindJob(end.task.job);
  const auto time = fleet_.RunTime(end.worker, end.task, end.run, now);
  if (job == nullptr || !time || end.task.step >= job->spec.steps.size()) return;
  const Worker* worker = state_.FindWorker(end.worker);
  if (worker == nullptr) return;
  // The queue may have another service by now than when the run started.
  demand_.OnRunDone(worker->record.service, job->spec.steps[end.task.step].estimate_ms,
                    *time / kMillisecond);
}

std::int64_t Leader::ExpectedObjectiveMs(const Job& job) const {
  return ObjectiveMs(job, demand_.EstimateFactor(State::QueueOf(job).service));
}

void Leader::LogEnd(const Job& job, const Command& command, Outbox& out) const {
  Fields fields{{"job", FormatJob(job.id)},
                {"queue", State::QueueOf(job).name},
                {"phase", std::string(NameOf(kJobPhaseNames, job.phase))},
                {"took_ms", std::to_string(job.ended_ms - job.accepted_ms)},
                {"objective_ms", std::to_string(ExpectedObjectiveMs(job))}};
  if (const auto* end = std::get_if<RecordEnd>(&command)) {
    fields.emplace_back("last_task", FormatTask(end->task));
    fields.emplace_back("run", std::to_string(end->run));
    fields.emplace_back("worker", end->worker);
  }
  out.Log("job_ended", std::move(fields));
  out.Count("jobs_ended_total");
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

// ---- workers, platform, time ----

void Leader::OnOrderReply(const OrderEvent& event, Micros now, WallMs wall, Outbox& out) {
  if (term_ == 0) return;
  fleet_.OnReply(event, now, wall, out);
}

void Leader::OnVmReply(const VmEvent& event, Micros now, WallMs wall, Outbox& out) {
  if (term_ == 0) return;
  orders_.OnReply(event, now, wall, out);
}

void Leader::Tick(Micros now, WallMs wall, Outbox& out) {
  if (term_ == 0) return;
  if (now >= next_fleet_tick_) {
    next_fleet_tick_ =
        now + kFleetTickPeriod + static_cast<Micros>(state_.worker_count()) * kFleetTickPerWorker;
    Measure("section_workers_us", out, [&] { fleet_.Tick(now, wall, out); });
  }
  if (maintenance_.IsDue(now)) {
    Measure("section_maintenance_us", out, [&] { maintenance_.Tick(now, out); });
  }
  if (pools_.IsDue(now)) {
    Measure("section_pools_us", out, [&] { pools_.Tick(now, wall, out); });
  }
  orders_.Tick(now, wall, out);
  zone_drain_.Tick(now, wall, out);
  PlanIfDue(now, wall, out);
  wait_report_.Tick(now, wall, out);
  LogLoad(now, out);
}

template <typename Section>
void Leader::Measure(const char* metric, Outbox& out, const Section& section) const {
  if (!options_.section_clock) return section();
  const Micros begun = options_.section_clock();
  section();
  out.Count(metric, static_cast<double>(options_.section_clock() - begun));
}

void Leader::LogLoad(Micros now, Outbox& out) {
  if (now < next_load_line_) return;
  next_load_line_ = now + kLoadLinePeriod;
  const std::uint64_t scanned = state_.scanned() - scanned_before_;
  scanned_before_ = state_.scanned();
  out.Count("records_scanned_total", static_cast<double>(scanned));
  CompareRuns(out);
  LogShares(now, out);
  // A warning in severity only: such lines have a quota of their own, so that routine ones do not
  // displace them when the leader is overloaded.
  Fields fields{{"open_jobs", std::to_string(state_.open_job_count())},
                {"startable_jobs", std::to_string(state_.startable_job_count())},
                {"workers", std::to_string(state_.worker_count())},
                {"starts_in_flight", std::to_string(fleet_.StartsInFlight())},
                {"unapplied_starts", std::to_string(planner_.unapplied().size())},
                {"unapplied_calls", std::to_string(requesters_.size())},
                {"moving_vms", std::to_string(pools_.moving())},
                {"leaving_vms", std::to_string(pools_.leaving())},
                {"records_scanned", std::to_string(scanned)}};
  for (auto& field : pace_.TakeFields()) fields.push_back(std::move(field));
  out.Log("leader_load", std::move(fields), Severity::kWarning);
}

void Leader::LogShares(Micros now, Outbox& out) {
  for (const auto& [service, shares] : planner_.ContendedShares(now)) {
    std::string teams;
    for (const TeamShare& share : shares) {
      const KnownTeam* team = state_.FindTeam(share.team);
      if (team == nullptr) continue;
      const ShareAccount& account = share.account;
      const auto refused = refused_.find(share.team);
      teams += (teams.empty() ? "" : ",") + team->team.name + "=" + FormatVms(account.used) + "/" +
               FormatVms(account.entitled) + "/" + FormatVms(account.wanted) + "/" +
               FormatVms(account.lag) + "/" +
               std::to_string(refused == refused_.end() ? 0 : refused->second);
    }
    out.Log("service_full", {{"service", service}, {"teams", std::move(teams)}});
  }
  refused_.clear();
}

void Leader::CompareRuns(Outbox& out) {
  for (const RunMismatch& mismatch : fleet_.CompareNextRuns()) {
    out.Log("run_mismatch",
            {{"task", FormatTask(mismatch.task)},
             {"worker", mismatch.worker},
             {"assigned_run", std::to_string(mismatch.assigned_run)},
             {"known_run", std::to_string(mismatch.known_run)}},
            Severity::kError);
    out.Count("run_mismatches_total");
  }
}

std::unordered_set<std::string_view> Leader::CordonedVms() const {
  std::unordered_set<std::string_view> vms;
  maintenance_.AddCordonedVms(vms);
  pools_.AddCordonedVms(vms);
  return vms;
}

std::unordered_set<std::string_view> Leader::WithheldVms() const {
  std::unordered_set<std::string_view> vms = CordonedVms();
  pools_.AddLeavingVms(vms);
  return vms;
}

void Leader::PlanIfDue(Micros now, WallMs wall, Outbox& out) {
  const bool due = plan_due_ || now >= next_plan_ + kPlanPeriod;
  if (!due || now < next_plan_) return;
  const std::size_t unapplied = planner_.unapplied().size();
  if (unapplied > 0 && now < next_plan_ - PlanPause(state_) + kUnappliedPlanPause) return;
  const std::size_t outstanding = unapplied + fleet_.StartsInFlight();
  if (outstanding >= kMaxStartsOutstanding) {
    const bool slow_disks = unapplied > fleet_.StartsInFlight();
    pace_.OnHeldBack(slow_disks ? PlanEnd::kNotDurable : PlanEnd::kUnanswered, now, out);
    return;
  }
  const std::size_t max_starts = std::min(kMaxStartsPerPlan, kMaxStartsOutstanding - outstanding);
  Measure("section_plan_us", out, [&] { Plan(max_starts, now, wall, out); });
}

void Leader::Plan(std::size_t max_starts, Micros now, WallMs wall, Outbox& out) {
  plan_due_ = false;
  next_plan_ = now + PlanPause(state_);
  std::optional<std::unordered_set<std::string_view>> cordoned;
  std::unordered_set<std::string_view> leaving;
  const auto usable = [&](const std::string& service) {
    if (!cordoned) {
      cordoned = CordonedVms();
      pools_.AddLeavingVms(leaving);
    }
    auto workers = fleet_.UsableWorkers(service, now);
    std::erase_if(workers, [&](const UsableWorker& one) {
      return cordoned->contains(one.worker->record.vm);
    });
    for (UsableWorker& one : workers) one.leaving = leaving.contains(one.worker->record.vm);
    return workers;
  };
  const auto factor = [this](const std::string& service) {
    return demand_.EstimateFactor(service);
  };
  const auto expected_vms = [this](const std::string& service) {
    const RoomOutlook* room = pools_.OutlookOf(service);
    return room == nullptr ? 0 : room->vms;
  };
  StartPlan plan = planner_.Plan({.usable_workers = usable,
                                  .estimate_factor = factor,
                                  .wall_ms = wall,
                                  .now = now,
                                  .max_starts = max_starts,
                                  .knows_workers = fleet_.KnowsWorkers(now),
                                  .expected_vms = expected_vms,
                                  .far_factor = options_.far_factor});
  CountStarts(plan, out);
  pace_.OnPlan(plan.full ? PlanEnd::kFull : PlanEnd::kComplete, now, out);
  // What did not fit into this plan comes with the next one, without a further event.
  if (plan.full) plan_due_ = true;
  LogStarts(plan.starts, wall, out);
  for (Assign& start : plan.starts) Propose(std::move(start));
}

/// Logs one line for each step of which a plan starts tasks.
void Leader::LogStarts(const std::vector<Assign>& starts, WallMs wall, Outbox& out) const {
  const auto same_step = [](const TaskId& a, const TaskId& b) {
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
  };
  for (auto start = starts.begin(); start != starts.end();) {
    const TaskId first = start->task;
    std::string list;
    for (; start != starts.end() && same_step(start->task, first); ++start) {
      list += (list.empty() ? "" : ",") + std::to_string(start->task.index) + "/" +
              std::to_string(start->run) + "@" + start->worker;
    }
    const Job& job = *state_.FindJob(first.job);
    out.Log("tasks_assigned", {{"step", FormatStep(first)},
                               {"starts", std::move(list)},
                               {"waited_ms", std::to_string(wall - job.accepted_ms)},
                               {"objective_ms", std::to_string(ExpectedObjectiveMs(job))}});
  }
}

}  // namespace godwitpaddle::jobs
