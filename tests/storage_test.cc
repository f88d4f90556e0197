#include "replication/storage.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

namespace godwitpaddle::replication {
namespace {

namespace fs = std::filesystem;
using Catch::Matchers::Contains;

/// A temporary folder that is removed at the end of the test.
struct TempFolder {
  TempFolder() {
    std::string pattern = (fs::temp_directory_path() / "storage_test.XXXXXX").string();
    path = mkdtemp(pattern.data());
  }
  ~TempFolder() { fs::remove_all(path); }
  std::string path;
};

std::string ReadBytes(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

void Overwrite(const fs::path& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

std::vector<Entry> MakeEntries(Index from, Index to, Term term = 1) {
  std::vector<Entry> entries;
  for (Index i = from; i <= to; ++i) {
    entries.push_back({term, i, EntryKind::kCommand, "command " + std::to_string(i)});
  }
  return entries;
}

std::vector<std::pair<Index, Term>> IndexesAndTerms(const StoredState& stored) {
  std::vector<std::pair<Index, Term>> shape;
  for (const Entry& entry : stored.log) shape.emplace_back(entry.index, entry.term);
  return shape;
}

Index LastIndex(const StoredState& stored) {
  return stored.log.empty() ? 0 : stored.log.back().index;
}

StoredState ReopenAndLoad(const std::string& folder) { return FileStorage(folder).TakeStored(); }

fs::path NewestSegment(const std::string& folder) {
  fs::path newest;
  for (const auto& file : fs::directory_iterator(folder)) {
    if (file.path().filename().string().starts_with("log-")) newest = std::max(newest, file.path());
  }
  return newest;
}

/// Message of the StorageError that opening the folder throws; empty if it opens.
std::string OpenError(const std::string& folder) {
  try {
    FileStorage storage(folder);
    return {};
  } catch (const StorageError& error) {
    return error.what();
  }
}

/// Limits the size of the files that this process writes, to simulate a full disk.
struct FileSizeLimit {
  explicit FileSizeLimit(rlim_t bytes) {
    old_handler = signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &old);
    const rlimit limit{bytes, old.rlim_max};
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FileSizeLimit() {
    setrlimit(RLIMIT_FSIZE, &old);
    signal(SIGXFSZ, old_handler);
  }
  rlimit old{};
  sighandler_t old_handler = nullptr;
};

}  // namespace

TEST_CASE("a data folder keeps the batches that were written", "[storage]") {
  const TempFolder folder;
  std::optional<FileStorage> storage(std::in_place, folder.path);
  const ReplicaId id = storage->replica_id();
  CHECK(id.size() == 32);
  CHECK(storage->TakeStored().log.empty());
  storage->Write({.token = 1, .hard_state = {{3, "someone"}}, .append = MakeEntries(1, 5)});
  storage->Write({.token = 2, .truncate_from = 4, .append = MakeEntries(4, 6, 2)});

  SECTION("a second process cannot open it") {
    // Guards against two processes that act as the same replica.
    CHECK_THAT(OpenError(folder.path), Contains("in use"));
  }

  SECTION("it opens again with the same identity, vote and log") {
    storage.reset();
    FileStorage again(folder.path);
    CHECK(again.replica_id() == id);
    const StoredState stored = again.TakeStored();
    CHECK(stored.term == 3);
    CHECK(stored.voted_for == "someone");
    CHECK(IndexesAndTerms(stored) ==
          std::vector<std::pair<Index, Term>>{{1, 1}, {2, 1}, {3, 1}, {4, 2}, {5, 2}, {6, 2}});
  }

  SECTION("a snapshot replaces the entries before it and frees their files") {
    storage->Write({.token = 3,
                    .snapshot = Snapshot{.index = 6, .term = 2, .state = "six"},
                    .append = MakeEntries(7, 8, 2)});
    storage->Write({.token = 4, .append = MakeEntries(9, 9, 2)});
    storage->Write({.token = 5, .snapshot = Snapshot{.index = 8, .term = 2, .state = "eight"}});
    storage.reset();
    const StoredState stored = ReopenAndLoad(folder.path);
    REQUIRE(stored.snapshot);
    CHECK(stored.snapshot->state == "eight");
    CHECK(IndexesAndTerms(stored) == std::vector<std::pair<Index, Term>>{{9, 2}});
    CHECK(std::distance(fs::directory_iterator(folder.path), {}) ==
          6);  // lock, identity, hard state, 1 snapshot, 2 segments
  }

  SECTION("a snapshot may cover entries that were not written") {
    // Guards against an error at the start after a leader made a snapshot that covers entries which
    // only the followers had written to disk.
    storage->Write({.token = 3, .snapshot = Snapshot{.index = 20, .term = 2}});
    storage->Write({.token = 4, .append = MakeEntries(21, 22, 2)});
    storage.reset();
    CHECK(IndexesAndTerms(ReopenAndLoad(folder.path)) ==
          std::vector<std::pair<Index, Term>>{{21, 2}, {22, 2}});
  }

  SECTION("a log that conflicts with an installed snapshot is dropped after a crash") {
    // Guards against entries after the snapshot that do not belong to its history. They remain if
    // the process crashes after the snapshot is written and before the log is truncated.
    storage->Write({.token = 3, .snapshot = Snapshot{.index = 5, .term = 9}});
    storage.reset();
    CHECK(ReopenAndLoad(folder.path).log.empty());
  }

  SECTION("the error names a file with an invalid segment name") {
    storage.reset();
    Overwrite(folder.path + "/log-copy", "");
    CHECK_THAT(OpenError(folder.path), Contains("log-copy"));
  }

  SECTION("a folder without its identity file does not become a new replica") {
    storage.reset();
    fs::remove(folder.path + "/identity");
    CHECK_THAT(OpenError(folder.path), Contains("identity"));
  }
}

TEST_CASE("a torn write is cut off at any byte", "[storage]") {
  // Guards against a start that fails, or that loads part of a batch, after a crash during a write.
  const TempFolder folder;
  std::size_t synced = 0;
  fs::path segment;
  {
    FileStorage storage(folder.path);
    storage.Write({.token = 1, .append = MakeEntries(1, 3)});
    segment = NewestSegment(folder.path);
    synced = fs::file_size(segment);
    storage.Write({.token = 2, .append = MakeEntries(4, 60)});
  }
  const std::string whole = ReadBytes(segment);
  for (std::size_t size = synced; size < whole.size(); ++size) {
    Overwrite(segment, whole.substr(0, size));
    CHECK(LastIndex(ReopenAndLoad(folder.path)) == 3);
    if (size % 64 != 0) continue;
    // Sectors that were not written before the crash read as zeros.
    Overwrite(segment, whole.substr(0, size) + std::string(whole.size() - size, '\0'));
    const std::string error = OpenError(folder.path);
    if (!error.empty()) {
      // A disk writes whole sectors, so zeros from within a sector are damage, unless it is the
      // last sector.
      CHECK(size % 512 != 0);
    } else {
      CHECK(LastIndex(ReopenAndLoad(folder.path)) == 3);
    }
  }
  Overwrite(segment, whole.substr(0, synced + 5));
  FileStorage storage(folder.path);
  storage.Write({.token = 1, .append = MakeEntries(4, 5)});
  CHECK(fs::file_size(segment) > synced);
}

TEST_CASE("a damaged byte makes opening fail", "[storage]") {
  // Guards against a voter that starts with votes or entries lost or changed that it acknowledged.
  const TempFolder folder;
  {
    FileStorage storage(folder.path);
    storage.Write({.token = 1, .hard_state = {{3, "someone"}}, .append = MakeEntries(1, 3)});
    storage.Write({.token = 2, .snapshot = Snapshot{.index = 2, .term = 1, .state = "two"}});
    storage.Write({.token = 3, .append = MakeEntries(4, 6)});
    storage.Write({.token = 4, .append = MakeEntries(7, 9)});
  }
  for (const auto& file : fs::directory_iterator(folder.path)) {
    const std::string whole = ReadBytes(file.path());
    for (std::size_t i = 0; i < whole.size(); ++i) {
      std::string bytes = whole;
      bytes[i] = static_cast<char>(bytes[i] ^ 0x41);
      Overwrite(file.path(), bytes);
      const std::string error = OpenError(folder.path);
      INFO(file.path() << " byte " << i);
      CHECK_THAT(error, Contains(file.path().filename().string() + ": damaged at offset "));
    }
    Overwrite(file.path(), whole);
  }
  CHECK(LastIndex(ReopenAndLoad(folder.path)) == 9);
}

TEST_CASE("a full disk gives an error that names the file and the cause", "[storage]") {
  // Guards against an acknowledgement of a batch that did not fit on the disk.
  const TempFolder folder;
  {
    FileStorage storage(folder.path);
    storage.Write({.token = 1, .append = MakeEntries(1, 3)});
    const FileSizeLimit limit(400);
    try {
      storage.Write({.token = 2, .append = MakeEntries(4, 100)});
      FAIL("the write succeeded");
    } catch (const StorageError& error) {
      CHECK_THAT(error.what(), Contains("log-") && Contains("write: File too large"));
    }
  }
  CHECK(LastIndex(ReopenAndLoad(folder.path)) == 3);
}

}  // namespace godwitpaddle::replication
