#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decision/apply_detail.h"

namespace godwitpaddle::detail {
namespace {

using Files = std::map<std::string, std::string>;

constexpr std::size_t kMaxHistory = 1'000;
constexpr std::size_t kMaxFiles = 1'000;
constexpr std::size_t kMaxFileBytes = 4U << 20U;
constexpr std::size_t kMaxFileNameLength = 128;

bool IsValidFileName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxFileNameLength && name.front() != '.' &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                  c == '.' || c == '_' || c == '-';
         });
}

void SetFile(Files& files, const std::string& name, const std::optional<std::string>& content) {
  if (content) {
    files[name] = *content;
  } else {
    files.erase(name);
  }
}

/// Adds an error for each removed pool that still has VMs. They must be moved to another pool
/// first, so that their running requests are not cut off.
void CheckRemovedPools(const FleetState& state, const FleetConfig& config,
                       std::vector<ConfigError>& errors) {
  const auto require_pool = [&](const PoolId& pool, const VmId& vm) {
    if (config.pools.count(pool) != 0) return;
    errors.push_back(
        {.path = "/pools/" + pool,
         .reason = "cannot be removed: VM " + vm + " is in the pool or is being moved to it"});
  };
  for (const auto& [id, vm] : state.vms) {
    if (config.vms.count(id) != 0 || vm.operation) require_pool(vm.pool, id);
    if (vm.operation && !vm.operation->target.empty()) require_pool(vm.operation->target, id);
  }
}

MergeResult MergeAndCheck(const FleetState& state, const Files& files) {
  MergeResult result = MergeConfig(files);
  if (result.ok()) CheckRemovedPools(state, result.config, result.errors);
  return result;
}

std::string DescribeFirstError(const std::vector<ConfigError>& errors) {
  const ConfigError& error = errors.front();
  std::string text = error.file;
  if (error.line > 0) text += ":" + std::to_string(error.line);
  if (!text.empty()) text += ": ";
  if (!error.path.empty()) text += error.path + ": ";
  return text + error.reason;
}

void AppendHistory(FleetState& state, const ApplyContext& ctx, const std::string& author,
                   const std::string& action, std::vector<std::string> files) {
  state.history.push_back({.revision = state.revision,
                           .in_force_version = state.in_force_version,
                           .at = ctx.now,
                           .author = author,
                           .action = action,
                           .files = std::move(files)});
  while (state.history.size() > kMaxHistory) state.history.pop_front();
}

void Activate(FleetState& state, const ApplyContext& ctx, Files files, FleetConfig config) {
  state.files = std::move(files);
  state.config = std::move(config);
  ++state.in_force_version;
  state.in_force_index = ctx.index;
  ReconcileWithConfig(state, ctx);
}

/// Result of SelectValid: pending files that are valid together, and the reason for each of the
/// others.
struct Selection {
  std::set<std::string> valid;
  std::map<std::string, std::string> blocked;
};

/// Finds a set of the named pending files that is valid together with the files in force. Depends
/// on the replicated state only, so that all replicas select the same files.
Selection SelectValid(const FleetState& state, const std::set<std::string>& names) {
  Files files = state.files;
  for (const auto& name : names) SetFile(files, name, state.pending.at(name).content);
  if (MergeAndCheck(state, files).ok()) return {.valid = names};
  Selection selection;
  files = state.files;
  // A file may need another one that comes later in the order of names, so passes are repeated
  // until none accepts a file.
  for (bool progress = true; progress;) {
    progress = false;
    for (const auto& name : names) {
      if (selection.valid.count(name) != 0) continue;
      Files trial = files;
      SetFile(trial, name, state.pending.at(name).content);
      const MergeResult merged = MergeAndCheck(state, trial);
      if (merged.ok()) {
        files = std::move(trial);
        selection.valid.insert(name);
        selection.blocked.erase(name);
        progress = true;
      } else {
        selection.blocked[name] = DescribeFirstError(merged.errors);
      }
    }
  }
  return selection;
}

void MarkPending(FleetState& state, const Selection& selection) {
  for (const auto& name : selection.valid) {
    state.pending.at(name).state = ReviewState::kPending;
    state.pending.at(name).reason.clear();
  }
  for (const auto& [name, reason] : selection.blocked) {
    state.pending.at(name).state = ReviewState::kBlocked;
    state.pending.at(name).reason = reason;
  }
}

/// Validates the pending files again after a change of one of them or of the files in force.
void Revalidate(FleetState& state) {
  if (state.pending.empty()) return;
  std::set<std::string> names;
  for (const auto& [name, file] : state.pending) names.insert(name);
  MarkPending(state, SelectValid(state, names));
}

std::optional<ApplyResult> CheckSubmission(const FleetState& state, const SubmitConfig& body) {
  if (body.files.empty()) return Refuse(ResultCode::kInvalid, "the change has no files");
  for (const auto& [name, content] : body.files) {
    if (!IsValidFileName(name)) {
      return Refuse(ResultCode::kInvalid, "\"" + name + "\" is not a valid file name");
    }
    if (content && content->size() > kMaxFileBytes) {
      return Refuse(ResultCode::kInvalid, name + " is larger than 4 MiB");
    }
    if (!content && state.files.count(name) == 0 && state.pending.count(name) == 0) {
      return Refuse(ResultCode::kNotFound, "there is no file " + name + " to remove");
    }
  }
  if (state.files.size() + state.pending.size() + body.files.size() > kMaxFiles) {
    return Refuse(ResultCode::kFull, "there would be more than 1000 files");
  }
  return std::nullopt;
}

/// Returns the errors of a submission. It must be valid with the files in force, or with these and
/// the other pending files.
std::vector<ConfigError> FindSubmissionErrors(const FleetState& state, const SubmitConfig& body) {
  Files with_submission = state.files;
  for (const auto& [name, content] : body.files) SetFile(with_submission, name, content);
  MergeResult result = MergeAndCheck(state, with_submission);
  if (result.ok() || state.pending.empty()) return result.errors;
  Files with_pending = state.files;
  for (const auto& [name, file] : state.pending) SetFile(with_pending, name, file.content);
  for (const auto& [name, content] : body.files) SetFile(with_pending, name, content);
  if (MergeAndCheck(state, with_pending).ok()) return {};
  return result.errors;
}

bool IsInForce(const FleetState& state, const std::string& name,
               const std::optional<std::string>& content) {
  const auto it = state.files.find(name);
  return it == state.files.end() ? !content.has_value() : content == it->second;
}

ApplyResult Approve(FleetState& state, const ApplyContext& ctx, const DecideReview& body) {
  Files files = state.files;
  for (const auto& name : body.files) SetFile(files, name, state.pending.at(name).content);
  MergeResult merged = MergeAndCheck(state, files);
  if (!merged.ok()) {
    ApplyResult result = Refuse(ResultCode::kInvalid, DescribeFirstError(merged.errors));
    result.errors = std::move(merged.errors);
    return result;
  }
  for (const auto& name : body.files) state.pending.erase(name);
  Activate(state, ctx, std::move(files), std::move(merged.config));
  AppendHistory(state, ctx, body.author, "approve", body.files);
  Revalidate(state);
  return {};
}

}  // namespace

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const SubmitConfig& body) {
  if (body.base_revision != state.revision) {
    return Refuse(ResultCode::kConflict, "the change is based on revision " +
                                             std::to_string(body.base_revision) + ", current is " +
                                             std::to_string(state.revision));
  }
  if (auto refusal = CheckSubmission(state, body)) return *refusal;
  std::vector<ConfigError> errors = FindSubmissionErrors(state, body);
  if (!errors.empty()) {
    ApplyResult result = Refuse(ResultCode::kInvalid, DescribeFirstError(errors));
    result.errors = std::move(errors);
    return result;
  }
  std::vector<std::string> changed;
  std::size_t added = 0;
  for (const auto& [name, content] : body.files) {
    const bool was_pending = state.pending.erase(name) != 0;
    if (was_pending || !IsInForce(state, name, content)) changed.push_back(name);
    // Submitting the content in force only withdraws the pending change of the file.
    if (IsInForce(state, name, content)) continue;
    ++added;
    state.pending[name] = {.content = content,
                           .change_id = body.change_id,
                           .revision = state.revision + 1,
                           .author = body.author,
                           .submitted = ctx.now};
  }
  if (changed.empty()) return {.message = "nothing changes"};
  ++state.revision;
  AppendHistory(state, ctx, body.author, "apply", changed);
  // If no other file is pending, the submission has been validated above.
  if (state.pending.size() > added) Revalidate(state);
  return {};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const DecideReview& body) {
  if (body.files.empty()) return Refuse(ResultCode::kInvalid, "the review names no files");
  for (const auto& name : body.files) {
    if (state.pending.count(name) == 0) {
      return Refuse(ResultCode::kNotFound, name + " is not pending review");
    }
  }
  if (body.approve) return Approve(state, ctx, body);
  for (const auto& name : body.files) state.pending.erase(name);
  AppendHistory(state, ctx, body.author, "veto", body.files);
  Revalidate(state);
  return {};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const ActivateDueFiles&) {
  if (state.config.fleet.review != ReviewMode::kWindow) return {.message = "no review window"};
  const WallMs window = state.config.fleet.review_window_s * 1000;
  std::set<std::string> due;
  for (const auto& [name, file] : state.pending) {
    if (file.state == ReviewState::kPending && ctx.now - file.submitted >= window) due.insert(name);
  }
  if (due.empty()) return {.message = "no review window has ended"};
  const Selection selection = SelectValid(state, due);
  MarkPending(state, selection);
  if (selection.valid.empty()) return {};
  Files files = state.files;
  for (const auto& name : selection.valid) SetFile(files, name, state.pending.at(name).content);
  MergeResult merged = MergeAndCheck(state, files);
  for (const auto& name : selection.valid) state.pending.erase(name);
  Activate(state, ctx, std::move(files), std::move(merged.config));
  AppendHistory(state, ctx, "", "lapse", {selection.valid.begin(), selection.valid.end()});
  Revalidate(state);
  return {};
}

void ReconcileWithConfig(FleetState& state, const ApplyContext& ctx) {
  ReconcileVms(state);
  ReconcileWaves(state, ctx);
  ReconcileOwners(state, ctx);
  UpdateOverLimit(state);
}

}  // namespace godwitpaddle::detail
