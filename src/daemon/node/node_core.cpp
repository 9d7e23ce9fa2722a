#include "daemon/node/node_core.h"

#include <algorithm>
#include <utility>

#include "daemon/membership/rendezvous.h"
#include "daemon/node/table_grace.h"

namespace linenpier::node {

namespace {

constexpr std::size_t kPendingPulls = 1024;
/// Members of a zone tend to appear together: one digest serves them all.
constexpr Duration kNewZonePause = std::chrono::milliseconds(300);

}  // namespace

NodeCore::NodeCore(NodeOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      membership_(options_.self, options_.membership, options_.seed + 1),
      directory_(options_.self.zone, options_.directory),
      admission_(directory_,
                 upstream::makeRoutingPolicy(options_.routing_policy, options_.seed + 2),
                 options_.admission),
      ownership_(options_.self.id, options_.ownership),
      weights_(options_.weights),
      coordinator_(options_.coordinator),
      worker_(options_.worker) {
  renewMembers();
}

Effects NodeCore::handle(Instant now, const Event& event) {
  if (started_ == Instant{}) started_ = now;
  effects_.clear();
  std::visit([&](const auto& concrete) { on(now, concrete); }, event);
  const auto changes = membership_.takeChanges();
  if (!changes.empty()) {
    renewMembers();
    // A zone that has just come into sight is told of this one's engines at the next tick.
    const bool new_elsewhere = std::any_of(changes.begin(), changes.end(), [&](const auto& change) {
      return change.member.status == wire::MemberStatus::kAlive &&
             change.before == wire::MemberStatus::kDead && change.member.zone != options_.self.zone;
    });
    if (new_elsewhere) next_zone_digest_ = std::min(next_zone_digest_, now + kNewZonePause);
  }
  return std::exchange(effects_, {});
}

NodeStatus NodeCore::status() const {
  NodeStatus status;
  status.self = membership_.self();
  status.members = membership_.everyone();
  for (const auto& [id, engine] : directory_.engines()) status.engines.push_back(engine);
  status.heads = weights_.heads();
  status.config_revision = config_.revision();
  status.ready = ready();
  status.queued = admission_.queued();
  status.in_flight = admission_.inFlight();
  status.samples_running = worker_.running();
  status.engines_assigned = ownership_.assigned();
  status.claims_made = ownership_.claimsMade();
  status.coordinator = coordinator_.status();
  return status;
}

std::optional<admission::Explanation> NodeCore::explain(const RequestId& request) const {
  return admission_.explain(request);
}

// ---- Platform ----

void NodeCore::on(Instant now, const MachineListRead& event) {
  reading_machines_ = false;
  if (event.daemons.empty() && event.engines.empty()) return;  // Not read: keep what is known.
  membership_.onMachineList(now, event.daemons);
  directory_.onMachineList(event.engines);
}

void NodeCore::on(Instant now, const LoadRead& event) {
  ownership_.onPollDone(event.engine);
  if (!event.report) return;
  directory_.onReport(now, *event.report);
  applyAdmission(admission_.onTick(now));
}

void NodeCore::on(Instant /*now*/, const ModelHeadRead& event) {
  learnHead(event.head);
}

void NodeCore::on(Instant now, const ConfigRead& event) {
  reading_config_ = false;
  if (event.answered) {
    table_answered_ = true;
    config_ready_ = true;
    applyConfig(event.items, event.revision);
    return;
  }
  if (config_ready_ || now - started_ < kTableGrace) return;
  // The table is down: take the newest that any peer knows.
  for (const wire::MemberRecord& member : alive_) {
    if (member.id != options_.self.id)
      send(member.address, wire::ConfigRequest{config_.revision()});
  }
}

void NodeCore::on(Instant /*now*/, const ConfigCommitted& event) {
  // Others learn at once; what was committed in between is fetched from the table or from peers.
  if (event.item.revision == config_.revision() + 1) {
    applyConfig({event.item}, event.item.revision);
  } else {
    applyConfig({event.item}, config_.revision());
    next_config_ = Instant{};
    if (!reading_config_) {
      reading_config_ = true;
      emit(ReadConfig{config_.revision()});
    }
  }
  const wire::ConfigItems news{event.item.revision - 1, event.item.revision, {event.item}};
  for (const wire::MemberRecord& member : alive_) {
    if (member.id != options_.self.id) send(member.address, news);
  }
}

void NodeCore::on(Instant now, const ClaimDone& event) {
  ownership_.onClaimDone(now, event.engine, event.token);
}

void NodeCore::on(Instant now, const OrderDone& event) {
  if (event.outcome == engine::OrderOutcome::kFenced) ownership_.onFenced(now, event.engine);
  weights_.onOrderDone(now, event.engine, event.order, event.outcome);
  const bool flipped = event.outcome == engine::OrderOutcome::kDone &&
                       event.order.kind == engine::FencedOrder::Kind::kFlip;
  if (!flipped) return;
  // Samples may be waiting for just this version: the zone is told at once.
  directory_.onVersionConfirmed(now, event.engine, event.order.version);
  next_zone_load_ = now;
  next_zone_digest_ = now;
  tellZone(now);
  tellOtherZones(now);
  applyAdmission(admission_.onTick(now));
}

// ---- Requests ----

void NodeCore::on(Instant now, const AdmitRequest& event) {
  applyAdmission(event.retry ? admission_.resubmit(now, event.ticket, event.tenant_queue_bound)
                             : admission_.submit(now, event.ticket, event.tenant_queue_bound));
}

void NodeCore::on(Instant /*now*/, const WithdrawRequest& event) {
  admission_.withdraw(event.request);
}

void NodeCore::on(Instant now, const StreamEnded& event) {
  applyAdmission(admission_.onStreamEnded(now, event.tenant, event.engine, event.healthy));
}

void NodeCore::applyAdmission(const admission::AdmissionOutput& output) {
  for (const admission::Decision& decision : output.decisions) emit(AnswerAdmission{decision});
  for (const admission::RemoteWish& wish : output.remote_wishes) {
    if (const auto member = someMemberOf(wish.zone)) send(member->address, wish.placement);
  }
}

// ---- Samples and steps ----

void NodeCore::on(Instant /*now*/, const SampleAdvanced& event) {
  worker_.onStreamProgress(event.sample, event.tokens, event.oldest);
}

void NodeCore::on(Instant now, const SampleFinished& event) {
  worker_.onFinished(now, event.result);
  reportSamples(now);
}

void NodeCore::on(Instant now, const StepSubmitted& event) {
  const auto coordinator = coordinatorOf(event.step.tenant, event.step.trainer);
  if (!coordinator) return;
  if (coordinator->id != options_.self.id) {
    send(coordinator->address, wire::StepNotice{event.step});
    return;
  }
  receive(now, options_.self.id, wire::StepNotice{event.step});
}

void NodeCore::on(Instant now, const PullArrived& event) {
  learnFromPull(now, event.step, event.trainer_version);
  const auto coordinator = coordinatorOf(event.step.tenant, event.step.trainer);
  if (!coordinator) {
    emit(AnswerPull{event.ticket, wire::PullStatus::kPending});
    return;
  }
  if (coordinator->id == options_.self.id) {
    emit(AnswerPull{event.ticket, coordinator_.onPull(now, event.step, event.trainer_version)});
    coordinateSteps(now);
    return;
  }
  const std::uint64_t sequence = next_pull_++;
  pulls_[sequence] = event.ticket;
  if (pulls_.size() > kPendingPulls) pulls_.erase(pulls_.begin());
  send(coordinator->address, wire::PullRequest{sequence, event.step, event.trainer_version});
}

void NodeCore::on(Instant now, const StepRead& event) {
  coordinator_.onStepRead(now, event.step, event.row, event.spec, event.samples,
                          stalenessBound(event.step));
}

void NodeCore::on(Instant now, const CommitDone& event) {
  coordinator_.onCommitDone(now, event.step, event.committed, event.final);
}

void NodeCore::on(Instant now, const StopRequested& /*event*/) {
  if (stopping_) return;
  stopping_ = true;
  applyAdmission(admission_.stop(now));
  sendAll(membership_.leave(facts()));
  renewMembers();
}

// ---- Shared pieces ----

void NodeCore::send(const Address& to, wire::Message message) {
  emit(SendDatagram{{to, std::move(message)}});
}

void NodeCore::sendAll(std::vector<wire::Outgoing> messages) {
  for (wire::Outgoing& message : messages) emit(SendDatagram{std::move(message)});
}

void NodeCore::renewMembers() {
  ++view_revision_;
  alive_ = membership_.alive();
  alive_by_zone_.clear();
  for (const wire::MemberRecord& member : alive_) alive_by_zone_[member.zone].push_back(member);
}

const std::vector<wire::MemberRecord>& NodeCore::zoneMembers(const ZoneName& zone) const {
  static const std::vector<wire::MemberRecord> kNone;
  const auto found = alive_by_zone_.find(zone);
  return found == alive_by_zone_.end() ? kNone : found->second;
}

void NodeCore::sendTo(const DaemonId& to, wire::Message message) {
  if (const auto address = membership_.addressOf(to)) send(*address, std::move(message));
}

void NodeCore::learnHead(const wire::ModelHead& head) {
  if (!weights_.onHead(head)) return;
  coordinator_.onModelHead(head.model, head.version);
  wire::Digest news;
  news.model_heads.push_back(head);
  // The zone is told at once, and so is one member of each other zone, which tells its own.
  for (const auto& [zone, members] : alive_by_zone_) {
    const bool own = zone == options_.self.zone;
    const std::size_t first = own ? 0 : random_.below(members.size());
    const std::size_t last = own ? members.size() : first + 1;
    for (std::size_t i = first; i < last; ++i) {
      if (members[i].id != options_.self.id) send(members[i].address, wire::ProbeAck{0, news});
    }
  }
}

void NodeCore::learnFacts(const DaemonId& from, const wire::Digest& digest) {
  for (const wire::ModelHead& head : digest.model_heads) learnHead(head);
  if (digest.config_revision > config_.revision())
    sendTo(from, wire::ConfigRequest{config_.revision()});
}

void NodeCore::applyConfig(const std::vector<wire::ConfigItem>& items, Revision complete_to) {
  if (config_.apply(items, complete_to)) emit(ConfigInForce{config_.snapshot()});
}

void NodeCore::learnFromPull(Instant now, const rollout::StepKey& step,
                             WeightVersion trainer_version) {
  const config::Tenant* tenant = config_.snapshot()->findTenant(step.tenant);
  const config::TenantTrainer* trainer =
      tenant == nullptr ? nullptr : tenant->findTrainer(step.trainer);
  if (trainer == nullptr || trainer_version <= weights_.head(trainer->model)) return;
  // Only a hint: a trainer's word does not move engines that others may use.
  if (now < next_hinted_read_) return;
  next_hinted_read_ = now + options_.hinted_read_pause;
  emit(ReadModelHead{trainer->model});
}

wire::Digest NodeCore::facts() const {
  return {config_.revision(), weights_.heads(), 0, {}};
}

std::optional<wire::MemberRecord> NodeCore::coordinatorOf(const TenantId& tenant,
                                                          const TrainerId& trainer) const {
  const wire::MemberRecord* picked =
      rendezvousPick(alive_, "trainer/" + rollout::trainerKey(tenant, trainer));
  if (picked == nullptr) return std::nullopt;
  return *picked;
}

std::optional<wire::MemberRecord> NodeCore::someMemberOf(const ZoneName& zone) {
  const auto& members = zoneMembers(zone);
  if (members.empty()) return std::nullopt;
  return members[random_.below(members.size())];
}

std::uint32_t NodeCore::stalenessBound(const rollout::StepKey& step) const {
  const config::Tenant* tenant = config_.snapshot()->findTenant(step.tenant);
  const config::TenantTrainer* trainer =
      tenant == nullptr ? nullptr : tenant->findTrainer(step.trainer);
  return trainer == nullptr ? 0 : trainer->staleness_bound;
}

}  // namespace linenpier::node
