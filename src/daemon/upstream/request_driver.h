#pragma once

/// @file
/// One request's way through its tries: what may be retried, what may be resumed, and what the
/// caller may be told about whether it ran.

#include <cstdint>
#include <string>
#include <vector>

#include "daemon/ports/engine_client.h"

namespace linenpier::upstream {

/// What a caller may conclude about a request that was not answered in full.
enum class RunState {
  kNotRun,   ///< Nothing was ever sent to an engine.
  kUnknown,  ///< Something was sent: part of it, or all, may have run.
};

/// Pure state machine; one request, one owner.
/// Invariant: once `sent_` is set, the run state is kUnknown for good.
/// Invariant: a request that may not be repeated is sent at most once.
class RequestDriver {
 public:
  enum class Step { kTryAgain, kFinished };

  /// @param repeatable false for a request that must run at most once.
  /// @param max_tries sends and refused sends together.
  RequestDriver(bool repeatable, int max_tries) : repeatable_(repeatable), tries_left_(max_tries) {}

  /// The request is about to be sent to `engine`.
  void onSend(const EngineId& engine);
  /// Pieces arrived from the current engine.
  void onPiece(const engine::Piece& piece);
  /// The current try has ended.
  Step onStreamEnd(engine::StreamEnd end);

  bool complete() const { return complete_; }
  RunState runState() const { return sent_ ? RunState::kUnknown : RunState::kNotRun; }
  const std::string& text() const { return text_; }
  std::uint32_t tokens() const { return tokens_; }
  /// @return runs of tokens by the version that produced them, neighbours of one version merged.
  const std::vector<wire::VersionPiece>& pieces() const { return pieces_; }
  /// @return the engines that failed this request.
  const std::vector<EngineId>& failedEngines() const { return failed_; }

 private:
  bool repeatable_;
  int tries_left_;
  bool sent_ = false;  ///< Some engine may have begun the request.
  bool complete_ = false;
  EngineId current_;
  std::vector<EngineId> failed_;
  std::string text_;  ///< All text so far, over all tries.
  std::uint32_t tokens_ = 0;
  std::vector<wire::VersionPiece> pieces_;
};

}  // namespace linenpier::upstream
