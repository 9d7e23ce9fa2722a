#pragma once

/// @file
/// Seeded random numbers, so that runs can be reproduced.

#include <cstdint>
#include <random>
#include <string>

namespace linenpier {

/// A seeded generator. Not thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// @return an integer in [0, bound); 0 if bound is 0.
  std::uint64_t below(std::uint64_t bound) {
    return bound == 0 ? 0 : std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
  }
  /// @return a real number in [0, 1).
  double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }
  /// @return 16 hexadecimal digits, for unique ids.
  std::string hex16();
  /// @return a seed from the operating system's entropy. Only for main functions.
  static std::uint64_t seedFromSystem();

  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace linenpier
