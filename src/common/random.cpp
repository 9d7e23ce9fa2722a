#include "common/random.h"

#include <cstdio>

namespace linenpier {

std::string Random::hex16() {
  char buffer[17];
  std::snprintf(buffer, sizeof(buffer), "%016llx", static_cast<unsigned long long>(engine_()));
  return buffer;
}

std::uint64_t Random::seedFromSystem() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

}  // namespace linenpier
