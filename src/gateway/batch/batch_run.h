#pragma once

/** @file
 * The state of a job's items at its owner: which wait, run or are finished, and which comes next.
 * Pure; fed with what attempts did.
 */

#include <vector>

#include "common/ids.h"
#include "gateway/batch/batch_types.h"
#include "gateway/batch/partial_results.h"

namespace linenpier::batch {

using ItemIndex = std::size_t;

/** Rules of the route that a job runs under. */
struct run_rules {
  int max_failures = 3;         ///< Failed runs after which an item is given up.
  bool single_version = false;  ///< A text must come from one version.
  Instant terminate_at{};       ///< Items that are not finished then are given up.
};

enum class ItemState {
  kWaiting,
  kRunning,
  kTextComplete,  ///< All of its text is there; its score is not.
  kScoring,       ///< The same, and its reward request is under way.
  kFinished,
  kAppended,
};

/** Invariant: `text` holds exactly the data of events 1 to `last_event`, each once, made under
 * `versions`, none below the job's minimum. `score` is set only for a complete text, and a
 * completed item with a scorer has one.
 */
struct item_progress {
  ItemState state = ItemState::kWaiting;
  int attempts_running = 0;
  std::uint64_t last_event = 0;
  std::string text;
  /// Changes when the text is replaced; while it stays, the text only grows.
  std::uint32_t text_revision = 0;
  std::set<WeightVersion> versions;
  int failures = 0;
  std::string score;
  int score_failures = 0;
  int first_event_timeouts = 0;  ///< Runs in a row that were stopped since no event came.
  Instant not_before{};
  Instant last_progress{};
  EngineId last_engine;
  ResultState outcome = ResultState::kCompleted;
};

/** What became of an event that an attempt brought. */
enum class EventVerdict {
  kAccepted,
  kRejected,  ///< Not the next one, or of a version that does not fit: stop the attempt.
};

class batch_run {
 public:
  batch_run(batch_job job, run_rules rules);

  const batch_job& job() const { return this->job_; }
  const item_progress& progress(ItemIndex item) const { return this->progress_[item]; }
  void setRules(const run_rules& rules) { this->rules_ = rules; }

  /** An item that was appended before this daemon took the job over. */
  void onAlreadyAppended(ItemIndex item);

  /** Text that an earlier owner kept; taken if its versions fit and the item has less.
   * @return whether an attempt that runs is of no use any more: it must be stopped.
   */
  bool onCheckpoint(ItemIndex item, const item_checkpoint& kept);

  /** Groups that were handed in before are waited for in any case; what is kept of them is
   * gone on with if its versions fit.
   * @return the items whose running attempts must be stopped.
   */
  std::vector<ItemIndex> onPartialResults(const partial_results& reused);
  std::size_t reusedGroups() const;
  /** @return whether every group that the trainer waits for is complete. */
  bool stepComplete() const;
  /** @return whether readers should be shown at once what there is. */
  bool shouldPublishNow() const;
  /** @return bytes of the texts that are finished and not appended. */
  std::size_t finishedBytes() const;

  /** @return the waiting item that should start next, if any may start now. */
  std::optional<ItemIndex> nextToStart(Instant now) const;
  std::size_t waiting() const;
  std::size_t running() const;

  void onStarted(Instant now, ItemIndex item, const EngineId& engine);
  /** @param version that made the event. */
  EventVerdict onEvent(Instant now, ItemIndex item, std::uint64_t event, const std::string& data,
                       WeightVersion version);
  /** The attempt brought the item's end. The item is finished, or waits for its score. */
  void onCompleted(Instant now, ItemIndex item);

  /** @return a complete text whose reward request should be sent now, if any. */
  std::optional<ItemIndex> nextToScore(Instant now) const;
  void onScoringStarted(ItemIndex item);
  void onScored(ItemIndex item, std::string score);
  /** No score came.
   * @param failures answers to this request that said that scoring failed.
   * @param max_failures of all its requests after which the item is given up; 0: never.
   */
  void onNotScored(Instant now, ItemIndex item, int failures, int max_failures, Duration pause);
  std::size_t unscored() const;

  /** A run was stopped since it brought no event in time. */
  void onFirstEventTimeout(ItemIndex item) { ++this->progress_[item].first_event_timeouts; }
  /** The attempt ended without it; the item goes on from what it has. */
  void onInterrupted(Instant now, ItemIndex item, Duration pause);
  /** The item must not run before `until`, since engines crashed under it. */
  void holdUntil(ItemIndex item, Instant until) { this->progress_[item].not_before = until; }
  /** The engine ran the item and failed. */
  void onFailed(Instant now, ItemIndex item);
  /** The item can never be done. */
  void onRejected(ItemIndex item);
  /** The text so far cannot be gone on with, as on an engine of another version. */
  void discardText(ItemIndex item);
  /** Gives up what is too late. @return whether anything was. */
  bool terminateExpired(Instant now);
  void terminateUnfinished();

  /** @return finished items that are not appended, in the order in which they finished. */
  const std::vector<ItemIndex>& finished() const { return this->finished_; }
  batch_result result(ItemIndex item) const;
  /** The item stands at its position for good: its text is no longer needed. */
  void onAppended(ItemIndex item);
  bool allAppended() const { return this->appended_ == this->progress_.size(); }

 private:
  /** Invariant: `open` is the number of its items that are neither finished nor appended. */
  struct item_group {
    std::size_t open = 0;
    bool reused = false;  ///< An earlier job had it already.
  };

  void findGroups();
  void onTextComplete(ItemIndex item);
  std::size_t countIn(ItemState state) const;
  void orderItems();
  void onItemClosed(ItemIndex item) { --this->groups_[this->group_of_[item]].open; }
  void finish(ItemIndex item, ResultState outcome);

  batch_job job_;
  run_rules rules_;
  std::vector<item_progress> progress_;
  std::vector<item_group> groups_;
  std::vector<std::size_t> group_of_;  ///< Index into `groups_`, by item.
  std::vector<ItemIndex> order_;       ///< Most urgent first.
  std::vector<ItemIndex> finished_;    ///< Not appended yet.
  std::size_t appended_ = 0;
};

}  // namespace linenpier::batch
