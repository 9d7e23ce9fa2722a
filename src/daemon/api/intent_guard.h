#pragma once

/// @file
/// Obtains the right to run a not-repeatable request, and records how it ended.

#include "daemon/intent/intent_row.h"
#include "daemon/process/effect_runner.h"
#include "daemon/process/services.h"

namespace linenpier::api {

/// Blocking; safe from any thread.
class IntentGuard {
 public:
  IntentGuard(const daemon::Services& services, daemon::EffectRunner& background)
      : services_(services), background_(background) {}

  /// Writes the intent. Only kSend gives the right to send, exactly once.
  intent::IntentDecision acquire(const std::string& row_key, const AttemptId& attempt,
                                 const std::string& request_hash) const;
  /// Records the answer, so that later callers with the same key get it.
  /// @return false if it could not be recorded; the request then stays "outcome unknown" to others.
  bool finish(const std::string& row_key, Revision revision, const AttemptId& attempt,
              const std::string& request_hash, const std::string& answer) const;
  /// Gives the right back, in the background, after nothing was sent.
  void abandon(const std::string& row_key, const AttemptId& attempt,
               const std::string& request_hash) const;

 private:
  const daemon::Services& services_;
  daemon::EffectRunner& background_;
};

}  // namespace linenpier::api
