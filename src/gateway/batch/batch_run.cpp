#include "gateway/batch/batch_run.h"

#include <algorithm>
#include <map>

namespace linenpier::batch {

batch_run::batch_run(batch_job job, run_rules rules)
    : job_(std::move(job)), rules_(rules), progress_(job_.items.size()) {
  findGroups();
  orderItems();
}

void batch_run::findGroups() {
  std::map<GroupId, std::size_t> known;
  group_of_.reserve(job_.items.size());
  for (const batch_item& item : job_.items) {
    const auto [at, fresh] = known.try_emplace(item.group, groups_.size());
    if (fresh) groups_.emplace_back();
    ++groups_[at->second].open;
    group_of_.push_back(at->second);
  }
}

/// Groups that come again are waited for in any case. Among the others the longest items begin
/// first, since the step ends with them.
void batch_run::orderItems() {
  order_.resize(job_.items.size());
  for (ItemIndex item = 0; item < order_.size(); ++item) order_[item] = item;
  std::stable_sort(order_.begin(), order_.end(), [&](ItemIndex one, ItemIndex other) {
    const bool one_reused = groups_[group_of_[one]].reused;
    const bool other_reused = groups_[group_of_[other]].reused;
    if (one_reused != other_reused) return one_reused;
    return job_.items[one].length_hint > job_.items[other].length_hint;
  });
}

std::vector<ItemIndex> batch_run::onPartialResults(const partial_results& reused) {
  std::vector<ItemIndex> obsolete;
  for (ItemIndex item = 0; item < job_.items.size(); ++item) {
    if (!reused.contains(job_.items[item].id)) continue;
    groups_[group_of_[item]].reused = true;
    const item_checkpoint* kept = reused.textOf(job_.items[item].id);
    if (kept != nullptr && onCheckpoint(item, *kept)) obsolete.push_back(item);
  }
  if (reusedGroups() > 0) orderItems();
  return obsolete;
}

std::size_t batch_run::reusedGroups() const {
  return static_cast<std::size_t>(
      std::count_if(groups_.begin(), groups_.end(), [](const Group& each) { return each.reused; }));
}

bool batch_run::stepComplete() const {
  std::size_t whole = 0;
  for (const Group& group : groups_) {
    if (group.open == 0) ++whole;
    if (group.open > 0 && group.reused) return false;
  }
  const std::size_t wanted = job_.desired_groups == 0 ? groups_.size() : job_.desired_groups;
  return whole >= std::min(wanted, groups_.size());
}

bool batch_run::publishUrgent() const {
  if (job_.desired_groups == 0 || stepComplete() || allAppended()) return true;
  return std::any_of(finished_.begin(), finished_.end(), [this](ItemIndex item) {
    return progress_[item].outcome == ResultState::kTerminated;
  });
}

std::size_t batch_run::finishedBytes() const {
  std::size_t bytes = 0;
  for (const ItemIndex item : finished_) bytes += progress_[item].text.size();
  return bytes;
}

void batch_run::onAlreadyAppended(ItemIndex item) {
  if (progress_[item].state == ItemState::kAppended) return;
  progress_[item].state = ItemState::kAppended;
  onItemClosed(item);
  ++appended_;
}

bool batch_run::onCheckpoint(ItemIndex item, const item_checkpoint& kept) {
  item_progress& progress = progress_[item];
  const bool open = progress.state == ItemState::kWaiting || progress.state == ItemState::kRunning;
  if (!open || kept.last_event <= progress.last_event || kept.versions.empty()) return false;
  if (*kept.versions.begin() < job_.minimum_version) return false;
  if (rules_.single_version && kept.versions.size() > 1) return false;
  const bool running = progress.state == ItemState::kRunning;
  progress.last_event = kept.last_event;
  progress.versions = kept.versions;
  progress.text = kept.text;
  ++progress.text_revision;
  const std::optional<reward_request>& scorer = job_.items[item].scorer;
  const bool score_fits = kept.score && scorer && kept.score->request_id == scorer->id;
  if (kept.finished && score_fits) progress.score = kept.score->signature;
  if (kept.finished) onTextComplete(item);
  return running;
}

std::optional<ItemIndex> batch_run::nextToStart(Instant now) const {
  for (const ItemIndex item : order_) {
    const item_progress& progress = progress_[item];
    if (progress.state == ItemState::kWaiting && now >= progress.not_before) return item;
  }
  return std::nullopt;
}

std::size_t batch_run::countIn(ItemState state) const {
  return static_cast<std::size_t>(
      std::count_if(progress_.begin(), progress_.end(),
                    [state](const item_progress& each) { return each.state == state; }));
}

std::size_t batch_run::waiting() const {
  return countIn(ItemState::kWaiting);
}

std::size_t batch_run::running() const {
  return countIn(ItemState::kRunning);
}

std::size_t batch_run::unscored() const {
  return countIn(ItemState::kTextComplete) + countIn(ItemState::kScoring);
}

void batch_run::onStarted(Instant now, ItemIndex item, const EngineId& engine) {
  item_progress& progress = progress_[item];
  progress.state = ItemState::kRunning;
  ++progress.attempts_running;
  progress.last_engine = engine;
  progress.last_progress = now;
}

EventVerdict batch_run::onEvent(Instant now, ItemIndex item, std::uint64_t event,
                                const std::string& data, WeightVersion version) {
  item_progress& progress = progress_[item];
  if (progress.state != ItemState::kRunning) return EventVerdict::kUnfit;
  if (event != progress.last_event + 1) return EventVerdict::kUnfit;
  if (version < job_.minimum_version) return EventVerdict::kUnfit;
  if (rules_.single_version && !progress.versions.empty() && !progress.versions.contains(version)) {
    return EventVerdict::kUnfit;
  }
  if (event > 1) progress.text.push_back('\n');
  progress.text += data;
  progress.last_event = event;
  progress.versions.insert(version);
  progress.last_progress = now;
  progress.late_starts = 0;
  return EventVerdict::kTaken;
}

void batch_run::finish(ItemIndex item, ResultState outcome) {
  item_progress& progress = progress_[item];
  if (progress.state == ItemState::kFinished || progress.state == ItemState::kAppended) return;
  progress.state = ItemState::kFinished;
  progress.outcome = outcome;
  onItemClosed(item);
  finished_.push_back(item);
}

void batch_run::onCompleted(Instant now, ItemIndex item) {
  progress_[item].last_progress = now;
  --progress_[item].attempts_running;
  onTextComplete(item);
}

void batch_run::onTextComplete(ItemIndex item) {
  item_progress& progress = progress_[item];
  const bool open = progress.state == ItemState::kWaiting || progress.state == ItemState::kRunning;
  if (!open) return;
  if (!job_.items[item].scorer || !progress.score.empty()) {
    finish(item, ResultState::kCompleted);
    return;
  }
  progress.state = ItemState::kTextComplete;
  progress.not_before = Instant{};
}

std::optional<ItemIndex> batch_run::nextToScore(Instant now) const {
  for (const ItemIndex item : order_) {
    const item_progress& progress = progress_[item];
    if (progress.state == ItemState::kTextComplete && now >= progress.not_before) return item;
  }
  return std::nullopt;
}

void batch_run::onScoringStarted(ItemIndex item) {
  progress_[item].state = ItemState::kScoring;
}

void batch_run::onScored(ItemIndex item, std::string score) {
  item_progress& progress = progress_[item];
  if (progress.state != ItemState::kScoring) return;
  progress.score = std::move(score);
  finish(item, ResultState::kCompleted);
}

void batch_run::onNotScored(Instant now, ItemIndex item, int failures, int max_failures,
                            Duration pause) {
  item_progress& progress = progress_[item];
  if (progress.state != ItemState::kScoring) return;
  progress.score_failures += failures;
  if (max_failures > 0 && progress.score_failures >= max_failures) {
    finish(item, ResultState::kTerminated);
    return;
  }
  progress.state = ItemState::kTextComplete;
  progress.not_before = now + pause;
}

void batch_run::onInterrupted(Instant now, ItemIndex item, Duration pause) {
  item_progress& progress = progress_[item];
  --progress.attempts_running;
  if (progress.state != ItemState::kRunning || progress.attempts_running > 0) return;
  progress.state = ItemState::kWaiting;
  progress.not_before = now + pause;
}

void batch_run::onFailed(Instant now, ItemIndex item) {
  constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(100);
  item_progress& progress = progress_[item];
  ++progress.failures;
  if (progress.failures >= rules_.max_failures) {
    --progress.attempts_running;
    finish(item, ResultState::kTerminated);
    return;
  }
  onInterrupted(now, item, kPauseAfterFailure);
}

void batch_run::onRejected(ItemIndex item) {
  --progress_[item].attempts_running;
  finish(item, ResultState::kTerminated);
}

void batch_run::discardText(ItemIndex item) {
  item_progress& progress = progress_[item];
  if (progress.state != ItemState::kWaiting && progress.state != ItemState::kRunning) return;
  progress.text.clear();
  ++progress.text_revision;
  progress.versions.clear();
  progress.last_event = 0;
}

bool batch_run::onTick(Instant now) {
  if (now < rules_.give_up_at) return false;
  const std::size_t before = finished_.size();
  giveUpAll();
  return finished_.size() > before;
}

void batch_run::giveUpAll() {
  for (ItemIndex item = 0; item < progress_.size(); ++item) finish(item, ResultState::kTerminated);
}

batch_result batch_run::result(ItemIndex item) const {
  const item_progress& progress = progress_[item];
  batch_result result;
  result.item = job_.items[item].id;
  result.state = progress.outcome;
  if (progress.outcome == ResultState::kCompleted) {
    result.text = progress.text;
    result.versions = progress.versions;
    result.score = progress.score;
  }
  return result;
}

void batch_run::onAppended(ItemIndex item) {
  item_progress& progress = progress_[item];
  if (progress.state == ItemState::kAppended) return;
  progress.state = ItemState::kAppended;
  progress.text = std::string();
  std::erase(finished_, item);
  ++appended_;
}

}  // namespace linenpier::batch
