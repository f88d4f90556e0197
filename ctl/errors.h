#ifndef GODWITPADDLE_CTL_ERRORS_H_
#define GODWITPADDLE_CTL_ERRORS_H_

#include <stdexcept>

namespace godwitpaddle::ctl {

inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1;      // refused by a daemon, not valid, or any other error
inline constexpr int kExitUsage = 2;        // wrong arguments or unreadable files
inline constexpr int kExitUnreachable = 3;  // no daemon answered

/// Error that ends the program with the given exit code, after its message is printed.
class CommandError : public std::runtime_error {
 public:
  CommandError(int exit_code, const std::string& message)
      : std::runtime_error(message), exit_code_(exit_code) {}
  int exit_code() const { return exit_code_; }

 private:
  int exit_code_;
};

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_ERRORS_H_
