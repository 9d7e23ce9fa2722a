#pragma once

/// @file
/// The durable intent of a request that must run at most once.
///
/// Before such a request is sent, its row is created by a conditional write: whoever holds the row
/// in state "dispatched" under his own attempt id may send, once. A daemon that gives up without
/// having sent writes "abandoned", and only then may another attempt take the row over. A finished
/// request's row holds its answer, which is returned to every later caller with the same key.

#include <optional>
#include <string>

#include "common/ids.h"
#include "daemon/ports/conditional_write.h"

namespace linenpier::intent {

enum class IntentState { kDispatched, kAbandoned, kDone };

struct IntentRow {
  IntentState state = IntentState::kDispatched;
  AttemptId attempt;         ///< Whose intent it is.
  std::string request_hash;  ///< Of the body, so that a key is not reused for another request.
  std::string answer;        ///< The whole answer, when done.
};

std::string toJson(const IntentRow& row);
std::optional<IntentRow> parseIntentRow(const std::string& text);
/// @param key the caller's idempotency key; hashed, so that any text makes a valid row key.
std::string intentRowKey(const TenantId& tenant, const std::string& key);

/// What a daemon may do with a request, given how its write went.
enum class IntentVerdict {
  kSend,       ///< The right to send is ours.
  kTakeOver,   ///< The row was abandoned: try to take it at `revision`.
  kReplay,     ///< It already ran: return the stored answer.
  kElsewhere,  ///< Another attempt may be running or may have run: outcome unknown.
  kKeyReused,  ///< The key belongs to a different request.
  kNotRun,     ///< We have no right to send, and never will by this attempt.
};

struct IntentDecision {
  IntentVerdict verdict = IntentVerdict::kNotRun;
  Revision revision = 0;      ///< Of our row (kSend) or of the abandoned one (kTakeOver).
  std::string answer;         ///< For kReplay.
  bool must_abandon = false;  ///< Our row may exist although we will not send: write it off.
};

/// Pure decision on the result of trying to write our "dispatched" row.
IntentDecision decideIntent(const table::WriteResult& result, const std::string& request_hash);

}  // namespace linenpier::intent
