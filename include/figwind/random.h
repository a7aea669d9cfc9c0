// Seeded random numbers: the only source of randomness in decision modules.

#pragma once

#include <cstdint>
#include <random>

namespace figwind {

/// Seeded generator with the same sequence on every machine. Uses only the
/// engine of the standard library, since its distributions differ between
/// implementations.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_{seed} {}

  /// 64 random bits.
  auto bits() -> std::uint64_t { return engine_(); }

  /// A number in [0, 1).
  auto uniform() -> double {
    return static_cast<double>(engine_() >> 11U) * 0x1.0p-53;
  }

  /// An index in [0, size); size must be positive.
  auto index(std::size_t size) -> std::size_t {
    return static_cast<std::size_t>(uniform() * static_cast<double>(size));
  }

  /// True with probability `p`.
  auto chance(double p) -> bool { return uniform() < p; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace figwind
