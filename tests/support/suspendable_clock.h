#pragma once

/// @file
/// A clock that simulates suspensions of the machine. Test code.

#include "common/machine_clock.h"

namespace linenpier::test {

/// Replaces the machine's clock during its lifetime. The steady clock does not count suspensions.
class suspendable_clock : public clock_source {
 public:
  suspendable_clock() : start_(machine_clock::now()) { machine_clock::setSource(this); }
  ~suspendable_clock() override { machine_clock::setSource(nullptr); }
  suspendable_clock(const suspendable_clock&) = delete;
  suspendable_clock& operator=(const suspendable_clock&) = delete;

  void suspend(std::chrono::microseconds duration) { this->suspended_ += duration; }

  std::chrono::microseconds sinceStart() const override {
    const auto elapsed = std::chrono::steady_clock::now() - this->steady_start_;
    return this->start_.time_since_epoch() + this->suspended_ +
           std::chrono::duration_cast<std::chrono::microseconds>(elapsed);
  }
  std::chrono::microseconds suspended() const override { return this->suspended_; }

 private:
  machine_clock::time_point start_;
  std::chrono::steady_clock::time_point steady_start_ = std::chrono::steady_clock::now();
  std::chrono::microseconds suspended_{};
};

}  // namespace linenpier::test
