#pragma once

/// @file
/// Carries one request through admission and streams on the calling thread.

#include <functional>
#include <optional>
#include <string>

#include "daemon/ports/engine_client.h"
#include "daemon/process/node_handle.h"
#include "daemon/upstream/request_driver.h"

namespace linenpier::daemon {

/// One request, from a caller or for a sample.
struct RequestWork {
  RequestId id;
  TenantId tenant;
  ModelName model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  int priority = 0;
  double weight = 1.0;
  std::uint32_t max_in_flight = 1;
  std::uint32_t max_queued = 1;
  WeightVersion minimum_version = 0;
  Instant deadline{};
  bool repeatable = true;
  bool hand_over = false;  ///< A sample: at a planned stop another daemon takes it over.
};

/// How it ended.
struct RequestReport {
  bool complete = false;
  upstream::RunState run_state = upstream::RunState::kNotRun;
  std::optional<admission::Refusal> refusal;  ///< Set if an admission refused it.
  bool deadline_passed = false;
  std::string text;
  std::vector<wire::VersionPiece> pieces;
  int tries = 0;
};

/// @return whether to go on.
using PieceObserver = std::function<bool(const engine::Piece&)>;

/// Thread-safe; each call works on its own request.
class RequestRunner {
 public:
  RequestRunner(const NodeHandle& node, engine::EngineClientSharedPtr engines)
      : node_(node), engines_(std::move(engines)) {}

  /// Waits for the first admission decision. @return nothing if the deadline passed.
  std::optional<admission::Decision> admit(const RequestWork& work) const;
  /// @param first the first admission's decision; every placement must be run or released.
  /// @param on_piece sees every piece once, in order, over all tries.
  RequestReport run(const RequestWork& work, const std::optional<admission::Decision>& first,
                    const PieceObserver& on_piece) const;
  /// Gives an unused placement back.
  void release(const RequestWork& work, const admission::Decision& decision) const;

 private:
  std::optional<admission::Decision> askAdmission(const RequestWork& work, bool retry,
                                                  const std::vector<EngineId>& avoid) const;
  engine::StreamEnd stream(const RequestWork& work, const admission::Placement& placement,
                           int attempt_number, upstream::RequestDriver& driver,
                           const PieceObserver& on_piece, RequestReport& report) const;

  const NodeHandle& node_;
  engine::EngineClientSharedPtr engines_;
};

}  // namespace linenpier::daemon
