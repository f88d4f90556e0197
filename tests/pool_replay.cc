#include "tests/pool_replay.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <utility>

#include "base/random.h"
#include "jobs/demand.h"
#include "jobs/job_admission.h"

namespace godwitpaddle::testing {
namespace {

/// Value of a late completion relative to one in time, and the least and greatest value of a job
/// relative to a job with the mean work of its queue.
constexpr double kLateValue = 0.07;
constexpr double kMinValue = 0.3;
constexpr double kMaxValue = 4;

struct OpenJob {
  const RecordedJob* job = nullptr;
  std::vector<std::vector<std::int64_t>> actual_ms;  // of each task, by step
  std::vector<std::uint32_t> started;
  std::vector<std::uint32_t> done;
  std::int64_t objective_ms = 0;
  double work = 0;  // in core-milliseconds
  std::int64_t ended_ms = -1;
  bool refused = false;
};

struct Running {
  std::int64_t ends_ms = 0;
  std::size_t job = 0;
  std::uint32_t step = 0;
  std::int64_t time_ms = 0;
  std::size_t vm = 0;
};

struct Candidate {
  jobs::StartRank rank;
  std::size_t job = 0;
  std::uint32_t step = 0;
};

/// Returns the length of the longest chain of dependent steps, counting only steps that are not
/// done, for the given times of the steps.
std::int64_t CriticalPathMs(const RecordedJob& job, const std::vector<std::int64_t>& times,
                            const std::vector<std::uint32_t>& done) {
  std::vector<std::int64_t> finish_ms(job.steps.size(), 0);
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    for (const std::uint32_t dependency : job.steps[i].depends_on) {
      finish_ms[i] = std::max(finish_ms[i], finish_ms[dependency]);
    }
    if (done[i] < job.steps[i].count) finish_ms[i] += times[i];
  }
  return *std::ranges::max_element(finish_ms);
}

std::vector<std::int64_t> DeclaredTimes(const RecordedJob& job) {
  std::vector<std::int64_t> times;
  for (const jobs::Step& step : job.steps) times.push_back(step.estimate_ms);
  return times;
}

class PoolReplay {
 public:
  PoolReplay(const std::vector<RecordedJob>& load, const ReplayOptions& options)
      : options_(options),
        rng_(options.seed),
        free_cpu_(static_cast<std::size_t>(options.vms), options.vm_cpu) {
    for (const RecordedJob& job : load) jobs_.push_back(Open(job));
  }

  ReplayResult Run() {
    while (arrived_ < jobs_.size() || !running_.empty()) {
      now_ = NextEvent();
      std::erase_if(running_, [this](const Running& run) { return FinishIfDue(run); });
      while (arrived_ < jobs_.size() && jobs_[arrived_].job->at_ms <= now_) {
        jobs_[arrived_].refused = options_.refuses && IsRefused(arrived_);
        ++arrived_;
      }
      StartTasks();
    }
    Summarise();
    return result_;
  }

 private:
  /// Returns an approximately standard normal number: the sum of twelve uniform ones, less 6.
  double Normal() {
    double sum = -6;
    for (int i = 0; i < 12; ++i) sum += UniformUnit(rng_);
    return sum;
  }

  std::int64_t Objective(std::int64_t critical_path_ms) const {
    return options_.target_latency_ms +
           static_cast<std::int64_t>(options_.stretch * static_cast<double>(critical_path_ms));
  }

  OpenJob Open(const RecordedJob& job) {
    const std::vector<std::uint32_t> none(job.steps.size(), 0);
    OpenJob replayed{.job = &job, .started = none, .done = none};
    std::vector<std::int64_t> longest_ms;
    for (const jobs::Step& step : job.steps) {
      const double median_ms = static_cast<double>(step.estimate_ms) * options_.estimate_factor *
                               std::exp(options_.estimate_spread * Normal());
      std::vector<std::int64_t>& times = replayed.actual_ms.emplace_back();
      for (std::uint32_t i = 0; i < step.count; ++i) {
        const double time_ms = std::max(1.0, median_ms * std::exp(options_.task_spread * Normal()));
        times.push_back(static_cast<std::int64_t>(time_ms));
        replayed.work += static_cast<double>(step.size.cpu) * time_ms;
      }
      longest_ms.push_back(*std::ranges::max_element(times));
    }
    replayed.objective_ms = Objective(CriticalPathMs(job, longest_ms, none));
    return replayed;
  }

  std::int64_t NextEvent() const {
    std::optional<std::int64_t> next;
    const auto earlier = [&](std::int64_t time) { next = std::min(next.value_or(time), time); };
    if (arrived_ < jobs_.size()) earlier(jobs_[arrived_].job->at_ms);
    for (const Running& run : running_) earlier(run.ends_ms);
    return std::max(now_, *next);
  }

  bool FinishIfDue(const Running& run) {
    if (run.ends_ms > now_) return false;
    OpenJob& job = jobs_[run.job];
    const jobs::Step& step = job.job->steps[run.step];
    free_cpu_[run.vm] += step.size.cpu;
    ++job.done[run.step];
    demand_.OnRunDone(job.job->queue, step.estimate_ms, run.time_ms);
    bool completed = true;
    for (std::size_t i = 0; i < job.done.size(); ++i) {
      completed = completed && job.done[i] == job.job->steps[i].count;
    }
    if (completed) job.ended_ms = now_;
    return true;
  }

  /// Whether the job would be refused, by the declared work of those accepted before it.
  bool IsRefused(std::size_t index) const {
    const RecordedJob& job = *jobs_[index].job;
    const double factor = demand_.EstimateFactor(job.queue);
    double ahead = 0;
    for (std::size_t i = 0; i < index; ++i) {
      if (jobs_[i].ended_ms >= 0 || jobs_[i].refused) continue;
      const auto& steps = jobs_[i].job->steps;
      for (std::size_t step = 0; step < steps.size(); ++step) {
        // Running tasks count half.
        const double open =
            steps[step].count - (jobs_[i].started[step] + jobs_[i].done[step]) / 2.0;
        ahead += open * static_cast<double>(steps[step].size.cpu * steps[step].estimate_ms);
      }
    }
    const std::vector<std::uint32_t> none(job.steps.size(), 0);
    const double path = factor * static_cast<double>(CriticalPathMs(job, DeclaredTimes(job), none));
    return !jobs::DecideAdmission(
                {.ahead_vm_ms = factor * ahead / static_cast<double>(options_.vm_cpu),
                 .team_vms = static_cast<double>(options_.vms),
                 .critical_path_ms = path,
                 .objective_ms = static_cast<double>(Objective(static_cast<std::int64_t>(path))),
                 .crowds = options_.crowds})
                .admitted;
  }

  void StartTasks() {
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < arrived_; ++i) {
      if (jobs_[i].ended_ms < 0 && !jobs_[i].refused) AddSteps(i, candidates);
    }
    std::ranges::stable_sort(candidates, {}, &Candidate::rank);
    for (const Candidate& candidate : candidates) {
      OpenJob& job = jobs_[candidate.job];
      const std::uint32_t count = job.job->steps[candidate.step].count;
      while (job.started[candidate.step] < count && Start(candidate)) ++job.started[candidate.step];
    }
  }

  void AddSteps(std::size_t index, std::vector<Candidate>& candidates) const {
    const OpenJob& job = jobs_[index];
    const auto& steps = job.job->steps;
    const std::vector<std::int64_t> declared = DeclaredTimes(*job.job);
    const std::vector<std::uint32_t> none(steps.size(), 0);
    const double factor = demand_.EstimateFactor(job.job->queue);
    const auto expected = [&](std::int64_t declared_ms) {
      return static_cast<std::int64_t>(factor * static_cast<double>(declared_ms));
    };
    const jobs::WaitingStep waiting{
        .due_ms = job.job->at_ms,
        .objective_ms = Objective(expected(CriticalPathMs(*job.job, declared, none))),
        .critical_path_ms = expected(CriticalPathMs(*job.job, declared, job.done))};
    for (std::uint32_t i = 0; i < steps.size(); ++i) {
      const bool ready = std::ranges::all_of(steps[i].depends_on, [&](std::uint32_t before) {
        return job.done[before] == steps[before].count;
      });
      if (!ready || job.started[i] == steps[i].count) continue;
      candidates.push_back({.rank = options_.order(waiting, now_), .job = index, .step = i});
    }
  }

  bool Start(const Candidate& candidate) {
    const OpenJob& job = jobs_[candidate.job];
    const std::int64_t cpu = job.job->steps[candidate.step].size.cpu;
    std::optional<std::size_t> best;  // the fullest VM that can hold the task
    for (std::size_t vm = 0; vm < free_cpu_.size(); ++vm) {
      if (free_cpu_[vm] >= cpu && (!best || free_cpu_[vm] < free_cpu_[*best])) best = vm;
    }
    if (!best) return false;
    free_cpu_[*best] -= cpu;
    const std::int64_t time = job.actual_ms[candidate.step][job.started[candidate.step]];
    running_.push_back({.ends_ms = now_ + time,
                        .job = candidate.job,
                        .step = candidate.step,
                        .time_ms = time,
                        .vm = *best});
    return true;
  }

  void Summarise() {
    double all_work = 0;
    for (const OpenJob& job : jobs_) all_work += job.work;
    result_.jobs = static_cast<int>(jobs_.size());
    double total_value = 0;
    std::vector<std::pair<double, bool>> by_size;
    for (const OpenJob& job : jobs_) {
      const double size = job.work / all_work * result_.jobs;
      const double value = std::min(kMaxValue, kMinValue + (1 - kMinValue) * size);
      total_value += value;
      if (job.refused) {
        ++result_.refused;
        by_size.emplace_back(size, false);
        continue;
      }
      const std::int64_t took = job.ended_ms - job.job->at_ms;
      const bool in_time = took <= job.objective_ms;
      const bool late = !in_time && took <= jobs::kExpiredFactor * job.objective_ms;
      if (in_time) result_.value_share += value;
      if (late) result_.value_share += kLateValue * value;
      result_.in_time += in_time ? 1 : 0;
      result_.late += late ? 1 : 0;
      result_.in_vain += in_time || late ? 0 : 1;
      by_size.emplace_back(size, in_time);
    }
    result_.value_share /= total_value;
    std::ranges::sort(by_size, std::greater<>());
    by_size.resize(std::max<std::size_t>(1, by_size.size() / 10));
    const auto in_time_count =
        std::ranges::count_if(by_size, [](const auto& one) { return one.second; });
    result_.largest_tenth_in_time =
        static_cast<double>(in_time_count) / static_cast<double>(by_size.size());
  }

  const ReplayOptions& options_;
  Rng rng_;
  std::vector<std::int64_t> free_cpu_;  // of each VM, in thousandths of a core
  std::vector<OpenJob> jobs_;
  std::vector<Running> running_;
  jobs::Demand demand_;
  std::size_t arrived_ = 0;
  std::int64_t now_ = 0;
  ReplayResult result_;
};

}  // namespace

jobs::StartRank RankByDeadline(const jobs::WaitingStep& step, std::int64_t wall_ms) {
  return {.expired = wall_ms > step.due_ms + jobs::kExpiredFactor * step.objective_ms,
          .priority = step.priority,
          .deadline_ms = step.due_ms + step.objective_ms};
}

ReplayResult Replay(const std::vector<RecordedJob>& load, const ReplayOptions& options) {
  return PoolReplay(load, options).Run();
}

}  // namespace godwitpaddle::testing
