#pragma once

/// @file
/// The daemons that a caller knows; it turns to the next one when one is gone.

#include <atomic>
#include <vector>

#include "common/address.h"

namespace linenpier::load {

/// Thread-safe.
class Targets {
 public:
  explicit Targets(std::vector<Address> addresses) : addresses_(std::move(addresses)) {}
  /// @return each daemon in turn.
  const Address& next() { return addresses_[turn_++ % addresses_.size()]; }
  std::size_t size() const { return addresses_.size(); }

 private:
  std::vector<Address> addresses_;
  std::atomic<std::size_t> turn_{0};
};

}  // namespace linenpier::load
