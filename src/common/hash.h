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

}  // namespace linenpier
