#pragma once

/// @file
/// Bounds retries to a share of the load, so that a struggling pool is not buried under them.

#include <algorithm>

namespace linenpier::admission {

/// A token bucket that requests fill and retries empty. Pure, one owner.
class RetryBudget {
 public:
  /// @param share retries allowed per request, such as 0.1.
  /// @param burst retries that may be saved up.
  RetryBudget(double share, double burst) : share_(share), burst_(burst), tokens_(burst) {}

  void onRequest() { tokens_ = std::min(burst_, tokens_ + share_); }
  /// @return whether a retry may be made; takes it from the budget.
  bool tryRetry() {
    if (tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

 private:
  double share_;
  double burst_;
  double tokens_;  ///< Retries that may be made now; 0 … burst_.
};

}  // namespace linenpier::admission
