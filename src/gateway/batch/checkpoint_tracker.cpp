#include "gateway/batch/checkpoint_tracker.h"

namespace linenpier::batch {

namespace {

/// Minimum number of events of a checkpointed text. Shorter ones are generated again instead.
constexpr std::uint64_t kMinCheckpointEvents = 5;
/// Number of parts, including the last full one, after which a full part is written. Bounds the
/// number of rows to read when resuming a job. A step of eight seconds writes about this many parts
/// at two per second, so that usually only its first part is full, when the texts are short.
constexpr std::size_t kMaxParts = 16;

bool isTextComplete(const item_progress& progress) {
  return progress.state == ItemState::kFinished || progress.state == ItemState::kTextComplete ||
         progress.state == ItemState::kScoring;
}

bool needsCheckpoint(const item_progress& progress) {
  if (progress.state == ItemState::kAppended) return false;
  if (isTextComplete(progress)) return progress.outcome == ResultState::kCompleted;
  return progress.last_event >= kMinCheckpointEvents;
}

}  // namespace

std::optional<item_checkpoint> checkpoint_tracker::delta(const batch_run& run, ItemIndex item,
                                                         bool full) const {
  const item_progress& progress = run.progress(item);
  if (!needsCheckpoint(progress)) return std::nullopt;
  item_checkpoint added;
  added.item_index = item;
  added.last_event = progress.last_event;
  added.versions = progress.versions;
  added.finished = isTextComplete(progress);
  const std::optional<reward_request>& scorer = run.job().items[item].scorer;
  if (!progress.score.empty() && scorer) added.score = reward_score{scorer->id, progress.score};
  std::size_t from = 0;
  if (!full) {
    const auto at = this->written_->find(item);
    const bool grows = at != this->written_->end() && at->second.revision == progress.text_revision;
    if (grows) {
      const written_text& written = at->second;
      const bool changed = written.last_event < progress.last_event ||
                           written.finished != added.finished ||
                           written.scored != added.score.has_value();
      if (!changed) return std::nullopt;
      added.after_event = written.last_event;
      from = written.bytes;
    }
  }
  added.text = progress.text.substr(from);
  return added;
}

checkpoint_part checkpoint_tracker::next(const batch_run& run) const {
  checkpoint_part part;
  part.full = !this->written_ || this->parts_ >= kMaxParts;
  for (ItemIndex item = 0; item < run.job().items.size(); ++item) {
    auto added = this->delta(run, item, part.full);
    if (!added) continue;
    part.events += added->last_event - added->after_event;
    part.texts.push_back(std::move(*added));
    part.revisions.push_back(run.progress(item).text_revision);
  }
  return part;
}

void checkpoint_tracker::onWritten(const checkpoint_part& part) {
  if (part.full) {
    this->written_ = written_texts{};
    this->parts_ = 0;
  }
  if (!this->written_) return;
  ++this->parts_;
  for (std::size_t i = 0; i < part.texts.size(); ++i) {
    const item_checkpoint& each = part.texts[i];
    written_text& written = (*this->written_)[each.item_index];
    const std::size_t before = each.after_event == 0 ? 0 : written.bytes;
    written.last_event = each.last_event;
    written.bytes = before + each.text.size();
    written.finished = each.finished;
    written.scored = each.score.has_value();
    written.revision = part.revisions[i];
  }
}

}  // namespace linenpier::batch
