#include "daemon/intent/intent_row.h"

#include <nlohmann/json.hpp>

#include "daemon/config/documents.h"

namespace linenpier::intent {

using nlohmann::json;
using table::WriteOutcome;

namespace {

const char* stateName(IntentState state) {
  switch (state) {
    case IntentState::kDispatched:
      return "dispatched";
    case IntentState::kAbandoned:
      return "abandoned";
    case IntentState::kDone:
      return "done";
  }
  return "dispatched";
}

IntentState stateFrom(const std::string& name) {
  if (name == "abandoned") return IntentState::kAbandoned;
  if (name == "done") return IntentState::kDone;
  return IntentState::kDispatched;
}

IntentDecision decideConflict(const table::Row& row, const std::string& request_hash) {
  const auto intent = parseIntentRow(row.value);
  if (!intent) return {IntentVerdict::kElsewhere, row.revision, {}, false};
  if (intent->request_hash != request_hash) return {IntentVerdict::kKeyReused, 0, {}, false};
  switch (intent->state) {
    case IntentState::kAbandoned:
      return {IntentVerdict::kTakeOver, row.revision, {}, false};
    case IntentState::kDone:
      return {IntentVerdict::kReplay, row.revision, intent->answer, false};
    case IntentState::kDispatched:
      break;
  }
  return {IntentVerdict::kElsewhere, row.revision, {}, false};
}

}  // namespace

std::string toJson(const IntentRow& row) {
  return json{{"state", stateName(row.state)},
              {"attempt", row.attempt.str()},
              {"request_hash", row.request_hash},
              {"answer", row.answer}}
      .dump();
}

std::optional<IntentRow> parseIntentRow(const std::string& text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) return std::nullopt;
  IntentRow row;
  row.state = stateFrom(object.value("state", ""));
  row.attempt = AttemptId(object.value("attempt", ""));
  row.request_hash = object.value("request_hash", "");
  row.answer = object.value("answer", "");
  return row;
}

std::string intentRowKey(const TenantId& tenant, const std::string& key) {
  return "intent/" + tenant.str() + "/" + config::sha256Hex(key);
}

IntentDecision decideIntent(const table::WriteResult& result, const std::string& request_hash) {
  switch (result.outcome) {
    case WriteOutcome::kCommitted:
      return {IntentVerdict::kSend, result.revision, {}, false};
    case WriteOutcome::kConflict:
      if (result.conflicts.empty()) return {IntentVerdict::kElsewhere, 0, {}, false};
      return decideConflict(result.conflicts.front(), request_hash);
    case WriteOutcome::kNotWritten:
      return {IntentVerdict::kNotRun, 0, {}, false};
    case WriteOutcome::kUnknown:
      return {IntentVerdict::kNotRun, 0, {}, true};
  }
  return {};
}

}  // namespace linenpier::intent
