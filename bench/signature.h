#ifndef GODWITPADDLE_BENCH_SIGNATURE_H_
#define GODWITPADDLE_BENCH_SIGNATURE_H_

#include <cstdint>
#include <string_view>

namespace godwitpaddle::bench {

/// Incremental FNV-1a hash over scheduling decisions.
struct Signature {
  std::uint64_t value = 14695981039346656037ULL;
  void Add(std::uint64_t number) {
    for (int i = 0; i < 8; ++i) {
      value = (value ^ ((number >> (8 * i)) & 0xffU)) * 1099511628211ULL;
    }
  }
  void Add(std::string_view text) {
    for (const char c : text) value = (value ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    Add(text.size());
  }
};

}  // namespace godwitpaddle::bench

#endif  // GODWITPADDLE_BENCH_SIGNATURE_H_
