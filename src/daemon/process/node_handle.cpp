#include "daemon/process/node_handle.h"

namespace linenpier::daemon {

namespace {
constexpr Duration kQueryLimit = std::chrono::seconds(2);
}

template <typename Reply, typename Call>
std::optional<Reply> NodeHandle::ask(Call call, Duration limit) const {
  caf::scoped_actor self(system_);
  std::optional<Reply> result;
  self->request(actor_, limit, std::move(call))
      .receive([&](const Reply& reply) { result = reply; }, [](const caf::error&) {});
  return result;
}

void NodeHandle::post(node::Event event) const {
  caf::anon_send(actor_, EventMessage{std::move(event)});
}

std::optional<admission::Decision> NodeHandle::admit(const node::AdmitRequest& request,
                                                     Duration limit) const {
  const auto reply = ask<AdmitReply>(AdmitCall{request}, limit);
  if (reply) return reply->decision;
  post(node::WithdrawRequest{request.ticket.request});
  return std::nullopt;
}

wire::PullStatus NodeHandle::pull(const rollout::StepKey& step, WeightVersion trainer_version,
                                  Duration limit) const {
  const auto reply = ask<PullReply>(PullCall{step, trainer_version}, limit);
  return reply ? reply->status : wire::PullStatus::kPending;
}

void NodeHandle::shutDown() const {
  caf::anon_send(actor_, ShutdownMessage{});
}

node::NodeStatus NodeHandle::status() const {
  const auto reply = ask<StatusReply>(StatusCall{}, kQueryLimit);
  return reply ? reply->status : node::NodeStatus{};
}

std::optional<admission::Explanation> NodeHandle::explain(const RequestId& request) const {
  const auto reply = ask<ExplainReply>(ExplainCall{request}, kQueryLimit);
  return reply ? reply->explanation : std::nullopt;
}

ConfigReply NodeHandle::config(const std::string& prefix) const {
  return ask<ConfigReply>(ConfigCall{prefix}, kQueryLimit).value_or(ConfigReply{});
}

}  // namespace linenpier::daemon
