#include "daemon/admission/admission_controller.h"

#include <algorithm>
#include <utility>

namespace linenpier::admission {

using upstream::EngineState;

namespace {

bool contains(const std::vector<EngineId>& engines, const EngineId& engine) {
  return std::find(engines.begin(), engines.end(), engine) != engines.end();
}

}  // namespace

const char* refusalCode(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
      return "queue-full";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kNoEngine:
      return "no-engine";
    case RefusalReason::kRetryBudget:
      return "retry-budget";
    case RefusalReason::kShuttingDown:
      return "shutting-down";
  }
  return "unknown";
}

AdmissionController::AdmissionController(upstream::EngineDirectory& directory,
                                         upstream::RoutingPolicyPtr policy,
                                         AdmissionOptions options)
    : directory_(directory), policy_(std::move(policy)), options_(options) {}

AdmissionOutput AdmissionController::submit(Instant now, Ticket ticket,
                                            std::uint32_t tenant_bound) {
  AdmissionOutput out;
  if (stopping_) {
    refuse(now, ticket, RefusalReason::kShuttingDown, out);
    return out;
  }
  retry_budget_.onRequest();
  enqueue(now, std::move(ticket), tenant_bound, out);
  return out;
}

AdmissionOutput AdmissionController::resubmit(Instant now, Ticket ticket,
                                              std::uint32_t tenant_bound) {
  AdmissionOutput out;
  if (stopping_ && ticket.hand_over) {
    refuse(now, ticket, RefusalReason::kShuttingDown, out);
    return out;
  }
  if (!retry_budget_.tryRetry()) {
    refuse(now, ticket, RefusalReason::kRetryBudget, out);
    return out;
  }
  enqueue(now, std::move(ticket), tenant_bound, out);
  return out;
}

void AdmissionController::enqueue(Instant now, Ticket ticket, std::uint32_t tenant_bound,
                                  AdmissionOutput& out) {
  ticket.enqueued = now;
  if (!queue_.push(ticket, tenant_bound)) {
    refuse(now, ticket, RefusalReason::kQueueFull, out);
    return;
  }
  drain(now, out);
}

AdmissionOutput AdmissionController::onTick(Instant now) {
  AdmissionOutput out;
  for (auto it = wished_.begin(); it != wished_.end();) {
    if (now - it->second.sent < options_.remote_timeout) {
      ++it;
      continue;
    }
    // The zone did not answer: the ticket goes back to this daemon's queue.
    queue_.push(std::move(it->second.ticket), UINT32_MAX);
    it = wished_.erase(it);
  }
  for (const Ticket& ticket : queue_.takeExpired(now)) {
    refuse(now, ticket, RefusalReason::kDeadline, out);
  }
  drain(now, out);
  return out;
}

AdmissionOutput AdmissionController::onStreamEnded(Instant now, const TenantId& tenant,
                                                   const EngineId& engine, bool healthy) {
  AdmissionOutput out;
  directory_.onStreamEnded(now, engine, healthy);
  if (total_in_flight_ > 0) --total_in_flight_;
  const auto count = tenant_in_flight_.find(tenant);
  if (count != tenant_in_flight_.end() && --count->second == 0) tenant_in_flight_.erase(count);
  drain(now, out);
  return out;
}

AdmissionOutput AdmissionController::onRemotePlacement(Instant now,
                                                       const wire::PlacementAnswer& answer) {
  AdmissionOutput out;
  auto wished = wished_.extract(answer.sequence);
  if (wished.empty()) return out;  // Too late: the ticket went back to the queue or is decided.
  const Ticket& ticket = wished.mapped().ticket;
  if (answer.engine.empty()) {
    queue_.push(ticket, UINT32_MAX);
    drain(now, out);
  } else {
    place(now, ticket, {answer.engine, answer.url}, {{answer.engine, 0, "placed by its zone"}},
          out);
  }
  return out;
}

wire::PlacementAnswer AdmissionController::placeForPeer(Instant now,
                                                        const wire::PlacementRequest& request) {
  wire::PlacementAnswer answer{request.sequence, {}, {}};
  if (stopping_) return answer;
  const auto choice =
      chooseEngine(now, request.model, request.minimum_version, request.prefix_hash, {});
  if (!choice) return answer;
  answer.engine = choice->engine;
  answer.url = directory_.find(choice->engine)->seed.url;
  // The stream is the peer's, but until the next report only this daemon knows of it.
  directory_.onPeerStreamPlaced(choice->engine);
  return answer;
}

AdmissionOutput AdmissionController::stop(Instant now) {
  AdmissionOutput out;
  stopping_ = true;
  for (const Ticket& ticket : queue_.takeHandOvers()) {
    refuse(now, ticket, RefusalReason::kShuttingDown, out);
  }
  return out;
}

void AdmissionController::withdraw(const RequestId& request) {
  queue_.remove(request);
  last_wish_.erase(request);
  for (auto it = wished_.begin(); it != wished_.end(); ++it) {
    if (it->second.ticket.request != request) continue;
    wished_.erase(it);
    return;
  }
}

std::optional<Explanation> AdmissionController::explain(const RequestId& request) const {
  const auto found = std::find_if(explanations_.rbegin(), explanations_.rend(),
                                  [&](const Explanation& e) { return e.request == request; });
  if (found == explanations_.rend()) return std::nullopt;
  return *found;
}

bool AdmissionController::tryStart(Instant now, const Ticket& ticket, AdmissionOutput& out) {
  const auto in_flight = tenant_in_flight_.find(ticket.tenant);
  if (in_flight != tenant_in_flight_.end() && in_flight->second >= ticket.max_in_flight) {
    return false;
  }
  auto choice =
      chooseEngine(now, ticket.model, ticket.minimum_version, ticket.prefix_hash, ticket.avoid);
  if (choice) {
    const Placement placement{choice->engine, directory_.find(choice->engine)->seed.url};
    place(now, ticket, placement, std::move(choice->scores), out);
    return true;
  }
  const bool nothing_here = !directory_.servesModel(ticket.model);
  const auto zones = directory_.zonesWith(now, ticket.model, ticket.minimum_version);
  if (zones.empty() && nothing_here && now - ticket.enqueued >= options_.no_engine_grace) {
    refuse(now, ticket, RefusalReason::kNoEngine, out);
    return true;
  }
  const auto last = last_wish_.find(ticket.request);
  const bool may_wish = last == last_wish_.end() || now - last->second >= options_.remote_pause;
  if (zones.empty() || !may_wish) return false;
  wishElsewhere(now, ticket, out);
  return true;
}

std::optional<upstream::RoutingChoice> AdmissionController::chooseEngine(
    Instant now, const ModelName& model, WeightVersion minimum_version, std::uint64_t prefix_hash,
    const std::vector<EngineId>& avoid) {
  std::vector<const EngineState*> with_room;
  for (const EngineState* engine : directory_.candidates(now, model, minimum_version)) {
    const bool room = engine->expectedLoad() < engine->report.slots;
    if (room && !contains(avoid, engine->seed.id)) with_room.push_back(engine);
  }
  return policy_->choose(with_room, {prefix_hash});
}

void AdmissionController::wishElsewhere(Instant now, const Ticket& ticket, AdmissionOutput& out) {
  const auto zones = directory_.zonesWith(now, ticket.model, ticket.minimum_version);
  const std::uint64_t sequence = next_sequence_++;
  last_wish_[ticket.request] = now;
  wished_[sequence] = {ticket, now};
  // Free zones come first; later tries of the same ticket go on to the next ones.
  const ZoneName zone = zones[sequence % std::min<std::size_t>(zones.size(), 2)].zone;
  out.remote_wishes.push_back(
      {zone, {sequence, ticket.tenant, ticket.model, ticket.minimum_version, ticket.prefix_hash}});
}

void AdmissionController::drain(Instant now, AdmissionOutput& out) {
  queue_.drain([&](const Ticket& ticket) { return tryStart(now, ticket, out); });
}

void AdmissionController::place(Instant now, const Ticket& ticket, const Placement& placement,
                                std::vector<upstream::ScoredEngine> scores, AdmissionOutput& out) {
  directory_.onStreamStarted(placement.engine);
  ++tenant_in_flight_[ticket.tenant];
  ++total_in_flight_;
  last_wish_.erase(ticket.request);
  remember({ticket.request, ticket.tenant, placement.engine.str(), std::move(scores),
            now - ticket.enqueued});
  out.decisions.push_back({ticket.request, placement});
}

void AdmissionController::refuse(Instant now, const Ticket& ticket, RefusalReason reason,
                                 AdmissionOutput& out) {
  last_wish_.erase(ticket.request);
  remember({ticket.request, ticket.tenant, refusalCode(reason), {}, now - ticket.enqueued});
  out.decisions.push_back({ticket.request, Refusal{reason, retryAfter(reason)}});
}

void AdmissionController::remember(Explanation explanation) {
  explanations_.push_back(std::move(explanation));
  if (explanations_.size() > options_.explanations) explanations_.pop_front();
}

Duration AdmissionController::retryAfter(RefusalReason reason) const {
  switch (reason) {
    case RefusalReason::kShuttingDown:
      return std::chrono::seconds(1);
    case RefusalReason::kNoEngine:
      return std::chrono::seconds(5);
    case RefusalReason::kQueueFull:
    case RefusalReason::kDeadline:
    case RefusalReason::kRetryBudget:
      return std::chrono::seconds(2);
  }
  return std::chrono::seconds(1);
}

}  // namespace linenpier::admission
