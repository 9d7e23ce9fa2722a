#pragma once

/// @file
/// Limit of the memory that message bodies may use together.

#include <cstddef>

namespace linenpier::http {

/// Counts the bytes of all bodies that are kept. Invariant: not above the limit, unless the limit
/// was lowered since.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t limit) : limit_(limit) {}

  void setLimit(std::size_t limit) { limit_ = limit; }
  /// @return false, without an effect, if the limit would be exceeded.
  bool reserve(std::size_t bytes) {
    if (used_ > limit_ || bytes > limit_ - used_) return false;
    used_ += bytes;
    return true;
  }
  void release(std::size_t bytes) { used_ -= bytes; }
  std::size_t used() const { return used_; }

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
};

}  // namespace linenpier::http
