#include "tests/job_soak_run.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "tests/drawn_configurations.h"
#include "tests/job_cluster.h"
#include "tests/long_running_watch.h"

namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;
using jobs::JobCallKind;

constexpr std::size_t kWorkers = 8;
constexpr std::size_t kMaxLostNodes = 2;  // core nodes that may be lost at once
constexpr jobs::JobId kKeptJobs = 400;    // clients make calls about the latest jobs only
constexpr Micros kMaxFault = 3 * kSecond;
constexpr double kPowerLossAfterAck = 0.002;
constexpr double kLostVmAnswers = 0.05;
constexpr std::uint64_t kStepsPerWave = 400;
constexpr Micros kSlowSync = 250 * kMillisecond;
constexpr Micros kSlowDisks = 3 * kSecond;
/// First worker of the second service, in a run with two services.
constexpr std::size_t kFirstCopyWorker = 5;
constexpr std::size_t kStandbyVms = 3;
constexpr std::uint64_t kStepsPerService = 70;  // load alternates between the services
constexpr std::uint64_t kStepsPerZoneOrder = 40;
constexpr std::uint64_t kZones = 3;
constexpr std::uint64_t kStepsPerCrowd = 150;
constexpr std::uint64_t kCrowd = 300;  // jobs
/// No crowd comes in these last steps, so that its jobs end before the final checks.
constexpr std::uint64_t kFinalStepsWithoutCrowds = 300;
/// No wave starts in these last steps of a full-platform run.
constexpr std::uint64_t kFinalStepsWithoutWaves = 300;
/// Long-running jobs, which are the first ones, and the tasks of each.
constexpr jobs::JobId kLongRunningJobs = 4;
constexpr std::uint32_t kLongRunningTasks = 4;
constexpr std::uint64_t kStepsBetweenRests = 120;
/// As kKeptJobs, in a run with rests, which take time.
constexpr jobs::JobId kKeptJobsWithRests = 100;
/// All faults have ended after this time if no further ones begin.
constexpr Micros kLongestFault = 9 * kSecond;
constexpr Micros kRest = 8 * kSecond;
constexpr Micros kMaxFaultChange = 5 * kSecond;
constexpr Micros kRecoveryTime = 40 * kSecond;
/// Longest time that the accepted jobs of crowds take. The leader accepts work for ten objectives,
/// that is 18 s, and all of a crowd that arrives before the first of it is in the log.
constexpr Micros kCrowdTime = 60 * kSecond;

/// The answers that clients received about one job.
struct KnownJob {
  bool accepted = false;
  int waiting = 0;         // submit calls that are not answered yet
  bool may_exist = false;  // a submit was accepted, or its outcome is unknown
  bool cancelled = false;
  Micros accepted_at = 0;
};

class Soak {
 public:
  explicit Soak(const JobSoakOptions& options)
      : options_(options),
        waves_and_power_(options.waves_and_power || options.full_platform),
        two_services_(options.full_platform || options.changing_queues),
        cluster_(DefaultFaults(options)) {}

  JobSoakResult Run();

 private:
  static JobClusterOptions DefaultFaults(const JobSoakOptions& options);
  static JobClusterOptions WithoutFaults(const JobClusterOptions& faults);
  std::uint64_t RandomBelow(std::uint64_t bound) { return UniformBelow(cluster_.rng(), bound); }
  /// A random short job among the latest ones, which the leader has not discarded.
  jobs::JobId RandomJob() {
    const jobs::JobId kept = options_.long_running ? kKeptJobsWithRests : kKeptJobs;
    return last_job_ - RandomBelow(std::min(last_job_ - first_jobs_, kept));
  }
  bool IsLongRunning(jobs::JobId job) const { return job <= first_jobs_; }
  void SubmitLongRunning();
  void CancelLongRunning();
  /// Lets all faults end, and checks the long-running tasks for a while without faults.
  void Rest();
  std::size_t RandomEdge() { return cluster_.edge(RandomBelow(3)); }
  void StartUp();
  void RunStep();
  void Submit(jobs::JobId job);
  void Cancel(jobs::JobId job);
  void Query(jobs::JobId job);
  void Configure();
  /// Puts a configuration with all queues and teams in force.
  void CompleteConfiguration();
  void ReadConfiguration();
  void StartWave();
  /// Evacuates a random zone, or takes it back if it is evacuated, and retries until the order is
  /// acknowledged, as operators do.
  void ChangeZone();
  void SubmitCrowd();
  void OrderZone(const std::string& zone, bool evacuated);
  /// Checks that the zones that were acknowledged as evacuated still are, and takes them back.
  void EndEvacuations();
  void CheckWaves();
  void SlowDisks();
  void InjectPlatformFault();
  std::optional<jobs::WorkerId> RandomLiveWorker();
  /// Applies `change` to the options of the cluster for some seconds.
  void ChangeFaultsBriefly(const std::function<void(JobClusterOptions&)>& change);
  JobOrigin OriginOf(jobs::JobId job) const {
    const auto found = origins_.find(job);
    return found == origins_.end() ? JobOrigin() : found->second;
  }
  void ChooseOrigin(jobs::JobId job);
  /// Checks the code of an answer to a call that was made while `since` was the highest
  /// acknowledged version, in a run with changing queues.
  void CheckAnswer(const jobs::JobCall& call, jobs::JobId job, std::uint64_t since,
                   AnswerCode code);
  /// Checks the services on which tasks run, and what the teams use, in a run with changing queues.
  void CheckOrigins();
  void CheckCompletedJob(jobs::JobId job, const jobs::Answer& answer);
  void InjectFault();
  void InjectNodeFault();
  void InjectWorkerFault();
  void CheckWorkers();
  void EndFaults();
  void CheckFinalState();
  std::size_t LostNodes() const;
  jobs::JobCall MakeCall(JobCallKind kind, jobs::JobId job) const;
  jobs::Configuration MakeConfiguration(std::uint64_t version);

  const JobSoakOptions options_;
  const bool waves_and_power_;
  const bool two_services_;
  JobCluster cluster_;
  DrawnConfigurations drawn_;
  JobSoakResult result_;
  std::map<jobs::JobId, KnownJob> known_jobs_;
  jobs::JobId last_job_ = 0;
  jobs::JobId first_jobs_ = 0;  // the jobs up to this one are long-running
  LongRunningWatch long_running_{cluster_};
  std::uint64_t last_version_ = 1;
  std::uint64_t acknowledged_version_ = 1;
  std::set<std::size_t> lost_nodes_;  // core nodes that are down or catching up
  jobs::WaveId last_wave_ = 0;
  std::uint64_t step_ = 0;
  std::map<jobs::JobId, JobOrigin> origins_;  // of jobs that differ from JobOrigin()
  bool faults_ended_ = false;
  bool rests_ = false;
};

JobClusterOptions Soak::DefaultFaults(const JobSoakOptions& options) {
  const bool waves_and_power = options.waves_and_power || options.full_platform;
  JobClusterOptions faults{.edges = 3,
                           .seed = options.seed,
                           .loss = 0.01,
                           .lost_answers = 0.02,
                           .late_orders = 0.01,
                           .power_loss_after_ack = waves_and_power ? kPowerLossAfterAck : 0,
                           .lost_vm_answers = waves_and_power ? kLostVmAnswers : 0};
  if (options.relayed_orders) faults.relay_min_workers = 0;
  if (!options.full_platform) return faults;
  faults.delayed_answers = 0.02;
  faults.unhealthy = 0.01;
  faults.late_heartbeats = 0.05;
  faults.late_leave_calls = 0.7;
  faults.late_vm_answers = 0.05;
  faults.throttled_vm_calls = 0.03;
  faults.reset_vm_calls = 0.03;
  faults.model_vms = true;
  faults.slow_stops = true;
  faults.refused_connections = true;
  faults.late_after_restart = options.late_after_restart;
  return faults;
}

jobs::Configuration Soak::MakeConfiguration(std::uint64_t version) {
  if (options_.changing_queues) {
    return version == 1 ? drawn_.Complete(1) : drawn_.Draw(version, cluster_.rng());
  }
  jobs::Configuration configuration{.version = version};
  configuration.services = {{.name = "print"}};
  configuration.queues = {{.name = "quotes",
                           .host = "shop",
                           .prefix = "/q/",
                           .service = "print",
                           .attempts = 3,
                           .stretch = 2,
                           .target_latency_ms = 600,
                           .timeout_ms = 3'000}};
  configuration.teams = {{.name = "mill", .keys = {"k1"}}};
  configuration.document = std::to_string(version);
  if (!options_.full_platform) return configuration;
  configuration.services.push_back({.name = "copy"});
  configuration.services.push_back({.name = "off", .standby = true});
  jobs::Queue copies = configuration.queues.front();
  copies.name = "copies";
  copies.prefix = "/c/";
  copies.service = "copy";
  configuration.queues.push_back(std::move(copies));
  return configuration;
}

jobs::JobCall Soak::MakeCall(JobCallKind kind, jobs::JobId job) const {
  const JobOrigin origin = OriginOf(job);
  jobs::JobCall call{
      .kind = kind, .host = "shop", .path = origin.prefix + jobs::FormatJob(job), .key = "k1"};
  if (options_.changing_queues) call.key = DrawnConfigurations::LastingKey(origin.team);
  if (kind != JobCallKind::kSubmit) return call;
  if (IsLongRunning(job)) {
    call.spec.payload = std::to_string(kWatchedCpu) + " 100000000";
    call.spec.steps = {
        {.count = kLongRunningTasks, .size = {.cpu = kWatchedCpu}, .long_running = true}};
    return call;
  }
  if (options_.changing_queues && job % 2 == 0) call.key = drawn_.NewestKey(origin.team);
  call.spec.payload = "1000 " + std::to_string(100 + job % 7 * 150);
  call.spec.steps = {{.count = 1 + static_cast<std::uint32_t>(job % 4),
                      .size = {.cpu = 1'000},
                      .estimate_ms = 300,
                      .max_per_worker = 1},
                     {.count = 2, .size = {.cpu = 1'000}, .estimate_ms = 300, .depends_on = {0}}};
  return call;
}

void Soak::StartUp() {
  cluster_.RunUntilTrue([&] { return cluster_.Leader().has_value(); }, 10 * kSecond);
  cluster_.RunFor(kSecond);
  while (cluster_.CallAndWait(0, jobs::ConfigureCall{.configuration = MakeConfiguration(1)}).code !=
         AnswerCode::kOk) {
  }
  for (std::size_t i = 0; i < kWorkers; ++i) {
    const bool copy = two_services_ && i >= kFirstCopyWorker;
    cluster_.AddWorker(copy ? "copy" : "print", {.cpu = 6'000});
  }
  cluster_.standby_pools = {"off"};
  if (options_.full_platform) {
    for (std::size_t i = 0; i < kStandbyVms; ++i) cluster_.AddStandbyVm("off", {.cpu = 6'000});
  }
  cluster_.RunFor(2 * kSecond);
  if (options_.long_running) SubmitLongRunning();
}

void Soak::SubmitLongRunning() {
  first_jobs_ = last_job_ = kLongRunningJobs;
  for (jobs::JobId job = 1; job <= first_jobs_; ++job) {
    while (!known_jobs_[job].accepted) {
      Submit(job);
      cluster_.RunFor(kSecond);
    }
    for (std::uint32_t index = 0; index < kLongRunningTasks; ++index) {
      long_running_.Add({.job = job, .index = index});
    }
  }
}

void Soak::CancelLongRunning() {
  for (jobs::JobId job = 1; job <= first_jobs_; ++job) {
    while (!known_jobs_[job].cancelled) {
      Cancel(job);
      cluster_.RunFor(kSecond);
    }
  }
  cluster_.RunFor(5 * kSecond);
}

void Soak::Rest() {
  rests_ = true;
  const JobClusterOptions faults = cluster_.options();
  JobClusterOptions none = WithoutFaults(faults);
  cluster_.options() = none;
  cluster_.RunFor(kLongestFault);
  long_running_.RunFreeOfFaults(kRest);
  cluster_.options() = DefaultFaults(options_);
  cluster_.options().sync_time = faults.sync_time;
  rests_ = false;
}

void Soak::ChooseOrigin(jobs::JobId job) {
  if (options_.changing_queues) {
    const auto& prefixes = DrawnConfigurations::kPrefixes;
    origins_[job] = {.prefix = prefixes.at(RandomBelow(prefixes.size())),
                     .team = RandomBelow(DrawnConfigurations::kTeams)};
  } else if (options_.full_platform && step_ / kStepsPerService % 2 == 1) {
    origins_[job] = {.prefix = "/c/"};
  }
}

void Soak::CheckAnswer(const jobs::JobCall& call, jobs::JobId job, std::uint64_t since,
                       AnswerCode code) {
  if (!options_.changing_queues) return;
  const std::string& prefix = OriginOf(job).prefix;
  const bool has_queue = drawn_.AlwaysHasQueue(since, prefix);
  const bool has_key = drawn_.AlwaysHasKey(since, call.key);
  const bool wrong = (code == AnswerCode::kNoQueue && has_queue) ||
                     (code == AnswerCode::kBadKey && has_queue && has_key) ||
                     (code == AnswerCode::kOk && drawn_.NeverHasQueue(since, prefix)) ||
                     code == AnswerCode::kInvalid;
  if (!wrong) return;
  cluster_.AddViolation(std::string(NameOf(jobs::kJobCallKindNames, call.kind)) + " of " +
                        call.path + " is answered " +
                        std::string(NameOf(jobs::kAnswerCodeNames, code)) + ", made when version " +
                        std::to_string(since) + " was acknowledged");
}

void Soak::Submit(jobs::JobId job) {
  ++known_jobs_[job].waiting;
  const jobs::JobCall call = MakeCall(JobCallKind::kSubmit, job);
  const std::uint64_t since = acknowledged_version_;
  cluster_.Call(RandomEdge(), call, [this, job, call, since](const auto& answer) {
    CheckAnswer(call, job, since, answer.code);
    KnownJob& known = known_jobs_[job];
    --known.waiting;
    if (answer.code == AnswerCode::kOk) {
      if (!known.accepted) ++result_.accepted;
      known.accepted = true;
      known.may_exist = true;
      known.accepted_at = cluster_.now();
    } else if (answer.code == AnswerCode::kUnknown) {
      known.may_exist = true;
      ++result_.unknown;
    } else {
      ++result_.refused;
    }
  });
}

void Soak::Cancel(jobs::JobId job) {
  const jobs::JobCall call = MakeCall(JobCallKind::kCancel, job);
  const std::uint64_t since = acknowledged_version_;
  const bool accepted = known_jobs_[job].accepted;
  cluster_.Call(RandomEdge(), call, [this, job, call, since, accepted](const auto& answer) {
    CheckAnswer(call, job, since, answer.code);
    // An accepted job is cancelled with this answer too, but only where there is no queue any more.
    const bool may_lack_queue =
        options_.changing_queues && !drawn_.AlwaysHasQueue(since, OriginOf(job).prefix);
    if (accepted && answer.code == AnswerCode::kNoSuchJob && !may_lack_queue) {
      cluster_.AddViolation(jobs::FormatJob(job) + " was accepted and cannot be cancelled");
    }
    KnownJob& known = known_jobs_[job];
    // Both answers acknowledge the cancellation, also of a job that is on its way.
    if (answer.code == AnswerCode::kOk || answer.code == AnswerCode::kNoSuchJob) {
      known.cancelled = true;
      cluster_.RecordJobClosed(job);
    }
    // Without a definite answer the job may have been cancelled.
    if (answer.code == AnswerCode::kUnknown) known.cancelled = true;
  });
}

void Soak::Query(jobs::JobId job) {
  const bool accepted = known_jobs_[job].accepted;
  const jobs::JobCall call = MakeCall(JobCallKind::kQuery, job);
  const std::uint64_t since = acknowledged_version_;
  cluster_.Call(RandomEdge(), call, [this, job, call, since, accepted](const auto& answer) {
    CheckAnswer(call, job, since, answer.code);
    if (accepted && answer.code == AnswerCode::kNoSuchJob) {
      cluster_.AddViolation(jobs::FormatJob(job) + " was accepted and does not exist");
    }
    CheckCompletedJob(job, answer);
  });
}

/// Checks that all tasks of a job that is reported as completed are done.
void Soak::CheckCompletedJob(jobs::JobId job, const jobs::Answer& answer) {
  if (answer.code != AnswerCode::kOk || answer.text != "completed") return;
  cluster_.RecordJobClosed(job);
  const auto& steps = MakeCall(JobCallKind::kSubmit, job).spec.steps;
  for (std::uint32_t step = 0; step < steps.size(); ++step) {
    for (std::uint32_t index = 0; index < steps[step].count; ++index) {
      const jobs::TaskId task{job, 0, step, index};
      if (cluster_.HasEndedDone(task)) continue;
      cluster_.AddViolation(jobs::FormatJob(job) + " is reported as completed, and " +
                            jobs::FormatTask(task) + " is not done");
    }
  }
}

void Soak::Configure() {
  const std::uint64_t version = last_version_ += 1 + RandomBelow(3);
  const jobs::ConfigureCall call{.configuration = MakeConfiguration(version)};
  const auto send = [this, version, call] {
    cluster_.Call(RandomBelow(cluster_.cores()), call, [this, version](const auto& answer) {
      if (answer.code != AnswerCode::kOk) return;
      acknowledged_version_ = std::max(acknowledged_version_, version);
    });
  };
  send();
  if (RandomBelow(2) == 0) send();  // a second operator, or a retry
}

void Soak::CompleteConfiguration() {
  const std::uint64_t version = ++last_version_;
  const jobs::ConfigureCall call{.configuration = drawn_.Complete(version)};
  while (cluster_.CallAndWait(0, call).code != AnswerCode::kOk) {
    cluster_.RunFor(200 * kMillisecond);
  }
  acknowledged_version_ = version;
}

void Soak::ReadConfiguration() {
  const std::uint64_t least = acknowledged_version_;
  cluster_.Call(RandomBelow(cluster_.cores()), jobs::ReadConfigurationCall{},
                [this, least](const auto& answer) {
                  if (answer.code != AnswerCode::kOk) return;
                  if (std::stoull(answer.text) < least) {
                    cluster_.AddViolation("version " + answer.text + " is reported after " +
                                          std::to_string(least) + " was acknowledged");
                  }
                });
}

/// Starts a wave of all VMs, and retries until it is acknowledged, as operators do.
void Soak::StartWave() {
  jobs::StartWave wave{.wave = ++last_wave_, .duration_ms = 60'000};
  wave.max_down = 1 + static_cast<std::uint32_t>(RandomBelow(2));
  for (std::size_t i = 1; i <= kWorkers; ++i) wave.vms.push_back("vm-" + std::to_string(i));
  cluster_.wave_bounds[wave.wave] = wave.max_down;
  while (cluster_.CallAndWait(RandomBelow(cluster_.cores()), jobs::WaveCall{.wave = wave}).code !=
         AnswerCode::kOk) {
    cluster_.RunFor(200 * kMillisecond);
  }
}

void Soak::OrderZone(const std::string& zone, bool evacuated) {
  const jobs::EvacuationCall call{.zone = zone, .evacuated = evacuated};
  if (!evacuated) cluster_.closed_zones.erase(zone);
  while (cluster_.CallAndWait(RandomBelow(cluster_.cores()), call).code != AnswerCode::kOk) {
    cluster_.RunFor(200 * kMillisecond);
  }
  if (evacuated) cluster_.closed_zones[zone] = cluster_.now();
}

void Soak::ChangeZone() {
  const std::string zone = "zone-" + std::to_string(RandomBelow(kZones));
  OrderZone(zone, !cluster_.closed_zones.contains(zone));
}

void Soak::SubmitCrowd() {
  for (std::uint64_t i = 0; i < kCrowd; ++i) {
    ++last_job_;
    ChooseOrigin(last_job_);
    Submit(last_job_);
  }
}

void Soak::EndEvacuations() {
  const auto leader = cluster_.Leader();
  for (const auto& [zone, since] : std::map(cluster_.closed_zones)) {
    if (leader && !cluster_.state(*leader).IsEvacuated(zone)) {
      cluster_.AddViolation(zone + " was acknowledged as evacuated and is not");
    }
    OrderZone(zone, false);
  }
}

void Soak::CheckWaves() {
  for (jobs::WaveId wave = 1; wave <= last_wave_; ++wave) {
    const std::string phase = cluster_.CallAndWait(0, jobs::WaveQueryCall{.wave = wave}).text;
    if (phase != "completed") {
      cluster_.AddViolation("wave " + std::to_string(wave) + " is " + phase + " at the end");
    }
  }
  if (cluster_.maintained.size() != last_wave_ * kWorkers) {
    cluster_.AddViolation(std::to_string(cluster_.maintained.size()) + " VMs maintained in " +
                          std::to_string(last_wave_) + " waves");
  }
}

std::size_t Soak::LostNodes() const { return lost_nodes_.size(); }

void Soak::InjectNodeFault() {
  if (LostNodes() >= kMaxLostNodes) return;
  const std::size_t node = RandomBelow(cluster_.cores());
  if (lost_nodes_.contains(node)) return;
  lost_nodes_.insert(node);
  ++result_.faults;
  const Micros time = 100 * kMillisecond + static_cast<Micros>(RandomBelow(kMaxFault));
  switch (RandomBelow(6)) {
    case 0:
      cluster_.Kill(node);
      break;
    case 1:
      cluster_.LosePower(node);
      break;
    case 2:
      cluster_.LoseDisk(node);
      break;
    case 3:
      cluster_.Freeze(node, time);
      break;
    case 4:
      cluster_.Shutdown(node);
      break;
    default:
      cluster_.Isolate(node, time);
      break;
  }
  cluster_.After(time + 2 * kSecond, [this, node] {
    if (!cluster_.alive(node)) cluster_.Start(node);
    // A node counts as lost until it has caught up.
    cluster_.After(4 * kSecond, [this, node] { lost_nodes_.erase(node); });
  });
}

void Soak::InjectWorkerFault() {
  const jobs::WorkerId id = "worker-" + std::to_string(1 + RandomBelow(cluster_.workers().size()));
  ++result_.faults;
  const Micros time = 100 * kMillisecond + static_cast<Micros>(RandomBelow(2 * kMaxFault));
  if (RandomBelow(2) == 0) {
    cluster_.CutWorker(id, time);
  } else {
    cluster_.CrashWorker(id);
    cluster_.After(time, [this, id] { cluster_.RestartWorker(id); });
  }
}

/// Slows disk syncs down, so that an acknowledgement that does not wait for them is sent long
/// before the data is durable.
void Soak::SlowDisks() {
  ++result_.faults;
  const Micros usual = JobClusterOptions().sync_time;
  cluster_.options().sync_time = kSlowSync;
  cluster_.After(kSlowDisks, [this, usual] { cluster_.options().sync_time = usual; });
}

std::optional<jobs::WorkerId> Soak::RandomLiveWorker() {
  std::vector<jobs::WorkerId> live;
  for (const auto& [id, worker] : cluster_.workers()) {
    if (worker.alive) live.push_back(id);
  }
  if (live.empty()) return std::nullopt;
  return live[RandomBelow(live.size())];
}

void Soak::ChangeFaultsBriefly(const std::function<void(JobClusterOptions&)>& change) {
  change(cluster_.options());
  cluster_.After(kSecond + static_cast<Micros>(RandomBelow(kMaxFaultChange)), [this] {
    if (faults_ended_ || rests_) return;
    const Micros sync_time = cluster_.options().sync_time;
    cluster_.options() = DefaultFaults(options_);
    cluster_.options().sync_time = sync_time;
  });
}

/// Injects faults of workers and of the VM service, in a full-platform run.
void Soak::InjectPlatformFault() {
  ++result_.faults;
  const auto worker = RandomLiveWorker();
  const Micros time = 100 * kMillisecond + static_cast<Micros>(RandomBelow(2 * kMaxFault));
  switch (RandomBelow(8)) {
    case 0:
      return ChangeFaultsBriefly([](JobClusterOptions& faults) { faults.late_orders = 0.3; });
    case 1:
      return ChangeFaultsBriefly([](JobClusterOptions& faults) {
        faults.delayed_answers = 0.3;
        faults.lost_answers = 0.2;
      });
    case 2:
      return ChangeFaultsBriefly([](JobClusterOptions& faults) {
        faults.late_vm_answers = 0.5;
        faults.throttled_vm_calls = 0.2;
        faults.reset_vm_calls = 0.3;
        faults.lost_vm_answers = 0.3;
      });
    case 3:
      return ChangeFaultsBriefly([](JobClusterOptions& faults) {
        faults.unhealthy = 0.4;
        faults.late_orders = 0.2;
      });
    case 4:
      if (worker) cluster_.DrainWorker(*worker);
      return;
    case 5:
      if (worker) cluster_.ReplaceWorker(*worker, time);
      return;
    case 6:
      if (!worker) return;
      // The worker restarts with the same id, at once or after some time.
      cluster_.CrashWorker(*worker);
      cluster_.After(RandomBelow(2) == 0 ? 1 : time,
                     [this, id = *worker] { cluster_.RestartWorker(id); });
      return;
    default:
      if (worker) cluster_.CutWorker(*worker, time);
  }
}

void Soak::InjectFault() {
  if (options_.full_platform && RandomBelow(2) == 0) return InjectPlatformFault();
  if (waves_and_power_ && RandomBelow(6) == 0) return SlowDisks();
  if (RandomBelow(3) == 0) {
    InjectNodeFault();
  } else if (RandomBelow(3) == 0) {
    InjectWorkerFault();
  } else if (RandomBelow(4) == 0) {
    const std::size_t edge = RandomEdge();
    cluster_.Isolate(edge, static_cast<Micros>(RandomBelow(kMaxFault)));
  }
}

void Soak::CheckWorkers() {
  for (const auto& [id, worker] : cluster_.workers()) {
    for (const auto& [task, run] : worker.running()) {
      const auto known = known_jobs_.find(task.job);
      if (known == known_jobs_.end()) {
        cluster_.AddViolation(jobs::FormatTask(task) + " was never submitted");
      } else if (known->second.waiting == 0 && !known->second.may_exist) {
        cluster_.AddViolation(jobs::FormatTask(task) + " runs though its job was refused");
      }
    }
  }
}

void Soak::CheckOrigins() {
  if (!options_.changing_queues) return;
  std::array<std::int64_t, DrawnConfigurations::kTeams> used{};
  for (auto& [id, worker] : cluster_.workers()) {
    if (!worker.alive) continue;
    worker.Advance(cluster_.now());
    for (const auto& [task, run] : worker.running()) {
      const JobOrigin origin = OriginOf(task.job);
      used.at(origin.team) += run.size.cpu;
      if (drawn_.HasSent(origin.prefix, worker.record().service)) continue;
      cluster_.AddViolation(jobs::FormatTask(task) + " of " + origin.prefix + " runs on " +
                            worker.record().service);
    }
  }
  for (const std::int64_t cpu : used) {
    if (cpu <= DrawnConfigurations::kTeamCpu) continue;
    cluster_.AddViolation("a team uses " + std::to_string(cpu) + " of its limit of " +
                          std::to_string(DrawnConfigurations::kTeamCpu));
  }
}

void Soak::RunStep() {
  const std::uint64_t kind = RandomBelow(100);
  if (kind < 45) {
    ++last_job_;
    ChooseOrigin(last_job_);
    Submit(last_job_);
    if (kind < 3) Cancel(last_job_);  // by another edge, so that it may arrive first
  } else if (kind < 55 && last_job_ > first_jobs_) {
    Submit(RandomJob());  // repeats an earlier submit
  } else if (kind < 62 && last_job_ > first_jobs_) {
    Cancel(RandomJob());
  } else if (kind < 80 && last_job_ > first_jobs_) {
    Query(RandomJob());
  } else if (kind < 84) {
    Configure();
  } else if (kind < 92) {
    ReadConfiguration();
  } else {
    InjectFault();
  }
  cluster_.RunFor(static_cast<Micros>(RandomBelow(120)) * kMillisecond);
  CheckWorkers();
  CheckOrigins();
}

JobClusterOptions Soak::WithoutFaults(const JobClusterOptions& faults) {
  JobClusterOptions none{.cores = faults.cores,
                         .edges = faults.edges,
                         .lost_vm_answers = faults.lost_vm_answers,
                         .sync_time = faults.sync_time,
                         .model_vms = faults.model_vms};
  none.loss = 0;
  none.late_orders = 0;
  none.lost_answers = 0;
  return none;
}

void Soak::EndFaults() {
  faults_ended_ = true;
  const double power_loss_after_ack = cluster_.options().power_loss_after_ack;
  cluster_.options() = WithoutFaults(cluster_.options());
  cluster_.options().power_loss_after_ack = power_loss_after_ack;
  cluster_.RunFor(12 * kSecond);
  for (std::size_t node = 0; node < cluster_.size(); ++node) cluster_.Start(node);
  cluster_.options().power_loss_after_ack = 0;
  for (auto& [id, worker] : cluster_.workers()) {
    if (!worker.alive) cluster_.RestartWorker(id);
  }
  if (options_.changing_queues) CompleteConfiguration();
  if (options_.evacuations) EndEvacuations();
  if (options_.long_running) {
    long_running_.RunFreeOfFaults(kRest);
    CancelLongRunning();
  }
  cluster_.RunFor(options_.full_platform ? kRecoveryTime : 30 * kSecond);
}

void Soak::CheckFinalState() {
  const auto has_leader = [&] { return cluster_.Leader().has_value(); };
  if (!cluster_.RunUntilTrue(has_leader, 10 * kSecond)) {
    return cluster_.AddViolation("no leader after all faults have ceased");
  }
  const auto no_open_jobs = [&] {
    return has_leader() && cluster_.state(*cluster_.Leader()).open_job_count() == 0;
  };
  if (options_.crowds) cluster_.RunUntilTrue(no_open_jobs, kCrowdTime);
  const jobs::Answer configuration = cluster_.CallAndWait(0, jobs::ReadConfigurationCall{});
  if (configuration.code != AnswerCode::kOk ||
      std::stoull(configuration.text) < acknowledged_version_) {
    cluster_.AddViolation("the configuration at the end is " + configuration.text);
  }
  CheckWaves();
  for (const auto& [job, known] : known_jobs_) {
    if (!known.accepted) continue;
    // Jobs that ended long ago may have been discarded.
    if (cluster_.now() - known.accepted_at > 100 * kSecond) continue;
    const jobs::Answer answer =
        cluster_.CallAndWait(RandomEdge(), MakeCall(JobCallKind::kQuery, job));
    CheckCompletedJob(job, answer);
    const std::string& phase = answer.text;
    if (phase == "completed") ++result_.completed;
    if (phase == "cancelled" && known.cancelled) ++result_.cancelled;
    const bool good = phase == "completed" || (phase == "cancelled" && known.cancelled);
    if (!good) cluster_.AddViolation(jobs::FormatJob(job) + " is " + phase + " at the end");
  }
}

JobSoakResult Soak::Run() {
  StartUp();
  for (; step_ < options_.steps && cluster_.violations.empty(); ++step_) {
    const bool no_waves =
        options_.full_platform && step_ + kFinalStepsWithoutWaves > options_.steps;
    const bool wave = step_ % kStepsPerWave == kStepsPerWave / 2;
    if (waves_and_power_ && wave && !no_waves) StartWave();
    if (options_.evacuations && step_ % kStepsPerZoneOrder == 1) ChangeZone();
    const bool crowd = step_ % kStepsPerCrowd == kStepsPerCrowd / 2 &&
                       step_ + kFinalStepsWithoutCrowds < options_.steps;
    if (options_.crowds && crowd) SubmitCrowd();
    if (options_.long_running && step_ % kStepsBetweenRests == kStepsBetweenRests - 1) Rest();
    RunStep();
  }
  if (cluster_.violations.empty()) EndFaults();
  if (cluster_.violations.empty()) CheckFinalState();
  result_.violations = cluster_.violations;
  result_.log = cluster_.log();
  result_.maintained = cluster_.maintained.size();
  result_.power_losses = cluster_.power_losses;
  result_.moved = cluster_.moved;
  return result_;
}

}  // namespace

JobSoakResult RunJobSoak(const JobSoakOptions& options) { return Soak(options).Run(); }

std::string JobSoakLine(const JobSoakResult& result) {
  return "accepted=" + std::to_string(result.accepted) +
         " completed=" + std::to_string(result.completed) +
         " cancelled=" + std::to_string(result.cancelled) +
         " refused=" + std::to_string(result.refused) +
         " unknown=" + std::to_string(result.unknown) + " faults=" + std::to_string(result.faults) +
         " maintained=" + std::to_string(result.maintained) +
         " power_losses=" + std::to_string(result.power_losses) +
         " moved=" + std::to_string(result.moved) +
         " violations=" + std::to_string(result.violations.size());
}

}  // namespace godwitpaddle::testing
