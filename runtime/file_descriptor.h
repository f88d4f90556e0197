#ifndef GODWITPADDLE_RUNTIME_FILE_DESCRIPTOR_H_
#define GODWITPADDLE_RUNTIME_FILE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace godwitpaddle {

/// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  ~FileDescriptor() { Reset(); }
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      Reset();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }

  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  void Reset() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  int fd_ = -1;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_FILE_DESCRIPTOR_H_
