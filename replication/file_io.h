#ifndef GODWITPADDLE_REPLICATION_FILE_IO_H_
#define GODWITPADDLE_REPLICATION_FILE_IO_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace godwitpaddle::replication {

/// An open file. All functions throw StorageError that names the file.
class File {
 public:
  /// `flags` as for open(2); O_CLOEXEC is added.
  File(std::string path, int flags);
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  ~File();

  const std::string& path() const { return path_; }
  void Write(std::string_view bytes);
  std::string ReadAll() const;
  void Truncate(std::size_t size);
  /// Makes data and size durable.
  void Sync();
  /// False when another process holds the lock.
  bool TryLock();

 private:
  std::string path_;
  int fd_ = -1;
};

/// Makes created, renamed and removed names in the folder durable.
void SyncFolder(const std::string& folder);

/// Replaces the file so that a crash leaves the old content or the new one.
void ReplaceFile(const std::string& folder, const std::string& name, std::string_view bytes);

/// Frames are `length, CRC of the payload, CRC of these two` (32 bits each, little-endian), then
/// the payload. The header has a checksum of its own, so that a damaged length is not mistaken for
/// a frame cut short.
inline constexpr std::size_t kFrameHeaderBytes = 12;
std::string EncodeFrame(std::string_view payload);
/// The payload of the frame at `offset`; nothing when the frame is damaged or cut short.
std::optional<std::string_view> FrameAt(std::string_view bytes, std::size_t offset);
/// Whether the damage at `offset`, up to the end, can be what a crash leaves of a frame that was
/// being written: cut short, or with a disk sector that still is zero. All earlier frames were
/// synced before, so no whole frame follows a torn one.
bool IsTornTail(std::string_view bytes, std::size_t offset);

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_FILE_IO_H_
