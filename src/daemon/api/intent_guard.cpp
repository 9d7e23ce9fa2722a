#include "daemon/api/intent_guard.h"

#include <thread>

#include "common/log.h"

namespace linenpier::api {

using intent::IntentRow;
using intent::IntentState;
using intent::IntentVerdict;

namespace {

constexpr int kWriteTries = 3;
constexpr int kFinishTries = 8;
constexpr int kAbandonTries = 100;
constexpr auto kPause = std::chrono::milliseconds(100);
constexpr auto kAbandonPause = std::chrono::milliseconds(500);

void pauseBetweenTries() {
  std::this_thread::sleep_for(kPause);
}

/// Turns whatever row carries our attempt into "abandoned"; one try.
/// @return whether no further try is needed.
bool tryAbandon(table::TableClient& table, const std::string& row_key, const AttemptId& attempt,
                const std::string& request_hash) {
  const auto row = table.read(row_key);
  if (!row) return false;
  const auto known = intent::parseIntentRow(row->value);
  const bool absent = row->revision == 0;
  const bool ours = known && known->attempt == attempt && known->state == IntentState::kDispatched;
  if (!absent && !ours) return true;
  const IntentRow abandoned{IntentState::kAbandoned, attempt, request_hash, {}};
  const auto answer = table.transact({{{row_key, row->revision}}, {{row_key, toJson(abandoned)}}});
  return answer && answer->committed;
}

}  // namespace

intent::IntentDecision IntentGuard::acquire(const std::string& row_key, const AttemptId& attempt,
                                            const std::string& request_hash) const {
  const IntentRow row{IntentState::kDispatched, attempt, request_hash, {}};
  Revision expected = 0;
  intent::IntentDecision decision;
  for (int turn = 0; turn < 2; ++turn) {
    const table::Transaction transaction{{{row_key, expected}}, {{row_key, toJson(row)}}};
    const auto written =
        table::writeSettled(*services_.table, transaction, attempt, kWriteTries, pauseBetweenTries);
    decision = intent::decideIntent(written, request_hash);
    if (decision.must_abandon) abandon(row_key, attempt, request_hash);
    if (decision.verdict != IntentVerdict::kTakeOver) return decision;
    expected = decision.revision;
  }
  // Others take the row over and over; this attempt holds nothing.
  decision.verdict = IntentVerdict::kElsewhere;
  return decision;
}

bool IntentGuard::finish(const std::string& row_key, Revision revision, const AttemptId& attempt,
                         const std::string& request_hash, const std::string& answer) const {
  const IntentRow row{IntentState::kDone, attempt, request_hash, answer};
  const auto written =
      table::writeSettled(*services_.table, {{{row_key, revision}}, {{row_key, toJson(row)}}},
                          attempt, kFinishTries, pauseBetweenTries);
  return written.outcome == table::WriteOutcome::kCommitted;
}

void IntentGuard::abandon(const std::string& row_key, const AttemptId& attempt,
                          const std::string& request_hash) const {
  background_.enqueue([table = services_.table, row_key, attempt, request_hash] {
    for (int tries = 0; tries < kAbandonTries; ++tries) {
      if (tryAbandon(*table, row_key, attempt, request_hash)) return;
      std::this_thread::sleep_for(kAbandonPause);
    }
    LINENPIER_LOG(warning, "intent") << "An unused intent could not be given back.";
  });
}

}  // namespace linenpier::api
