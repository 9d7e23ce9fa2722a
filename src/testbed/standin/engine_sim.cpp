#include "testbed/standin/engine_sim.h"

#include <algorithm>
#include <thread>

#include "common/hash.h"
#include "testbed/standin/token_text.h"

namespace linenpier::standin {

namespace {

constexpr std::size_t kCachedPrefixes = 64;
constexpr std::size_t kPrefixBytes = 256;
constexpr double kBatchSlowdown = 0.5;  ///< A full batch makes each token this much slower.
/// Time to the first token of a prompt whose prefix is not cached.
constexpr double kPrefillMs = 20;
constexpr double kSlowFactor = 5;
constexpr auto kLeavingGrace = std::chrono::seconds(3);
constexpr std::size_t kLoadHistory = 400;

}  // namespace

EngineSim::EngineSim(EngineId id, const EnginePool& pool, const StoreLimits& limits, Faults& faults)
    : id_(std::move(id)), pool_(pool), limits_(limits), faults_(faults) {}

SequenceSharedPtr EngineSim::start(const std::string& attempt, const std::string& prompt,
                                   std::uint32_t resume_tokens, std::uint32_t max_tokens,
                                   int priority) {
  const std::lock_guard lock(mutex_);
  if (down_) return nullptr;
  if (leaving_since_ && steadyNow() - *leaving_since_ > kLeavingGrace) ++starts_while_leaving_;
  auto sequence = std::make_shared<Sequence>();
  sequence->attempt = attempt;
  sequence->prompt = prompt;
  sequence->position = resume_tokens;
  sequence->length = answerLength(prompt, max_tokens);
  sequence->priority = priority;
  sequence->order = next_order_++;
  sequence->credit = touchPrefix(prompt) ? 0 : -kPrefillMs / pool_.token_ms;
  sequences_[attempt] = sequence;
  const std::string once = onceId(prompt);
  if (!once.empty()) ++once_starts_[once];
  return sequence;
}

std::vector<engine::Piece> EngineSim::take(const SequenceSharedPtr& sequence, Duration limit,
                                           bool& ended, bool& broken) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, limit, [&] { return !sequence->pieces.empty() || sequence->ended; });
  std::vector<engine::Piece> pieces(sequence->pieces.begin(), sequence->pieces.end());
  sequence->pieces.clear();
  ended = sequence->ended;
  broken = sequence->broken;
  return pieces;
}

void EngineSim::cancel(const std::string& attempt) {
  const std::lock_guard lock(mutex_);
  const auto found = sequences_.find(attempt);
  if (found == sequences_.end()) return;
  found->second->ended = true;
  found->second->broken = true;
  sequences_.erase(found);
  changed_.notify_all();
}

OrderResult EngineSim::order(const std::string& kind, FencingToken token, WeightVersion version) {
  std::unique_lock lock(mutex_);
  if (down_) return OrderResult::kFailed;
  if (token < highest_token_) {
    faults_.noteStruck("order-fenced");
    return OrderResult::kFenced;
  }
  highest_token_ = token;
  if (kind == "prefetch") {
    lock.unlock();
    std::this_thread::sleep_for(fromSeconds(limits_.prefetch_ms / 1000));
    lock.lock();
    if (token < highest_token_) return OrderResult::kFenced;
    prefetched_ = std::max(prefetched_, version);
    return OrderResult::kDone;
  }
  if (kind != "flip" || prefetched_ < version) return OrderResult::kFailed;
  swap_left_ms_ = pool_.swap_ms;
  changed_.wait(lock, [this] { return swap_left_ms_ <= 0 || down_; });
  if (down_) return OrderResult::kFailed;
  if (token < highest_token_) return OrderResult::kFenced;
  if (faults_.takeSwapFailure(id_.str())) {
    prefetched_ = 0;
    return OrderResult::kFailed;
  }
  version_ = std::max(version_, version);
  return OrderResult::kDone;
}

wire::EngineReport EngineSim::laggingLoad(Instant now) {
  const std::lock_guard lock(mutex_);
  wire::EngineReport report;
  const Duration lag = fromSeconds(limits_.load_lag_ms / 1000);
  for (const auto& [when, old] : load_history_) {
    if (now - when < lag) break;
    report = old;
  }
  report.engine = id_;
  report.slots = pool_.slots;
  if (report.version == 0) report.version = version_;
  report.leaving = leaving_since_.has_value();
  return report;
}

void EngineSim::advance(Instant now, double elapsed_ms) {
  const EngineMode mode = faults_.engineMode(id_.str());
  const bool leaving = faults_.engineLeaving(id_.str());
  const std::lock_guard lock(mutex_);
  if (mode == EngineMode::kCrashed) {
    if (!down_) crash();
    return;
  }
  down_ = false;
  if (leaving && !leaving_since_) leaving_since_ = now;
  if (!leaving) leaving_since_.reset();
  if (mode == EngineMode::kFrozen) return;
  if (swap_left_ms_ > 0) {
    swap_left_ms_ -= elapsed_ms;
    if (swap_left_ms_ <= 0) changed_.notify_all();
  } else {
    admit();
    generate(mode == EngineMode::kSlow ? elapsed_ms / kSlowFactor : elapsed_ms);
  }
  wire::EngineReport report;
  for (const auto& [attempt, sequence] : sequences_) {
    ++(sequence->running ? report.running : report.waiting);
  }
  report.version = version_;
  report.prefetched = prefetched_;
  load_history_.push_back({now, report});
  if (load_history_.size() > kLoadHistory) load_history_.pop_front();
}

std::map<std::string, int> EngineSim::onceStarts() const {
  const std::lock_guard lock(mutex_);
  return once_starts_;
}

std::uint64_t EngineSim::startsWhileLeaving() const {
  const std::lock_guard lock(mutex_);
  return starts_while_leaving_;
}

void EngineSim::crash() {
  down_ = true;
  for (auto& [attempt, sequence] : sequences_) {
    sequence->ended = true;
    sequence->broken = true;
  }
  sequences_.clear();
  cached_prefixes_.clear();
  load_history_.clear();
  version_ = 1;  // Back with the weights of its image.
  prefetched_ = 0;
  swap_left_ms_ = 0;
  changed_.notify_all();
}

void EngineSim::admit() {
  std::vector<SequenceSharedPtr> waiting;
  std::size_t running = 0;
  for (const auto& [attempt, sequence] : sequences_) {
    if (sequence->running) {
      ++running;
    } else {
      waiting.push_back(sequence);
    }
  }
  std::sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) {
    if (a->priority != b->priority) return a->priority > b->priority;
    return a->order < b->order;
  });
  for (const auto& sequence : waiting) {
    if (running >= pool_.slots) break;
    sequence->running = true;
    ++running;
  }
}

void EngineSim::generate(double elapsed_ms) {
  std::size_t running = 0;
  for (const auto& [attempt, sequence] : sequences_) running += sequence->running;
  if (running == 0) return;
  const double share = static_cast<double>(running) / std::max(pool_.slots, 1U);
  const double token_ms = pool_.token_ms * (1 + kBatchSlowdown * share);
  bool produced = false;
  for (auto it = sequences_.begin(); it != sequences_.end();) {
    Sequence& sequence = *it->second;
    if (!sequence.running) {
      ++it;
      continue;
    }
    sequence.credit += elapsed_ms / token_ms;
    engine::Piece piece;
    piece.version = version_;
    while (sequence.credit >= 1 && sequence.position < sequence.length) {
      piece.text += tokenAt(sequence.prompt, sequence.position++);
      ++piece.tokens;
      sequence.credit -= 1;
    }
    if (piece.tokens > 0) {
      sequence.pieces.push_back(std::move(piece));
      produced = true;
    }
    if (sequence.position >= sequence.length) {
      sequence.ended = true;
      produced = true;
      it = sequences_.erase(it);
    } else {
      ++it;
    }
  }
  if (produced) changed_.notify_all();
}

bool EngineSim::touchPrefix(const std::string& prompt) {
  const std::uint64_t hash = hash64(std::string_view(prompt).substr(0, kPrefixBytes));
  const auto known = std::find(cached_prefixes_.begin(), cached_prefixes_.end(), hash);
  const bool cached = known != cached_prefixes_.end();
  if (cached) cached_prefixes_.erase(known);
  cached_prefixes_.push_front(hash);
  if (cached_prefixes_.size() > kCachedPrefixes) cached_prefixes_.pop_back();
  return cached;
}

}  // namespace linenpier::standin
