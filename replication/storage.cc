#include "replication/storage.h"

#include <fcntl.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include "replication/file_io.h"

namespace godwitpaddle::replication {
namespace {

constexpr std::string_view kLockName = "lock";
constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kHardStateName = "hard_state";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kTemporarySuffix = ".tmp";
/// A new segment starts once the last one has this size, so that the segments that a snapshot
/// covers can be removed.
constexpr std::size_t kSegmentBytes = std::size_t{8} * 1024 * 1024;

/// The changes of one batch to the log, written as one frame.
struct LogRecord {
  Index truncate_from = 0;  // 0: no entries are removed
  std::vector<Entry> entries;
  MSGPACK_DEFINE(truncate_from, entries)
};

struct HardState {
  Term term = 0;
  ReplicaId voted_for;
  MSGPACK_DEFINE(term, voted_for)
};

[[noreturn]] void ThrowDamaged(const std::string& path, std::size_t offset,
                               const std::string& what) {
  throw StorageError(path + ": damaged at offset " + std::to_string(offset) + ": " + what);
}

std::string NumberedName(std::string_view prefix, std::uint64_t number) {
  std::array<char, 24> digits{};
  std::snprintf(digits.data(), digits.size(), "%020llu", static_cast<unsigned long long>(number));
  return std::string(prefix) + digits.data();
}

template <typename T>
T DecodePayload(const std::string& path, std::size_t offset, std::string_view payload) {
  try {
    return Decode<T>(payload);
  } catch (const DecodeError& error) {
    ThrowDamaged(path, offset, error.what());
  }
}

/// Reads a file that consists of one frame. Throws StorageError if it is damaged.
template <typename T>
T ReadFrameFile(const std::string& path) {
  const std::string bytes = File(path, O_RDONLY).ReadAll();
  const auto payload = FrameAt(bytes, 0);
  if (!payload || kFrameHeaderBytes + payload->size() != bytes.size()) {
    ThrowDamaged(path, 0, "wrong checksum or length");
  }
  return DecodePayload<T>(path, 0, *payload);
}

std::string RandomId() {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::random_device random;
  std::string id;
  for (int i = 0; i < 32; ++i) id.push_back(kDigits[random() % kDigits.size()]);
  return id;
}

/// The number in the name of a segment or snapshot file.
std::uint64_t ParseNumber(const std::string& folder, const std::string& name,
                          std::string_view prefix) {
  std::uint64_t number = 0;
  const char* const end = name.data() + name.size();
  const auto [rest, error] = std::from_chars(name.data() + prefix.size(), end, number);
  if (error != std::errc() || rest != end) {
    throw StorageError(folder + "/" + name + ": unexpected name of a log segment or snapshot");
  }
  return number;
}

struct Segment {
  std::uint64_t number = 0;
  Index max_index = 0;  // highest index of an entry in it
};

}  // namespace

struct FileStorage::Impl {
  Impl(const std::string& data_folder, ReplicaId new_id);

  std::string Path(std::string_view name) const { return folder + "/" + std::string(name); }
  void Scan();
  void LoadIdentity(ReplicaId new_id);
  void LoadState();
  void DropSegmentsBeforeGap();
  void ReplaySegment(Segment& segment, bool is_last);
  void Replay(const std::string& path, std::size_t offset, LogRecord record);
  void DropEntriesInSnapshot();
  void RemoveCoveredSegments();
  void WriteSnapshot(const Snapshot& snapshot);
  void AppendRecord(const PersistBatch& batch);
  void StartSegment();

  std::string folder;
  File lock;
  bool has_identity = false;
  bool has_hard_state = false;
  ReplicaId id;
  StoredState stored;
  Index snapshot_index = 0;
  bool conflicts = false;  // the stored log, until it is truncated, with the stored snapshot
  std::vector<std::uint64_t> snapshots;  // indexes in the names of the snapshot files, ascending
  std::vector<Segment> segments;         // ascending by number; new records go to the last one
  std::optional<File> segment;
  std::size_t segment_bytes = 0;
};

namespace {

File OpenLock(const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) throw StorageError(folder + ": create: " + error.message());
  File file(folder + "/" + std::string(kLockName), O_RDWR | O_CREAT);
  if (!file.TryLock()) throw StorageError(folder + ": in use by another process");
  return file;
}

}  // namespace

FileStorage::Impl::Impl(const std::string& data_folder, ReplicaId new_id)
    : folder(data_folder), lock(OpenLock(data_folder)) {
  Scan();
  LoadIdentity(std::move(new_id));
  LoadState();
  if (segments.empty()) {
    StartSegment();
  } else {
    segment.emplace(Path(NumberedName(kSegmentPrefix, segments.back().number)),
                    O_WRONLY | O_APPEND);
    // Bytes that were read may be in the page cache only, so they are synced before use.
    segment->Sync();
    SyncFolder(folder);
    // A full disk may have kept the last batch from removing them, and its rest may need the space.
    if (!conflicts) RemoveCoveredSegments();
  }
}

void FileStorage::Impl::Scan() {
  std::error_code error;
  for (const auto& file : std::filesystem::directory_iterator(folder, error)) {
    const std::string name = file.path().filename();
    if (name.ends_with(kTemporarySuffix)) {
      std::filesystem::remove(file.path(), error);
    } else if (name.starts_with(kSnapshotPrefix)) {
      snapshots.push_back(ParseNumber(folder, name, kSnapshotPrefix));
    } else if (name.starts_with(kSegmentPrefix)) {
      segments.push_back({.number = ParseNumber(folder, name, kSegmentPrefix)});
    }
    has_identity = has_identity || name == kIdentityName;
    has_hard_state = has_hard_state || name == kHardStateName;
  }
  if (error) throw StorageError(folder + ": read: " + error.message());
  std::sort(snapshots.begin(), snapshots.end());
  std::sort(segments.begin(), segments.end(),
            [](const Segment& a, const Segment& b) { return a.number < b.number; });
}

void FileStorage::Impl::LoadIdentity(ReplicaId new_id) {
  if (has_identity) {
    id = ReadFrameFile<std::string>(Path(kIdentityName));
    return;
  }
  if (has_hard_state || !snapshots.empty() || !segments.empty()) {
    throw StorageError(Path(kIdentityName) +
                       ": missing, but the folder contains data of a replica");
  }
  id = new_id.empty() ? RandomId() : std::move(new_id);
  ReplaceFile(folder, std::string(kIdentityName), EncodeFrame(Encode(id)));
}

void FileStorage::Impl::LoadState() {
  if (has_hard_state) {
    HardState state = ReadFrameFile<HardState>(Path(kHardStateName));
    stored.term = state.term;
    stored.voted_for = std::move(state.voted_for);
  }
  if (!snapshots.empty()) {
    stored.snapshot =
        ReadFrameFile<Snapshot>(Path(NumberedName(kSnapshotPrefix, snapshots.back())));
    snapshot_index = stored.snapshot->index;
  }
  DropSegmentsBeforeGap();
  for (std::size_t i = 0; i < segments.size(); ++i) {
    if (i > 0 && segments[i].number != segments[i - 1].number + 1) {
      throw StorageError(Path(NumberedName(kSegmentPrefix, segments[i - 1].number + 1)) +
                         ": missing");
    }
    ReplaySegment(segments[i], i + 1 == segments.size());
  }
  DropEntriesInSnapshot();
}

/// If there is a snapshot, removes the segments before the last gap in their numbers. Write()
/// removes the segments that a snapshot covers one by one, and a power loss can undo each removal
/// independently. Replay() checks that the entries after the last gap connect to the snapshot.
void FileStorage::Impl::DropSegmentsBeforeGap() {
  if (!stored.snapshot) return;
  std::size_t keep = 0;
  for (std::size_t i = 1; i < segments.size(); ++i) {
    if (segments[i].number != segments[i - 1].number + 1) keep = i;
  }
  std::error_code ignored;
  for (std::size_t i = 0; i < keep; ++i) {
    std::filesystem::remove(Path(NumberedName(kSegmentPrefix, segments[i].number)), ignored);
  }
  segments.erase(segments.begin(), segments.begin() + static_cast<std::ptrdiff_t>(keep));
}

void FileStorage::Impl::ReplaySegment(Segment& entry, bool is_last) {
  const std::string path = Path(NumberedName(kSegmentPrefix, entry.number));
  File file(path, O_RDWR);
  const std::string bytes = file.ReadAll();
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const auto payload = FrameAt(bytes, offset);
    if (!payload) {
      if (!is_last || !IsTornTail(bytes, offset)) ThrowDamaged(path, offset, "wrong checksum");
      file.Truncate(offset);
      file.Sync();
      break;
    }
    auto record = DecodePayload<LogRecord>(path, offset, *payload);
    if (!record.entries.empty()) {
      entry.max_index = std::max(entry.max_index, record.entries.back().index);
    }
    Replay(path, offset, std::move(record));
    offset += kFrameHeaderBytes + payload->size();
  }
  segment_bytes = offset;
}

void FileStorage::Impl::Replay(const std::string& path, std::size_t offset, LogRecord record) {
  std::vector<Entry>& log = stored.log;
  if (record.truncate_from != 0) {
    while (!log.empty() && log.back().index >= record.truncate_from) log.pop_back();
  }
  for (Entry& entry : record.entries) {
    const bool follows = !log.empty() && entry.index == log.back().index + 1;
    if (!follows) {
      // A snapshot may cover more entries than those that were written before it.
      if (entry.index > snapshot_index + 1) ThrowDamaged(path, offset, "gap before this entry");
      log.clear();
    }
    log.push_back(std::move(entry));
  }
}

void FileStorage::Impl::DropEntriesInSnapshot() {
  std::vector<Entry>& log = stored.log;
  if (log.empty() || !stored.snapshot) return;
  const auto at = std::find_if(log.begin(), log.end(),
                               [&](const Entry& entry) { return entry.index >= snapshot_index; });
  // The log conflicts with an installed snapshot if a crash came before the log was truncated.
  conflicts = at != log.end() && at->index == snapshot_index && at->term != stored.snapshot->term;
  if (conflicts) {
    log.clear();
  } else {
    std::erase_if(log, [&](const Entry& entry) { return entry.index <= snapshot_index; });
  }
}

/// Removes the oldest first, so that the remaining segments have no gaps. Keeps the last one.
void FileStorage::Impl::RemoveCoveredSegments() {
  std::error_code ignored;
  while (segments.size() > 1 && segments.front().max_index <= snapshot_index) {
    std::filesystem::remove(Path(NumberedName(kSegmentPrefix, segments.front().number)), ignored);
    segments.erase(segments.begin());
  }
}

void FileStorage::Impl::StartSegment() {
  const std::uint64_t number = segments.empty() ? 1 : segments.back().number + 1;
  segment.emplace(Path(NumberedName(kSegmentPrefix, number)),
                  O_WRONLY | O_CREAT | O_EXCL | O_APPEND);
  segment_bytes = 0;
  segments.push_back({.number = number});
  SyncFolder(folder);
}

void FileStorage::Impl::WriteSnapshot(const Snapshot& snapshot) {
  ReplaceFile(folder, NumberedName(kSnapshotPrefix, snapshot.index), EncodeFrame(Encode(snapshot)));
  std::error_code ignored;  // after a restart, the next snapshot removes files left here
  for (const std::uint64_t old : snapshots) {
    if (old != snapshot.index) {
      std::filesystem::remove(Path(NumberedName(kSnapshotPrefix, old)), ignored);
    }
  }
  snapshots = {snapshot.index};
  snapshot_index = snapshot.index;
}

void FileStorage::Impl::AppendRecord(const PersistBatch& batch) {
  LogRecord record{.truncate_from = batch.truncate_from.value_or(0), .entries = batch.append};
  const std::string frame = EncodeFrame(Encode(record));
  segment->Write(frame);
  segment->Sync();
  segment_bytes += frame.size();
  if (!batch.append.empty()) {
    segments.back().max_index = std::max(segments.back().max_index, batch.append.back().index);
  }
}

FileStorage::FileStorage(const std::string& folder, ReplicaId new_id)
    : impl_(std::make_unique<Impl>(folder, std::move(new_id))) {}

FileStorage::~FileStorage() = default;

const ReplicaId& FileStorage::replica_id() const { return impl_->id; }

StoredState FileStorage::TakeStored() { return std::exchange(impl_->stored, {}); }

void FileStorage::Write(const PersistBatch& batch) {
  Impl& impl = *impl_;
  if (batch.hard_state) {
    const HardState state{batch.hard_state->first, batch.hard_state->second};
    ReplaceFile(impl.folder, std::string(kHardStateName), EncodeFrame(Encode(state)));
  }
  if (batch.snapshot) impl.WriteSnapshot(*batch.snapshot);
  // If the rest of the batch does not fit on the disk, the earlier segments can still be removed.
  if (batch.snapshot && impl.segment_bytes > 0) impl.StartSegment();
  if (batch.truncate_from || !batch.append.empty()) impl.AppendRecord(batch);
  if (impl.segment_bytes >= kSegmentBytes) impl.StartSegment();
  if (batch.snapshot) impl.RemoveCoveredSegments();
}

}  // namespace godwitpaddle::replication
