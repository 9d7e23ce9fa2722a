#pragma once

/** @file
 * The load of one engine: what this daemon has in flight there, and what the engine last reported
 * of other daemons' requests. Pure; owned by the engine's `engine_state`.
 */

#include <cstdint>

#include "common/time.h"

namespace linenpier::engines {

/** What an engine reports of itself with an answer, in requests. */
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

struct load_options {
  Duration load_lifetime = std::chrono::milliseconds(1500);  ///< Until others' load is forgotten.
};

class engine_load {
 public:
  void onAttemptStarted() { ++this->in_flight_; }
  void onAttemptEnded();
  /** @param tokens memory that an attempt is expected to need; negative at its end. */
  void addExpectedTokens(double tokens);
  void onReport(Instant now, const load_report& report);
  /** The engine started again. Attempts at its earlier start are still in flight until their
   * connections end; the report of the earlier start holds no more.
   */
  void onRestarted();

  /** @return attempts of this daemon under way. */
  std::uint32_t inFlight() const { return this->in_flight_; }
  /** @return memory that those are expected to need. */
  double expectedTokens() const { return this->expected_tokens_; }
  /** @return requests of other daemons, as of the last report. */
  double others() const { return this->others_; }
  /** @return when the engine last reported; the start of time if it never did. */
  Instant reportedAt() const { return this->reported_at_; }
  /** @return requests at the engine; those of others count as long as their report is recent. */
  double total(Instant now, const load_options& options) const {
    const bool recent = now - this->reported_at_ < options.load_lifetime;
    return this->in_flight_ + (recent ? this->others_ : 0);
  }

 private:
  std::uint32_t in_flight_ = 0;
  double expected_tokens_ = 0;
  double others_ = 0;
  Instant reported_at_{};
};

}  // namespace linenpier::engines
