#pragma once

/// @file
/// Steps in the table and in the object store: submit, read, commit, acknowledge.

#include <optional>
#include <string>
#include <vector>

#include "daemon/ports/conditional_write.h"
#include "daemon/ports/object_store_client.h"
#include "daemon/rollout/step_coordinator.h"

namespace linenpier::daemon {

enum class SubmitOutcome { kAccepted, kDifferent, kNotAccepted, kUnknown };
enum class CommitOutcome { kCommitted, kNotCommitted, kTooLate };

/// A step as stored.
struct StoredStep {
  rollout::StepRow row;
  std::optional<rollout::StepSpec> spec;
  std::vector<rollout::Sample> samples;  ///< Finished ones; several attempts of one may be there.
};

/// Blocking; safe from any thread.
class StepStore {
 public:
  StepStore(table::TableClientSharedPtr table, object_store::ObjectStoreClientSharedPtr objects)
      : table_(std::move(table)), objects_(std::move(objects)) {}

  /// Writes the step's specification and opens its row. Submitting the same again is accepted.
  SubmitOutcome submit(const rollout::StepSpec& spec, const AttemptId& attempt) const;
  /// @return the row alone; nothing inside if the step was never submitted.
  CallResult<std::optional<rollout::StepRow>> readRow(const rollout::StepKey& step) const;
  /// @return the row, and for an open step its specification and finished samples.
  CallResult<std::optional<StoredStep>> read(const rollout::StepKey& step) const;
  CallResult<void> putSample(const rollout::Sample& sample, const AttemptId& attempt) const;
  /// Commits a whole step. Inside the one transaction the step's row must still be open and the
  /// trainer's row must not have moved, so the staleness checked here is the one delivered.
  CommitOutcome commit(const rollout::CommitOrder& order, const AttemptId& attempt) const;
  /// @return the batch as JSON, as committed.
  CallResult<std::string> readBatch(const rollout::StepRow& row) const;
  /// Marks a committed step as received. @return false if it could not be marked.
  bool acknowledge(const rollout::StepKey& step, const AttemptId& attempt) const;
  /// Removes the step's objects.
  void removeObjects(const rollout::StepKey& step, const rollout::StepRow& row) const;

 private:
  table::TableClientSharedPtr table_;
  object_store::ObjectStoreClientSharedPtr objects_;
};

}  // namespace linenpier::daemon
