#include "batch/batch_run.h"

#include <algorithm>
#include <map>

namespace linenpier::batch {

BatchRun::BatchRun(BatchJob job, RunRules rules)
    : job_(std::move(job)), rules_(rules), progress_(job_.items.size()) {
  orderItems();
}

/// The trainer does not wait for all groups: those that are expected to be longest can be spared.
/// It does wait for each group that comes again from an earlier job.
std::set<GroupId> BatchRun::spareGroups() const {
  std::map<GroupId, std::uint64_t> longest_of;
  for (const BatchItem& item : job_.items) {
    std::uint64_t& longest = longest_of[item.group];
    longest = std::max(longest, item.length_hint);
  }
  const std::size_t groups = longest_of.size();
  std::size_t left_to_spare = job_.desired_groups == 0 || job_.desired_groups >= groups
                                  ? 0
                                  : groups - job_.desired_groups;
  std::vector<std::pair<std::uint64_t, GroupId>> by_length;
  for (const auto& [group, longest] : longest_of) {
    if (!carried_groups_.contains(group)) by_length.emplace_back(longest, group);
  }
  std::sort(by_length.rbegin(), by_length.rend());
  left_to_spare = std::min(left_to_spare, by_length.size());
  std::set<GroupId> spare;
  for (std::size_t i = 0; i < left_to_spare; ++i) spare.insert(by_length[i].second);
  return spare;
}

/// The longest items begin first, since the step ends with them; what can be spared comes last.
void BatchRun::orderItems() {
  const std::set<GroupId> spare = spareGroups();
  order_.resize(job_.items.size());
  for (ItemIndex item = 0; item < order_.size(); ++item) order_[item] = item;
  std::stable_sort(order_.begin(), order_.end(), [&](ItemIndex one, ItemIndex other) {
    const bool one_spare = spare.contains(job_.items[one].group);
    const bool other_spare = spare.contains(job_.items[other].group);
    if (one_spare != other_spare) return other_spare;
    return job_.items[one].length_hint > job_.items[other].length_hint;
  });
}

void BatchRun::onCarriedOver(const carry_over& carried) {
  for (ItemIndex item = 0; item < job_.items.size(); ++item) {
    if (!carried.contains(job_.items[item].id)) continue;
    carried_groups_.insert(job_.items[item].group);
    const ItemCheckpoint* kept = carried.textOf(job_.items[item].id);
    if (kept != nullptr) onCheckpoint(item, kept->last_event, kept->versions, kept->text);
  }
  if (!carried_groups_.empty()) orderItems();
}

void BatchRun::onAlreadyListed(ItemIndex item) {
  if (progress_[item].state == ItemState::kListed) return;
  progress_[item].state = ItemState::kListed;
  ++listed_;
}

void BatchRun::onCheckpoint(ItemIndex item, std::uint64_t last_event,
                            const std::set<WeightVersion>& versions, const std::string& text) {
  ItemProgress& progress = progress_[item];
  if (progress.state != ItemState::kWaiting || progress.last_event > 0 || versions.empty()) return;
  if (*versions.begin() < job_.minimum_version || rules_.single_version) return;
  progress.last_event = last_event;
  progress.versions = versions;
  progress.text = text;
}

std::optional<ItemIndex> BatchRun::nextToStart(Instant now) const {
  for (const ItemIndex item : order_) {
    const ItemProgress& progress = progress_[item];
    if (progress.state == ItemState::kWaiting && now >= progress.not_before) return item;
  }
  return std::nullopt;
}

std::size_t BatchRun::waiting() const {
  return static_cast<std::size_t>(
      std::count_if(progress_.begin(), progress_.end(),
                    [](const ItemProgress& each) { return each.state == ItemState::kWaiting; }));
}

std::size_t BatchRun::running() const {
  return static_cast<std::size_t>(
      std::count_if(progress_.begin(), progress_.end(),
                    [](const ItemProgress& each) { return each.state == ItemState::kRunning; }));
}

void BatchRun::onStarted(Instant now, ItemIndex item, const EngineId& engine) {
  ItemProgress& progress = progress_[item];
  progress.state = ItemState::kRunning;
  ++progress.attempts_running;
  progress.last_engine = engine;
  progress.last_progress = now;
}

EventVerdict BatchRun::onEvent(Instant now, ItemIndex item, std::uint64_t event,
                               const std::string& data, WeightVersion version) {
  ItemProgress& progress = progress_[item];
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
  return EventVerdict::kTaken;
}

void BatchRun::finish(ItemIndex item, ResultState outcome) {
  ItemProgress& progress = progress_[item];
  if (progress.state == ItemState::kFinished || progress.state == ItemState::kListed) return;
  progress.state = ItemState::kFinished;
  progress.outcome = outcome;
  finished_.push_back(item);
}

void BatchRun::onCompleted(Instant now, ItemIndex item) {
  progress_[item].last_progress = now;
  --progress_[item].attempts_running;
  finish(item, ResultState::kCompleted);
}

void BatchRun::onInterrupted(Instant now, ItemIndex item, Duration pause) {
  ItemProgress& progress = progress_[item];
  --progress.attempts_running;
  if (progress.state != ItemState::kRunning || progress.attempts_running > 0) return;
  progress.state = ItemState::kWaiting;
  progress.not_before = now + pause;
}

void BatchRun::onFailed(Instant now, ItemIndex item) {
  constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(100);
  ItemProgress& progress = progress_[item];
  ++progress.failures;
  if (progress.failures >= rules_.max_failures) {
    --progress.attempts_running;
    finish(item, ResultState::kTerminated);
    return;
  }
  onInterrupted(now, item, kPauseAfterFailure);
}

void BatchRun::onRejected(ItemIndex item) {
  --progress_[item].attempts_running;
  finish(item, ResultState::kTerminated);
}

void BatchRun::discardText(ItemIndex item) {
  ItemProgress& progress = progress_[item];
  if (progress.state == ItemState::kFinished || progress.state == ItemState::kListed) return;
  progress.text.clear();
  progress.versions.clear();
  progress.last_event = 0;
}

bool BatchRun::onTick(Instant now) {
  if (now < rules_.give_up_at) return false;
  const std::size_t before = finished_.size();
  giveUpAll();
  return finished_.size() > before;
}

void BatchRun::giveUpAll() {
  for (ItemIndex item = 0; item < progress_.size(); ++item) finish(item, ResultState::kTerminated);
}

BatchResult BatchRun::result(ItemIndex item) const {
  const ItemProgress& progress = progress_[item];
  BatchResult result;
  result.item = job_.items[item].id;
  result.state = progress.outcome;
  if (progress.outcome == ResultState::kCompleted) {
    result.text = progress.text;
    result.versions = progress.versions;
  }
  return result;
}

void BatchRun::onListed(ItemIndex item) {
  ItemProgress& progress = progress_[item];
  if (progress.state == ItemState::kListed) return;
  progress.state = ItemState::kListed;
  progress.text = std::string();
  std::erase(finished_, item);
  ++listed_;
}

}  // namespace linenpier::batch
