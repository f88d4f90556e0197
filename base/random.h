#ifndef GODWITPADDLE_BASE_RANDOM_H_
#define GODWITPADDLE_BASE_RANDOM_H_

#include <cstdint>
#include <random>

namespace godwitpaddle {

/// Random number generator. Deterministic code takes it as an argument; its caller seeds it.
using Rng = std::mt19937_64;

/// Returns a uniform value in [0, bound). `bound` must be positive.
inline std::uint64_t UniformBelow(Rng& rng, std::uint64_t bound) { return rng() % bound; }

/// Returns a uniform value in [0, 1).
inline double UniformUnit(Rng& rng) { return static_cast<double>(rng() >> 11) * 0x1.0p-53; }

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_BASE_RANDOM_H_
