#pragma once

/// @file
/// Decides for each request: which engine now, wait, another zone, or a final refusal.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "daemon/admission/fair_queue.h"
#include "daemon/admission/retry_budget.h"
#include "daemon/upstream/engine_directory.h"
#include "daemon/upstream/routing_policy.h"

namespace linenpier::admission {

enum class RefusalReason {
  kQueueFull,     ///< The tenant already has as many requests waiting as it may.
  kDeadline,      ///< No engine had room before the deadline.
  kNoEngine,      ///< No live engine serves the model at the version wanted.
  kRetryBudget,   ///< A retry was due, but retries are used up.
  kShuttingDown,  ///< The daemon takes no new work.
};

/// @return the stable code of the reason, as callers see it.
const char* refusalCode(RefusalReason reason);

struct Placement {
  EngineId engine;
  std::string url;
};

struct Refusal {
  RefusalReason reason = RefusalReason::kNoEngine;
  Duration retry_after{};  ///< When asking again may help.
};

/// The final word on one ticket.
struct Decision {
  RequestId request;
  std::variant<Placement, Refusal> verdict;
};

/// A wish to place a ticket in another zone.
struct RemoteWish {
  ZoneName zone;
  wire::PlacementRequest placement;
};

struct AdmissionOutput {
  std::vector<Decision> decisions;
  std::vector<RemoteWish> remote_wishes;
};

/// Why a request went where it went; kept for the last requests only.
struct Explanation {
  RequestId request;
  TenantId tenant;
  std::string outcome;  ///< Engine id or refusal code.
  std::vector<upstream::ScoredEngine> scores;
  Duration waited{};
};

struct AdmissionOptions {
  Duration remote_timeout = std::chrono::milliseconds(150);  ///< Wait for another zone's answer.
  Duration remote_pause = std::chrono::milliseconds(100);    ///< Between wishes of one ticket.
  Duration no_engine_grace = std::chrono::seconds(3);        ///< Wait for some engine to appear.
  std::size_t explanations = 256;                            ///< Kept at most.
};

/// Pure state machine; one owner.
/// Invariant: each submitted ticket gets exactly one decision, unless it is withdrawn.
class AdmissionController {
 public:
  AdmissionController(upstream::EngineDirectory& directory, upstream::RoutingPolicyPtr policy,
                      AdmissionOptions options);

  AdmissionOutput submit(Instant now, Ticket ticket, std::uint32_t tenant_bound);
  /// A second or later try of an admitted request.
  AdmissionOutput resubmit(Instant now, Ticket ticket, std::uint32_t tenant_bound);
  AdmissionOutput onTick(Instant now);
  AdmissionOutput onStreamEnded(Instant now, const TenantId& tenant, const EngineId& engine,
                                bool healthy);
  /// Another zone's answer to a wish.
  AdmissionOutput onRemotePlacement(Instant now, const wire::PlacementAnswer& answer);
  /// Chooses an engine here for a daemon of another zone. @return an empty engine if none has room.
  wire::PlacementAnswer placeForPeer(Instant now, const wire::PlacementRequest& request);
  /// The caller has gone.
  void withdraw(const RequestId& request);
  /// From now on every new ticket is refused. Waiting callers are still served; samples that wait
  /// are refused, so that their coordinators order them elsewhere.
  AdmissionOutput stop(Instant now);

  std::size_t queued() const { return queue_.size(); }
  std::size_t inFlight() const { return total_in_flight_; }
  std::optional<Explanation> explain(const RequestId& request) const;

 private:
  /// A ticket that another zone was asked to place.
  struct SentWish {
    Ticket ticket;
    Instant sent{};
  };
  void enqueue(Instant now, Ticket ticket, std::uint32_t tenant_bound, AdmissionOutput& out);
  bool tryStart(Instant now, const Ticket& ticket, AdmissionOutput& out);
  std::optional<upstream::RoutingChoice> chooseEngine(Instant now, const ModelName& model,
                                                      WeightVersion minimum_version,
                                                      std::uint64_t prefix_hash,
                                                      const std::vector<EngineId>& avoid);
  void wishElsewhere(Instant now, const Ticket& ticket, AdmissionOutput& out);
  void drain(Instant now, AdmissionOutput& out);
  void place(Instant now, const Ticket& ticket, const Placement& placement,
             std::vector<upstream::ScoredEngine> scores, AdmissionOutput& out);
  void refuse(Instant now, const Ticket& ticket, RefusalReason reason, AdmissionOutput& out);
  void remember(Explanation explanation);
  Duration retryAfter(RefusalReason reason) const;

  upstream::EngineDirectory& directory_;
  upstream::RoutingPolicyPtr policy_;
  AdmissionOptions options_;
  FairQueue queue_;
  RetryBudget retry_budget_{0.1, 10.0};
  std::map<TenantId, std::uint32_t> tenant_in_flight_;  ///< Streams of each tenant here.
  std::size_t total_in_flight_ = 0;
  std::map<RequestId, Instant> last_wish_;    ///< Of tickets that wait.
  std::map<std::uint64_t, SentWish> wished_;  ///< Wishes under way, by sequence.
  std::uint64_t next_sequence_ = 1;
  std::deque<Explanation> explanations_;  ///< Newest last.
  bool stopping_ = false;
};

}  // namespace linenpier::admission
