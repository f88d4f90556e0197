#include "control/unbegun_jobs.h"

#include <variant>

namespace godwitpaddle::jobs {

void UnbegunJobs::Clear() {
  queues_.clear();
  counts_.clear();
  begun_.clear();
}

void UnbegunJobs::Update(JobId id) {
  const Job* job = state_.FindJob(id);
  const bool open = job != nullptr && job->active() && !job->begun;
  if (!open) begun_.erase(id);
  if (!open || job->assigned == 0 || begun_.contains(id)) return Erase(id);
  const QueueNumber queue = job->known_queue->number;
  if (queues_.try_emplace(id, queue).second) ++counts_[queue];
}

void UnbegunJobs::OnApplied(const Command& command) {
  if (const auto* assign = std::get_if<Assign>(&command)) Update(assign->task.job);
  if (const auto* end = std::get_if<RecordEnd>(&command)) Update(end->task.job);
  if (const auto* cancel = std::get_if<Cancel>(&command)) Update(cancel->job);
}

void UnbegunJobs::OnBegun(JobId id) {
  const Job* job = state_.FindJob(id);
  if (job == nullptr || !job->active() || job->begun) return;
  begun_.insert(id);
  Erase(id);
}

std::size_t UnbegunJobs::Count(QueueNumber queue) const {
  const auto found = counts_.find(queue);
  return found == counts_.end() ? 0 : found->second;
}

void UnbegunJobs::Erase(JobId id) {
  const auto found = queues_.find(id);
  if (found == queues_.end()) return;
  --counts_[found->second];
  queues_.erase(found);
}

}  // namespace godwitpaddle::jobs
