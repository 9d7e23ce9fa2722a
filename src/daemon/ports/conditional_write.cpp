#include "daemon/ports/conditional_write.h"

#include <algorithm>
#include <utility>

namespace linenpier::table {

ConditionalWrite::ConditionalWrite(AttemptId attempt, int max_tries)
    : attempt_(std::move(attempt)), tries_left_(max_tries) {}

WriteAction ConditionalWrite::onAnswer(const TransactionAnswer& answer) {
  if (answer.committed) {
    outcome_ = WriteOutcome::kCommitted;
    revision_ = answer.revision;
    return WriteAction::kDone;
  }
  const auto own = std::find_if(
      answer.conflicts.begin(), answer.conflicts.end(),
      [this](const Row& row) { return row.value.find(attempt_.str()) != std::string::npos; });
  if (own != answer.conflicts.end()) {
    outcome_ = WriteOutcome::kCommitted;
    revision_ = own->revision;
    return WriteAction::kDone;
  }
  outcome_ = WriteOutcome::kConflict;
  conflicts_ = answer.conflicts;
  return WriteAction::kDone;
}

WriteAction ConditionalWrite::onFailure(CallFailure failure) {
  if (!certainlyNotProcessed(failure)) possibly_applied_ = true;
  --tries_left_;
  if (tries_left_ > 0 && failure != CallFailure::kRejected) return WriteAction::kTransact;
  outcome_ = possibly_applied_ ? WriteOutcome::kUnknown : WriteOutcome::kNotWritten;
  return WriteAction::kDone;
}

}  // namespace linenpier::table
