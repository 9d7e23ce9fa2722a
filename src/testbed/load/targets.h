#pragma once

/// @file
/// The daemons that a caller knows; it turns to the next one when one is gone.

#include <atomic>
#include <set>
#include <vector>

#include "common/address.h"

namespace linenpier::load {

/// Thread-safe.
class Targets {
 public:
  explicit Targets(std::vector<Address> addresses) : addresses_(std::move(addresses)) {}
  /// @return each daemon in turn.
  const Address& next() { return addresses_[turn_++ % addresses_.size()]; }
  /// @param failed daemons that gave no answer; avoided while there are others.
  const Address& nextBut(const std::set<Address>& failed) {
    for (std::size_t i = 0; i < addresses_.size(); ++i) {
      const Address& address = next();
      if (!failed.contains(address)) return address;
    }
    return next();
  }

 private:
  std::vector<Address> addresses_;
  std::atomic<std::size_t> turn_{0};
};

}  // namespace linenpier::load
