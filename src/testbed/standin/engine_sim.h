#pragma once

/// @file
/// One stand-in model engine: continuous batching with priorities, a bounded prefix cache, lagging
/// load, fenced orders, swaps that may fail, and streams that can be resumed and cancelled.

#include <condition_variable>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "daemon/ports/engine_client.h"
#include "testbed/standin/faults.h"
#include "testbed/standin/topology.h"

namespace linenpier::standin {

/// One generation inside an engine. Guarded by the engine's mutex.
struct Sequence {
  std::string attempt;
  std::string prompt;
  std::uint32_t position = 0;  ///< Tokens generated so far, resumed ones included.
  std::uint32_t length = 0;    ///< Tokens of the whole answer.
  int priority = 0;
  std::uint64_t order = 0;  ///< Arrival order.
  double credit = 0;        ///< Share of the next token already worked off.
  bool running = false;
  bool ended = false;                ///< No further pieces.
  bool broken = false;               ///< Ended by a crash or a cancellation.
  std::deque<engine::Piece> pieces;  ///< Generated and not yet taken.
};
using SequenceSharedPtr = std::shared_ptr<Sequence>;

enum class OrderResult { kDone, kFenced, kFailed };

/// Thread-safe.
class EngineSim {
 public:
  EngineSim(EngineId id, const EnginePool& pool, const StoreLimits& limits, Faults& faults);

  const EngineId& id() const { return id_; }
  const EnginePool& pool() const { return pool_; }

  /// Queues a generation. @return nothing if the engine refuses it (crashed or leaving).
  SequenceSharedPtr start(const std::string& attempt, const std::string& prompt,
                          std::uint32_t resume_tokens, std::uint32_t max_tokens, int priority);
  /// Waits for pieces. @return those that came; empty when the time is up or the sequence ended.
  std::vector<engine::Piece> take(const SequenceSharedPtr& sequence, Duration limit, bool& ended,
                                  bool& broken);
  void cancel(const std::string& attempt);
  /// Blocks for as long as the order takes.
  OrderResult order(const std::string& kind, FencingToken token, WeightVersion version);
  /// @return the load as it was some time ago.
  wire::EngineReport laggingLoad(Instant now);

  /// Moves time on; called by the fleet's thread.
  void advance(Instant now, double elapsed_ms);
  /// @return how often each "once" id was started here, and starts that came while leaving.
  std::map<std::string, int> onceStarts() const;
  std::uint64_t startsWhileLeaving() const;

 private:
  void crash();
  void admit();
  void generate(double elapsed_ms);
  /// Marks the prompt's prefix as the one used last. @return whether it was cached already.
  bool touchPrefix(const std::string& prompt);

  const EngineId id_;
  const EnginePool pool_;
  const StoreLimits limits_;
  Faults& faults_;
  mutable std::mutex mutex_;                            ///< Guards all members below.
  std::condition_variable changed_;                     ///< Pieces came or an order may go on.
  std::map<std::string, SequenceSharedPtr> sequences_;  ///< By attempt; waiting and running.
  std::uint64_t next_order_ = 1;
  WeightVersion version_ = 1;
  WeightVersion prefetched_ = 0;
  FencingToken highest_token_ = 0;
  double swap_left_ms_ = 0;  ///< The engine is paused while this is positive.
  bool down_ = false;
  std::optional<Instant> leaving_since_;
  std::list<std::uint64_t> cached_prefixes_;  ///< Most recently used first.
  std::deque<std::pair<Instant, wire::EngineReport>> load_history_;
  std::map<std::string, int> once_starts_;
  std::uint64_t starts_while_leaving_ = 0;
};

}  // namespace linenpier::standin
