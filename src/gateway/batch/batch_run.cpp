#include "gateway/batch/batch_run.h"

#include <algorithm>
#include <map>

namespace linenpier::batch {

batch_run::batch_run(batch_job job, run_rules rules)
    : job_(std::move(job)), rules_(rules), progress_(job_.items.size()) {
  this->findGroups();
  this->orderItems();
}

void batch_run::findGroups() {
  std::map<GroupId, std::size_t> known;
  this->group_of_.reserve(this->job_.items.size());
  for (const batch_item& item : this->job_.items) {
    const auto [at, fresh] = known.try_emplace(item.group, this->groups_.size());
    if (fresh) this->groups_.emplace_back();
    ++this->groups_[at->second].open;
    this->group_of_.push_back(at->second);
  }
}

/** Orders items by priority: reused groups first, since the step always waits for them; then the
 * longest items first, since they determine when the step ends.
 */
void batch_run::orderItems() {
  this->order_.resize(this->job_.items.size());
  for (ItemIndex item = 0; item < this->order_.size(); ++item) this->order_[item] = item;
  std::stable_sort(this->order_.begin(), this->order_.end(), [&](ItemIndex one, ItemIndex other) {
    const bool one_reused = this->groups_[this->group_of_[one]].reused;
    const bool other_reused = this->groups_[this->group_of_[other]].reused;
    if (one_reused != other_reused) return one_reused;
    return this->job_.items[one].length_hint > this->job_.items[other].length_hint;
  });
}

std::vector<ItemIndex> batch_run::onPartialResults(const partial_results& reused) {
  std::vector<ItemIndex> obsolete;
  for (ItemIndex item = 0; item < this->job_.items.size(); ++item) {
    if (!reused.contains(this->job_.items[item].id)) continue;
    this->groups_[this->group_of_[item]].reused = true;
    const item_checkpoint* checkpoint = reused.textOf(this->job_.items[item].id);
    if (checkpoint != nullptr && this->onCheckpoint(item, *checkpoint)) obsolete.push_back(item);
  }
  if (this->reusedGroups() > 0) this->orderItems();
  return obsolete;
}

std::size_t batch_run::reusedGroups() const {
  return static_cast<std::size_t>(
      std::count_if(this->groups_.begin(), this->groups_.end(),
                    [](const item_group& each) { return each.reused; }));
}

bool batch_run::stepComplete() const {
  std::size_t complete = 0;
  for (const item_group& group : this->groups_) {
    if (group.open == 0) ++complete;
    if (group.open > 0 && group.reused) return false;
  }
  const std::size_t wanted =
      this->job_.desired_groups == 0 ? this->groups_.size() : this->job_.desired_groups;
  return complete >= std::min(wanted, this->groups_.size());
}

bool batch_run::shouldPublishNow() const {
  if (this->job_.desired_groups == 0 || this->stepComplete() || allAppended()) return true;
  return std::any_of(this->finished_.begin(), this->finished_.end(), [this](ItemIndex item) {
    return this->progress_[item].outcome == ResultState::kTerminated;
  });
}

std::size_t batch_run::finishedBytes() const {
  std::size_t bytes = 0;
  for (const ItemIndex item : this->finished_) bytes += this->progress_[item].text.size();
  return bytes;
}

void batch_run::onAlreadyAppended(ItemIndex item) {
  if (this->progress_[item].state == ItemState::kAppended) return;
  this->progress_[item].state = ItemState::kAppended;
  onItemClosed(item);
  ++this->appended_;
}

bool batch_run::onCheckpoint(ItemIndex item, const item_checkpoint& checkpoint) {
  item_progress& progress = this->progress_[item];
  const bool open = progress.state == ItemState::kWaiting || progress.state == ItemState::kRunning;
  if (!open || checkpoint.last_event <= progress.last_event || checkpoint.versions.empty())
    return false;
  if (*checkpoint.versions.begin() < this->job_.minimum_version) return false;
  if (this->rules_.single_version && checkpoint.versions.size() > 1) return false;
  const bool running = progress.state == ItemState::kRunning;
  progress.last_event = checkpoint.last_event;
  progress.versions = checkpoint.versions;
  progress.text = checkpoint.text;
  ++progress.text_revision;
  const std::optional<reward_request>& scorer = this->job_.items[item].scorer;
  const bool score_fits = checkpoint.score && scorer && checkpoint.score->request_id == scorer->id;
  if (checkpoint.finished && score_fits) progress.score = checkpoint.score->signature;
  if (checkpoint.finished) this->onTextComplete(item);
  return running;
}

std::optional<ItemIndex> batch_run::nextToStart(Instant now) const {
  for (const ItemIndex item : this->order_) {
    const item_progress& progress = this->progress_[item];
    if (progress.state == ItemState::kWaiting && now >= progress.not_before) return item;
  }
  return std::nullopt;
}

std::size_t batch_run::countIn(ItemState state) const {
  return static_cast<std::size_t>(
      std::count_if(this->progress_.begin(), this->progress_.end(),
                    [state](const item_progress& each) { return each.state == state; }));
}

std::size_t batch_run::waiting() const {
  return this->countIn(ItemState::kWaiting);
}

std::size_t batch_run::running() const {
  return this->countIn(ItemState::kRunning);
}

std::size_t batch_run::unscored() const {
  return this->countIn(ItemState::kTextComplete) + this->countIn(ItemState::kScoring);
}

void batch_run::onStarted(Instant now, ItemIndex item, const EngineId& engine) {
  item_progress& progress = this->progress_[item];
  progress.state = ItemState::kRunning;
  ++progress.attempts_running;
  progress.last_engine = engine;
  progress.last_progress = now;
}

EventVerdict batch_run::onEvent(Instant now, ItemIndex item, std::uint64_t event,
                                const std::string& data, WeightVersion version) {
  item_progress& progress = this->progress_[item];
  if (progress.state != ItemState::kRunning) return EventVerdict::kRejected;
  if (event != progress.last_event + 1) return EventVerdict::kRejected;
  if (version < this->job_.minimum_version) return EventVerdict::kRejected;
  if (this->rules_.single_version && !progress.versions.empty() &&
      !progress.versions.contains(version)) {
    return EventVerdict::kRejected;
  }
  if (event > 1) progress.text.push_back('\n');
  progress.text += data;
  progress.last_event = event;
  progress.versions.insert(version);
  progress.last_progress = now;
  progress.first_event_timeouts = 0;
  return EventVerdict::kAccepted;
}

void batch_run::finish(ItemIndex item, ResultState outcome) {
  item_progress& progress = this->progress_[item];
  if (progress.state == ItemState::kFinished || progress.state == ItemState::kAppended) return;
  progress.state = ItemState::kFinished;
  progress.outcome = outcome;
  onItemClosed(item);
  this->finished_.push_back(item);
}

void batch_run::onCompleted(Instant now, ItemIndex item) {
  this->progress_[item].last_progress = now;
  --this->progress_[item].attempts_running;
  this->onTextComplete(item);
}

void batch_run::onTextComplete(ItemIndex item) {
  item_progress& progress = this->progress_[item];
  const bool open = progress.state == ItemState::kWaiting || progress.state == ItemState::kRunning;
  if (!open) return;
  if (!this->job_.items[item].scorer || !progress.score.empty()) {
    this->finish(item, ResultState::kCompleted);
    return;
  }
  progress.state = ItemState::kTextComplete;
  progress.not_before = Instant{};
}

std::optional<ItemIndex> batch_run::nextToScore(Instant now) const {
  for (const ItemIndex item : this->order_) {
    const item_progress& progress = this->progress_[item];
    if (progress.state == ItemState::kTextComplete && now >= progress.not_before) return item;
  }
  return std::nullopt;
}

void batch_run::onScoringStarted(ItemIndex item) {
  this->progress_[item].state = ItemState::kScoring;
}

void batch_run::onScored(ItemIndex item, std::string score) {
  item_progress& progress = this->progress_[item];
  if (progress.state != ItemState::kScoring) return;
  progress.score = std::move(score);
  this->finish(item, ResultState::kCompleted);
}

void batch_run::onNotScored(Instant now, ItemIndex item, int failures, int max_failures,
                            Duration pause) {
  item_progress& progress = this->progress_[item];
  if (progress.state != ItemState::kScoring) return;
  progress.score_failures += failures;
  if (max_failures > 0 && progress.score_failures >= max_failures) {
    this->finish(item, ResultState::kTerminated);
    return;
  }
  progress.state = ItemState::kTextComplete;
  progress.not_before = now + pause;
}

void batch_run::onInterrupted(Instant now, ItemIndex item, Duration pause) {
  item_progress& progress = this->progress_[item];
  --progress.attempts_running;
  if (progress.state != ItemState::kRunning || progress.attempts_running > 0) return;
  progress.state = ItemState::kWaiting;
  progress.not_before = now + pause;
}

Duration batch_run::onEngineCrashed(Instant now, ItemIndex item, Duration ran,
                                    const crash_delays& delays) {
  item_progress& progress = this->progress_[item];
  if (ran > delays.max_run_before_crash) {
    progress.engine_crashes = 0;
    return Duration::zero();
  }
  ++progress.engine_crashes;
  const Duration delay = delays.after(progress.engine_crashes);
  progress.not_before = std::max(progress.not_before, now + delay);
  return delay;
}

void batch_run::onFailed(Instant now, ItemIndex item) {
  constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(100);
  item_progress& progress = this->progress_[item];
  ++progress.failures;
  if (progress.failures >= this->rules_.max_failures) {
    --progress.attempts_running;
    this->finish(item, ResultState::kTerminated);
    return;
  }
  this->onInterrupted(now, item, kPauseAfterFailure);
}

void batch_run::onRejected(ItemIndex item) {
  --this->progress_[item].attempts_running;
  this->finish(item, ResultState::kTerminated);
}

void batch_run::discardText(ItemIndex item) {
  item_progress& progress = this->progress_[item];
  if (progress.state != ItemState::kWaiting && progress.state != ItemState::kRunning) return;
  progress.text.clear();
  ++progress.text_revision;
  progress.versions.clear();
  progress.last_event = 0;
}

bool batch_run::terminateExpired(Instant now) {
  if (now < this->rules_.terminate_at) return false;
  const std::size_t before = this->finished_.size();
  this->terminateUnfinished();
  return this->finished_.size() > before;
}

void batch_run::terminateUnfinished() {
  for (ItemIndex item = 0; item < this->progress_.size(); ++item)
    this->finish(item, ResultState::kTerminated);
}

batch_result batch_run::result(ItemIndex item) const {
  const item_progress& progress = this->progress_[item];
  batch_result result;
  result.item = this->job_.items[item].id;
  result.state = progress.outcome;
  if (progress.outcome == ResultState::kCompleted) {
    result.text = progress.text;
    result.versions = progress.versions;
    result.score = progress.score;
  }
  return result;
}

void batch_run::onAppended(ItemIndex item) {
  item_progress& progress = this->progress_[item];
  if (progress.state == ItemState::kAppended) return;
  progress.state = ItemState::kAppended;
  progress.text = std::string();
  std::erase(this->finished_, item);
  ++this->appended_;
}

}  // namespace linenpier::batch
