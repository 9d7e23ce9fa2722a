/// @file
/// How a daemon's core reacts to each message from another daemon.

#include "daemon/node/node_core.h"
#include "daemon/node/table_grace.h"

namespace linenpier::node {

namespace {
constexpr std::size_t kConfigAnswerBytes = 16 * 1024;
}  // namespace

void NodeCore::on(Instant now, const DatagramArrived& event) {
  const DaemonId& from = event.envelope.from;
  std::visit([&](const auto& message) { receive(now, from, message); }, event.envelope.message);
}

void NodeCore::receive(Instant now, const DaemonId& from, const wire::Probe& message) {
  sendAll(membership_.onProbe(now, from, message, facts()));
  learnFacts(from, message.digest);
}

void NodeCore::receive(Instant now, const DaemonId& from, const wire::ProbeAck& message) {
  sendAll(membership_.onProbeAck(now, from, message));
  learnFacts(from, message.digest);
}

void NodeCore::receive(Instant now, const DaemonId& from, const wire::IndirectProbe& message) {
  sendAll(membership_.onIndirectProbe(now, from, message, facts()));
}

void NodeCore::receive(Instant now, const DaemonId& /*from*/, const wire::ZoneLoad& message) {
  for (const wire::CompactReport& report : message.engines) {
    const EngineId* engine = directory_.idOf(report.engine_key);
    // What this daemon reads itself is fresher than what it is told.
    if (engine != nullptr && !ownership_.isAssigned(*engine)) {
      directory_.onCompactReport(now, report);
    }
  }
  applyAdmission(admission_.onTick(now));
}

void NodeCore::receive(Instant now, const DaemonId& /*from*/, const wire::ZoneDigest& message) {
  directory_.onZoneDigest(now, message);
  if (message.relayed || message.zone == options_.self.zone) return;
  wire::ZoneDigest copy = message;
  copy.relayed = true;
  for (const wire::MemberRecord& member : zoneMembers(options_.self.zone)) {
    if (member.id != options_.self.id) send(member.address, copy);
  }
}

void NodeCore::receive(Instant now, const DaemonId& from, const wire::PlacementRequest& message) {
  sendTo(from, admission_.placeForPeer(now, message));
}

void NodeCore::receive(Instant now, const DaemonId& /*from*/,
                       const wire::PlacementAnswer& message) {
  applyAdmission(admission_.onRemotePlacement(now, message));
}

void NodeCore::receive(Instant /*now*/, const DaemonId& from, const wire::ConfigRequest& message) {
  if (config_.revision() <= message.have && config_.revision() != 0) {
    sendTo(from, wire::ConfigItems{message.have, config_.revision(), {}});
    return;
  }
  if (config_ready_) sendTo(from, config_.itemsSince(message.have, kConfigAnswerBytes));
}

void NodeCore::receive(Instant now, const DaemonId& from, const wire::ConfigItems& message) {
  const bool follows = message.since <= config_.revision();
  applyConfig(message.items, follows ? message.complete_to : config_.revision());
  if (!follows) {
    sendTo(from, wire::ConfigRequest{config_.revision()});
    return;
  }
  const bool table_down = !table_answered_ && now - started_ >= kTableGrace;
  if (table_down && message.complete_to > 0) config_ready_ = true;
  // A long answer comes in parts: each part asks for the next.
  const bool more = message.items.size() > 1;
  if (more) sendTo(from, wire::ConfigRequest{config_.revision()});
}

void NodeCore::receive(Instant now, const DaemonId& /*from*/, const wire::StepNotice& message) {
  if (coordinator_.onNotice(now, message.step)) coordinateSteps(now);
}

void NodeCore::receive(Instant now, const DaemonId& from, const wire::PullRequest& message) {
  const auto status = coordinator_.onPull(now, message.step, message.trainer_version);
  sendTo(from, wire::PullAnswer{message.sequence, status});
  coordinateSteps(now);
}

void NodeCore::receive(Instant /*now*/, const DaemonId& /*from*/, const wire::PullAnswer& message) {
  const auto ticket = pulls_.find(message.sequence);
  if (ticket == pulls_.end()) return;
  emit(AnswerPull{ticket->second, message.status});
  pulls_.erase(ticket);
}

void NodeCore::receive(Instant now, const DaemonId& from, const wire::SampleOrder& message) {
  if (stopping_) {
    sendTo(from, wire::SampleResult{message.sample, false, {}, {}});
    return;
  }
  switch (worker_.onOrder(now, message)) {
    case rollout::SampleWorker::Acceptance::kStart:
      emit(StartSample{message});
      break;
    case rollout::SampleWorker::Acceptance::kFull:
      sendTo(from, wire::SampleResult{message.sample, false, {}, {}});
      break;
    case rollout::SampleWorker::Acceptance::kAlreadyKnown:
      break;
  }
}

void NodeCore::receive(Instant now, const DaemonId& from, const wire::SampleProgress& message) {
  coordinator_.onProgress(now, from, message);
}

void NodeCore::receive(Instant /*now*/, const DaemonId& /*from*/,
                       const wire::SampleCancel& message) {
  for (const rollout::SampleKey& sample : worker_.onCancel(message)) emit(StopSample{sample});
}

void NodeCore::receive(Instant now, const DaemonId& from, const wire::SampleResult& message) {
  coordinator_.onResult(now, message);
  sendTo(from, wire::SampleResultAck{message.sample});
}

void NodeCore::receive(Instant /*now*/, const DaemonId& /*from*/,
                       const wire::SampleResultAck& message) {
  worker_.onAck(message.sample);
}

}  // namespace linenpier::node
