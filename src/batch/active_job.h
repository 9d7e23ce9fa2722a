#pragma once

/// @file
/// A job at its owner. Used by the batch service only.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "batch/batch_service.h"
#include "batch/listing_schedule.h"
#include "logging/event_log.h"

namespace linenpier::batch {

struct BatchService::Active {
  Active(boost::asio::io_context& loop, JobRecord job_record, BatchJob job, RunRules rules,
         Duration gather)
      : record(std::move(job_record)),
        run(std::move(job), rules),
        schedule(steadyNow(), gather),
        finished(loop),
        listed_changed(loop) {}

  static constexpr std::uint64_t kFewestEventsKept = 5;

  /// An append that was sent; it stays as it is until the store has settled it.
  struct Pending {
    std::size_t position = 0;
    std::vector<ItemIndex> items;
    std::vector<StoredResult> results;
  };

  JobRecord record;
  Revision fence = 0;  ///< Revision of the job's row under which this daemon owns it.
  BatchRun run;
  listing_schedule schedule;
  Instant accepted_at{};            ///< By this daemon's clock.
  std::vector<std::string> listed;  ///< Encoded, by position; all in the store.
  Pending pending;
  std::map<ItemIndex, std::shared_ptr<forward::EngineCall>> calls;    ///< By the item they run.
  std::map<ItemIndex, std::shared_ptr<http::Cancellation>> scorings;  ///< Reward requests.
  Signal finished;                ///< There is something to list, or the job stops.
  Signal listed_changed;          ///< `listed` has grown, or the job stops.
  std::uint64_t checkpoints = 0;  ///< Written under this fence, or tried.
  /// Fences and numbers of checkpoints whose objects may be in the store.
  std::vector<std::pair<Revision, std::uint64_t>> kept_checkpoints;
  std::uint64_t checkpoint_events = 0;  ///< Events of unfinished items at the last one.
  bool first_event_told = false;        ///< Lines that are written once a job and owner.
  bool whole_told = false;
  bool listed_told = false;
  bool stopped = false;
  Instant stopped_at{};

  /// @return the text of items that are not listed, as far as it is worth keeping.
  Checkpoint checkpoint() const {
    Checkpoint kept;
    for (ItemIndex item = 0; item < run.job().items.size(); ++item) {
      const ItemProgress& progress = run.progress(item);
      const bool finished = progress.state == ItemState::kFinished;
      const bool unscored =
          progress.state == ItemState::kWhole || progress.state == ItemState::kScoring;
      if (progress.state == ItemState::kListed) continue;
      if (finished && progress.outcome != ResultState::kCompleted) continue;
      const bool whole = finished || unscored;
      if (!whole && progress.last_event < kFewestEventsKept) continue;
      ItemCheckpoint text{item,  progress.last_event, progress.versions, progress.text,
                          whole, std::nullopt};
      if (!progress.score.empty()) {
        text.score = reward_score{run.job().items[item].scorer->id, progress.score};
      }
      kept.push_back(std::move(text));
    }
    return kept;
  }

  void noteFirstEvent() {
    if (first_event_told) return;
    first_event_told = true;
    logging::LogEvent("batch", "first_event").text("batch", record.id.str());
  }

  /// @param item that was finished last.
  void noteWhole(ItemIndex item) {
    if (whole_told || !run.stepWhole()) return;
    whole_told = true;
    logging::LogEvent("batch", "step_whole")
        .text("batch", record.id.str())
        .text("item", run.job().items[item].id.str())
        .text("engine", run.progress(item).last_engine.str())
        .number("events", static_cast<std::int64_t>(run.progress(item).last_event))
        .number("running", static_cast<std::int64_t>(run.running()))
        .number("waiting", static_cast<std::int64_t>(run.waiting()))
        .milliseconds("took_ms", steadyNow() - accepted_at);
  }

  void noteListed() {
    if (listed_told || !run.stepWhole() || !run.finished().empty()) return;
    listed_told = true;
    logging::LogEvent("batch", "step_listed")
        .text("batch", record.id.str())
        .number("results", static_cast<std::int64_t>(listed.size()))
        .milliseconds("took_ms", steadyNow() - accepted_at);
  }

  void stop(Instant now) {
    if (stopped) return;
    stopped = true;
    stopped_at = now;
    for (const auto& [item, call] : calls) call->abort();
    for (const auto& [item, cancellation] : scorings) cancellation->request();
    finished.notifyAll();
    listed_changed.notifyAll();
  }
};

}  // namespace linenpier::batch
