#ifndef GODWITPADDLE_REPLICATION_FILE_IO_H_
#define GODWITPADDLE_REPLICATION_FILE_IO_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace godwitpaddle::replication {

namespace detail {
/// For tests that inject failures: called before each system call that changes a file or a folder,
/// with the path, the action ("open", "write", "sync", "truncate", "rename") and the bytes to
/// write. A result other than 0 is the errno with which the call fails; a write then stops after
/// half of its bytes. Empty: no failures.
using FailCall =
    std::function<int(const std::string& path, std::string_view action, std::size_t bytes)>;
extern FailCall fail_call;
}  // namespace detail

/// An open file. All functions throw a StorageError that names the file if the system call fails.
class File {
 public:
  /// `flags` are those of open(2); O_CLOEXEC is added.
  File(std::string path, int flags);
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  ~File();

  const std::string& path() const { return path_; }
  void Write(std::string_view bytes);
  std::string ReadAll() const;
  void Truncate(std::size_t size);
  /// Makes the data and the size of the file durable.
  void Sync();
  /// Takes an exclusive lock. Returns false if another process holds it.
  bool TryLock();

 private:
  std::string path_;
  int fd_ = -1;
};

/// Makes the creation, renaming and removal of files in the folder durable.
void SyncFolder(const std::string& folder);

/// Replaces the content of a file atomically: after a crash it is either the old or the new one.
void ReplaceFile(const std::string& folder, const std::string& name, std::string_view bytes);

/// A frame is a header and a payload. The header consists of the length of the payload, the CRC of
/// the payload and the CRC of these two fields (32 bits each, little-endian). Because of its own
/// CRC, a damaged length is not mistaken for a truncated frame.
inline constexpr std::size_t kFrameHeaderBytes = 12;
/// Returns the frame with this payload.
std::string EncodeFrame(std::string_view payload);
/// Returns the payload of the frame at `offset`; nothing if the frame is damaged or truncated.
std::optional<std::string_view> FrameAt(std::string_view bytes, std::size_t offset);
/// Returns whether the bytes from `offset` to the end can be a torn write, that is, what a crash
/// left of a frame that was being written: truncated, or with a disk sector that is still zero. All
/// earlier frames were synced before this one was written, so no complete frame follows a torn one.
bool IsTornTail(std::string_view bytes, std::size_t offset);

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_FILE_IO_H_
