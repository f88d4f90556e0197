#include "replication/file_io.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <system_error>
#include <utility>

#include "replication/storage.h"

namespace godwitpaddle::replication {

detail::FailCall detail::fail_call;

namespace {

constexpr std::size_t kSectorBytes = 512;

[[noreturn]] void Fail(const std::string& path, const char* action) {
  throw StorageError(path + ": " + action + ": " + std::generic_category().message(errno));
}

/// Returns whether a test lets this call fail; sets errno.
bool IsInjected(const std::string& path, std::string_view action, std::size_t bytes = 0) {
  const int error = detail::fail_call ? detail::fail_call(path, action, bytes) : 0;
  if (error != 0) errno = error;
  return error != 0;
}

std::uint32_t Checksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void PutU32(std::string& out, std::uint32_t value) {
  for (int shift = 0; shift < 32; shift += 8) out.push_back(static_cast<char>(value >> shift));
}

std::uint32_t GetU32(std::string_view bytes) {
  std::uint32_t value = 0;
  for (int i = 3; i >= 0; --i) value = value << 8 | static_cast<unsigned char>(bytes[i]);
  return value;
}

/// The length of the payload; nothing if the header is damaged or truncated.
std::optional<std::size_t> FrameLength(std::string_view bytes, std::size_t offset) {
  if (offset + kFrameHeaderBytes > bytes.size()) return std::nullopt;
  const std::string_view header = bytes.substr(offset, kFrameHeaderBytes);
  if (Checksum(header.substr(0, 8)) != GetU32(header.substr(8))) return std::nullopt;
  return GetU32(header);
}

bool IsZero(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](char c) { return c == 0; });
}

/// The bytes from `offset` to the end of its disk sector.
std::string_view SectorPart(std::string_view bytes, std::size_t offset) {
  return bytes.substr(offset, kSectorBytes - offset % kSectorBytes);
}

bool HasZeroSector(std::string_view bytes, std::size_t offset) {
  for (; offset < bytes.size(); offset += SectorPart(bytes, offset).size()) {
    if (IsZero(SectorPart(bytes, offset))) return true;
  }
  return false;
}

}  // namespace

File::File(std::string path, int flags) : path_(std::move(path)) {
  if ((flags & O_CREAT) != 0 && IsInjected(path_, "open")) Fail(path_, "open");
  fd_ = open(path_.c_str(), flags | O_CLOEXEC, 0600);
  if (fd_ < 0) Fail(path_, "open");
}

File::File(File&& other) noexcept
    : path_(std::move(other.path_)), fd_(std::exchange(other.fd_, -1)) {}

File& File::operator=(File&& other) noexcept {
  std::swap(path_, other.path_);
  std::swap(fd_, other.fd_);
  return *this;
}

File::~File() {
  if (fd_ >= 0) close(fd_);
}

void File::Write(std::string_view bytes) {
  if (IsInjected(path_, "write", bytes.size())) {
    const int error = errno;
    [[maybe_unused]] const ssize_t half = write(fd_, bytes.data(), bytes.size() / 2);
    errno = error;
    Fail(path_, "write");
  }
  while (!bytes.empty()) {
    const ssize_t written = write(fd_, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) Fail(path_, "write");
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
}

std::string File::ReadAll() const {
  struct stat info {};
  if (fstat(fd_, &info) != 0) Fail(path_, "stat");
  std::string bytes(static_cast<std::size_t>(info.st_size), '\0');
  std::size_t size = 0;
  while (size < bytes.size()) {
    const ssize_t got =
        pread(fd_, bytes.data() + size, bytes.size() - size, static_cast<off_t>(size));
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) Fail(path_, "read");
    if (got == 0) break;
    size += static_cast<std::size_t>(got);
  }
  bytes.resize(size);
  return bytes;
}

void File::Truncate(std::size_t size) {
  if (IsInjected(path_, "truncate") || ftruncate(fd_, static_cast<off_t>(size)) != 0) {
    Fail(path_, "truncate");
  }
}

void File::Sync() {
  if (IsInjected(path_, "sync") || fdatasync(fd_) != 0) Fail(path_, "sync");
}

bool File::TryLock() {
  if (flock(fd_, LOCK_EX | LOCK_NB) == 0) return true;
  if (errno != EWOULDBLOCK) Fail(path_, "lock");
  return false;
}

void SyncFolder(const std::string& folder) {
  if (IsInjected(folder, "sync")) Fail(folder, "sync");
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) Fail(folder, "open");
  const int result = fsync(fd);
  const int error = errno;
  close(fd);
  errno = error;
  if (result != 0) Fail(folder, "sync");
}

void ReplaceFile(const std::string& folder, const std::string& name, std::string_view bytes) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + ".tmp";
  File file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
  file.Write(bytes);
  file.Sync();
  if (IsInjected(path, "rename") || rename(temporary.c_str(), path.c_str()) != 0) {
    Fail(path, "rename");
  }
  SyncFolder(folder);
}

std::string EncodeFrame(std::string_view payload) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  PutU32(frame, static_cast<std::uint32_t>(payload.size()));
  PutU32(frame, Checksum(payload));
  PutU32(frame, Checksum(frame));
  frame.append(payload);
  return frame;
}

std::optional<std::string_view> FrameAt(std::string_view bytes, std::size_t offset) {
  const auto length = FrameLength(bytes, offset);
  if (!length || offset + kFrameHeaderBytes + *length > bytes.size()) return std::nullopt;
  const std::string_view payload = bytes.substr(offset + kFrameHeaderBytes, *length);
  if (Checksum(payload) != GetU32(bytes.substr(offset + 4))) return std::nullopt;
  return payload;
}

bool IsTornTail(std::string_view bytes, std::size_t offset) {
  if (const auto length = FrameLength(bytes, offset)) {
    const std::size_t end = offset + kFrameHeaderBytes + *length;
    return end > bytes.size() || (end == bytes.size() && HasZeroSector(bytes, offset));
  }
  const std::size_t boundary = offset + SectorPart(bytes, offset).size();
  const bool header_crosses = boundary < offset + kFrameHeaderBytes;
  const bool unwritten =
      IsZero(SectorPart(bytes, offset)) ||
      (header_crosses && boundary < bytes.size() && IsZero(SectorPart(bytes, boundary)));
  if (offset + kFrameHeaderBytes <= bytes.size() && !unwritten) return false;
  for (std::size_t later = offset + 1; later < bytes.size(); ++later) {
    if (FrameAt(bytes, later)) return false;
  }
  return true;
}

}  // namespace godwitpaddle::replication
