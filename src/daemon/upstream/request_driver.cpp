#include "daemon/upstream/request_driver.h"

namespace linenpier::upstream {

using engine::StreamEnd;

void RequestDriver::onSend(const EngineId& engine) {
  current_ = engine;
  --tries_left_;
}

void RequestDriver::onPiece(const engine::Piece& piece) {
  text_ += piece.text;
  tokens_ += piece.tokens;
  if (!pieces_.empty() && pieces_.back().version == piece.version) {
    pieces_.back().tokens += piece.tokens;
  } else {
    pieces_.push_back({piece.version, piece.tokens});
  }
}

RequestDriver::Step RequestDriver::onStreamEnd(StreamEnd end) {
  if (end != StreamEnd::kNotStarted) sent_ = true;
  if (end == StreamEnd::kComplete) {
    complete_ = true;
    return Step::kFinished;
  }
  if (end == StreamEnd::kCancelled) return Step::kFinished;
  failed_.push_back(current_);
  if (sent_ && !repeatable_) return Step::kFinished;
  return tries_left_ > 0 ? Step::kTryAgain : Step::kFinished;
}

}  // namespace linenpier::upstream
