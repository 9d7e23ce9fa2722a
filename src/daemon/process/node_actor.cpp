#include "daemon/process/node_actor.h"

namespace linenpier::daemon {

namespace {

using Self = caf::stateful_actor<NodeActorState>;

constexpr auto kTickPeriod = std::chrono::milliseconds(50);

admission::Decision shutDownDecision(const RequestId& request) {
  return {request,
          admission::Refusal{admission::RefusalReason::kShuttingDown, std::chrono::seconds(1)}};
}

void answer(Self* self, const node::AnswerAdmission& effect) {
  auto& admissions = self->state.admissions;
  const auto waiting = admissions.find(effect.decision.request);
  if (waiting == admissions.end()) return;
  waiting->second.deliver(AdmitReply{effect.decision});
  admissions.erase(waiting);
}

void answer(Self* self, const node::AnswerPull& effect) {
  auto& pulls = self->state.pulls;
  const auto waiting = pulls.find(effect.ticket);
  if (waiting == pulls.end()) return;
  waiting->second.deliver(PullReply{effect.status});
  pulls.erase(waiting);
}

void end(Self* self) {
  self->state.ended = true;
  for (auto& [request, promise] : self->state.admissions) {
    promise.deliver(AdmitReply{shutDownDecision(request)});
  }
  self->state.admissions.clear();
  for (auto& [ticket, promise] : self->state.pulls) promise.deliver(PullReply{});
  self->state.pulls.clear();
}

void feed(Self* self, const node::Event& event) {
  if (self->state.ended) return;
  for (const node::Effect& effect : self->state.core->handle(steadyNow(), event)) {
    if (const auto* admission = std::get_if<node::AnswerAdmission>(&effect)) {
      answer(self, *admission);
    } else if (const auto* pull = std::get_if<node::AnswerPull>(&effect)) {
      answer(self, *pull);
    } else {
      self->state.sink(effect);
    }
  }
}

void withdraw(Self* self, const RequestId& request) {
  self->state.admissions.erase(request);
}

}  // namespace

caf::behavior nodeActor(Self* self, node::NodeOptions options, EffectSink sink) {
  self->state.core = std::make_unique<node::NodeCore>(std::move(options));
  self->state.sink = std::move(sink);
  self->delayed_send(self, kTickPeriod, caf::tick_atom_v);
  return {
      [self](caf::tick_atom) {
        if (!self->state.ended) self->delayed_send(self, kTickPeriod, caf::tick_atom_v);
        feed(self, node::Tick{});
      },
      [self](const EventMessage& message) {
        if (const auto* gone = std::get_if<node::WithdrawRequest>(&message.event)) {
          withdraw(self, gone->request);
        }
        feed(self, message.event);
      },
      [self](const AdmitCall& call) -> caf::result<AdmitReply> {
        auto promise = self->make_response_promise();
        if (self->state.ended) {
          promise.deliver(AdmitReply{shutDownDecision(call.request.ticket.request)});
          return promise;
        }
        self->state.admissions[call.request.ticket.request] = promise;
        feed(self, call.request);
        return promise;
      },
      [self](const PullCall& call) -> caf::result<PullReply> {
        auto promise = self->make_response_promise();
        if (self->state.ended) {
          promise.deliver(PullReply{});
          return promise;
        }
        const std::uint64_t ticket = self->state.next_pull++;
        self->state.pulls[ticket] = promise;
        feed(self, node::PullArrived{ticket, call.step, call.trainer_version});
        return promise;
      },
      [self](const ShutdownMessage&) { end(self); },
      [self](const StatusCall&) { return StatusReply{self->state.core->status()}; },
      [self](const ExplainCall& call) {
        return ExplainReply{self->state.core->explain(call.request)};
      },
      [self](const ConfigCall& call) {
        const config::ConfigState& config = self->state.core->config();
        return ConfigReply{config.list(call.prefix), config.revision()};
      },
  };
}

}  // namespace linenpier::daemon
