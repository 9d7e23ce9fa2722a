#pragma once

/// @file
/// The samples that this daemon makes for coordinators: started once, reported until acknowledged.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/time.h"
#include "daemon/rollout/step_types.h"

namespace linenpier::rollout {

struct WorkerOptions {
  Duration progress_period = std::chrono::milliseconds(500);
  Duration result_period = std::chrono::milliseconds(500);  ///< Between repeats of a result.
  Duration result_lifetime = std::chrono::seconds(60);      ///< Then the result is dropped.
  std::size_t capacity = 512;                               ///< Samples under way at most.
};

/// Pure state machine; one owner.
class SampleWorker {
 public:
  explicit SampleWorker(WorkerOptions options) : options_(options) {}

  enum class Acceptance { kStart, kAlreadyKnown, kFull };
  Acceptance onOrder(Instant now, const wire::SampleOrder& order);
  void onStreamProgress(const SampleKey& sample, std::uint32_t tokens, WeightVersion oldest);
  /// The sample is whole and stored, or was given up.
  void onFinished(Instant now, const wire::SampleResult& result);
  void onAck(const SampleKey& sample);
  /// @return the samples that are running and must be stopped.
  std::vector<SampleKey> onCancel(const wire::SampleCancel& cancel);

  struct Report {
    TenantId tenant;
    TrainerId trainer;
    wire::Message message;
  };
  /// @return progress and unacknowledged results that are due, by trainer.
  std::vector<Report> onTick(Instant now);

  std::size_t running() const;

 private:
  struct Entry {
    wire::SampleState state;
    std::optional<wire::SampleResult> result;  ///< Set when finished.
    Instant finished_at{};
    Instant next_result{};
  };
  WorkerOptions options_;
  std::map<SampleKey, Entry> entries_;  ///< Running samples and unacknowledged results.
  Instant next_progress_{};
};

}  // namespace linenpier::rollout
