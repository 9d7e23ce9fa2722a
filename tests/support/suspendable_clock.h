#pragma once

/// @file
/// The machine's clock as it is after suspensions that a test makes up. Test code.

#include "common/machine_clock.h"

namespace linenpier::test {

/// In place of the machine's clock while it lives. The steady clock does not count what it skips.
class suspendable_clock : public clock_source {
 public:
  suspendable_clock() : begin_(machine_clock::now()) { machine_clock::setSource(this); }
  ~suspendable_clock() override { machine_clock::setSource(nullptr); }
  suspendable_clock(const suspendable_clock&) = delete;
  suspendable_clock& operator=(const suspendable_clock&) = delete;

  void suspend(std::chrono::microseconds length) { this->suspended_ += length; }

  std::chrono::microseconds sinceStart() const override {
    const auto awake = std::chrono::steady_clock::now() - this->begun_;
    return this->begin_.time_since_epoch() + this->suspended_ +
           std::chrono::duration_cast<std::chrono::microseconds>(awake);
  }
  std::chrono::microseconds suspended() const override { return this->suspended_; }

 private:
  machine_clock::time_point begin_;
  std::chrono::steady_clock::time_point begun_ = std::chrono::steady_clock::now();
  std::chrono::microseconds suspended_{};
};

}  // namespace linenpier::test
