#pragma once

/// @file
/// A model engine as the core sees it: streams, load and fenced orders.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/error.h"
#include "common/ids.h"
#include "daemon/wire/messages.h"

namespace linenpier::engine {

/// One generation asked of an engine.
struct GenerateRequest {
  AttemptId attempt;  ///< Echoed by the engine in every piece.
  ModelName model;
  std::string prompt;
  std::string resume_text;          ///< Text already generated elsewhere; empty from the start.
  std::uint32_t resume_tokens = 0;  ///< Tokens in `resume_text`.
  std::uint32_t max_tokens = 0;
  int priority = 0;  ///< Higher goes first.
};

/// One streamed piece.
struct Piece {
  std::string text;
  std::uint32_t tokens = 0;
  WeightVersion version = 0;  ///< Weights that produced it.
};

/// How a stream ended.
enum class StreamEnd {
  kComplete,    ///< The engine said that the generation is whole.
  kNotStarted,  ///< Refused or unreachable before the request was sent in full.
  kBroken,      ///< Sent, but the end never came.
  kCancelled,   ///< The sink asked to stop.
  kMismatched,  ///< A piece carried another attempt's id; everything after it was dropped.
};

/// Takes the pieces in order. @return false to cancel the stream.
using PieceSink = std::function<bool(const Piece&)>;

/// An order that the engine obeys only if `token` is not below the highest it has seen.
struct FencedOrder {
  enum class Kind { kPrefetch, kFlip };
  Kind kind = Kind::kPrefetch;
  FencingToken token = 0;
  ModelName model;
  WeightVersion version = 0;
};

enum class OrderOutcome { kDone, kFenced, kFailed };

/// Blocking, thread-safe client for all engines of the platform.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  /// Streams one generation; returns when it has ended.
  virtual StreamEnd generate(const std::string& url, const GenerateRequest& request,
                             const PieceSink& sink) = 0;
  /// Tells the engine to forget an attempt; errors are ignored.
  virtual void cancel(const std::string& url, const AttemptId& attempt) = 0;
  /// Reads the engine's lagging load report.
  virtual CallResult<wire::EngineReport> load(const std::string& url) = 0;
  virtual CallResult<OrderOutcome> order(const std::string& url, const FencedOrder& order) = 0;
};

using EngineClientSharedPtr = std::shared_ptr<EngineClient>;

}  // namespace linenpier::engine
