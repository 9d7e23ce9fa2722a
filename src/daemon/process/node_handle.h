#pragma once

/// @file
/// The daemon's core as other threads see it: events in, answers out. All members are thread-safe.

#include <caf/all.hpp>
#include <optional>
#include <string>
#include <vector>

#include "daemon/node/node_core.h"

namespace linenpier::daemon {

/// An event on its way to the node actor.
struct EventMessage {
  node::Event event;
};
/// Asks for an admission decision; answered by `AdmitReply` when there is one.
struct AdmitCall {
  node::AdmitRequest request;
};
struct AdmitReply {
  admission::Decision decision;
};
struct PullCall {
  rollout::StepKey step;
  WeightVersion trainer_version = 0;
};
struct PullReply {
  wire::PullStatus status = wire::PullStatus::kPending;
};
/// The daemon ends: everybody who still waits is answered.
struct ShutdownMessage {};
struct StatusCall {};
struct StatusReply {
  node::NodeStatus status;
};
struct ExplainCall {
  RequestId request;
};
struct ExplainReply {
  std::optional<admission::Explanation> explanation;
};
/// Asks for the configuration items under a key prefix.
struct ConfigCall {
  std::string prefix;
};
struct ConfigReply {
  std::vector<wire::ConfigItem> items;
  Revision revision = 0;
};

/// Facade over the node actor.
class NodeHandle {
 public:
  NodeHandle(caf::actor_system& system, caf::actor actor)
      : system_(system), actor_(std::move(actor)) {}

  void post(node::Event event) const;
  /// Waits for the decision. @return nothing if none came by the limit.
  std::optional<admission::Decision> admit(const node::AdmitRequest& request, Duration limit) const;
  wire::PullStatus pull(const rollout::StepKey& step, WeightVersion trainer_version,
                        Duration limit) const;
  node::NodeStatus status() const;
  std::optional<admission::Explanation> explain(const RequestId& request) const;
  ConfigReply config(const std::string& prefix) const;
  void shutDown() const;
  caf::actor_system& system() const { return system_; }

 private:
  template <typename Reply, typename Call>
  std::optional<Reply> ask(Call call, Duration limit) const;

  caf::actor_system& system_;
  caf::actor actor_;
};

}  // namespace linenpier::daemon

// Messages stay inside the process, so CAF need not serialize them.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::EventMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::AdmitCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::AdmitReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::PullCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::PullReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::ShutdownMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::StatusCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::StatusReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::ExplainCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::ExplainReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::ConfigCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(linenpier::daemon::ConfigReply)
