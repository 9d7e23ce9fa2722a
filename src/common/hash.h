#pragma once

/// @file
/// Non-cryptographic hashing through xxHash.

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace linenpier {

inline std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

struct hash128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const hash128&) const = default;
};

inline hash128 hashTo128(std::string_view text, std::uint64_t seed = 0) {
  const XXH128_hash_t hash = XXH3_128bits_withSeed(text.data(), text.size(), seed);
  return {hash.high64, hash.low64};
}

}  // namespace linenpier
