#pragma once

/** @file
 * Load of one engine: requests of this daemon in flight, and requests of other daemons as last
 * reported by the engine. Does no I/O.
 */

#include <cstdint>

#include "common/time.h"

namespace linenpier::engines {

/** Load that an engine reports with a response, in requests. */
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

struct load_options {
  Duration load_lifetime = std::chrono::milliseconds(1500);  ///< How long a load report is valid.
};

class engine_load {
 public:
  void onAttemptStarted() { ++this->in_flight_; }
  void onAttemptEnded();
  /** @param tokens memory that an attempt is expected to need; negative when it ends. */
  void addExpectedTokens(double tokens);
  void onReport(Instant now, const load_report& report);
  /** Discards the last load report after a restart of the engine. Attempts from before the restart
   * stay in flight until their connections close.
   */
  void onRestarted();

  /** @return the number of attempts of this daemon in flight. */
  std::uint32_t inFlight() const { return this->in_flight_; }
  /** @return memory that the attempts in flight are expected to need, in tokens. */
  double expectedTokens() const { return this->expected_tokens_; }
  /** @return the number of requests of other daemons in the last load report. */
  double otherRequests() const { return this->other_requests_; }
  /** @return the time of the last load report; the epoch without a report. */
  Instant reportedAt() const { return this->reported_at_; }
  /** @return the number of requests at the engine, including those of other daemons while the last
   * load report is valid. */
  double total(Instant now, const load_options& options) const {
    const bool recent = now - this->reported_at_ < options.load_lifetime;
    return this->in_flight_ + (recent ? this->other_requests_ : 0);
  }

 private:
  std::uint32_t in_flight_ = 0;
  double expected_tokens_ = 0;
  double other_requests_ = 0;
  Instant reported_at_{};
};

}  // namespace linenpier::engines
