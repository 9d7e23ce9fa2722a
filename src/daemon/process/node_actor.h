#pragma once

/// @file
/// The CAF actor that owns a daemon's core: it feeds events in and has the effects carried out.

#include <caf/all.hpp>
#include <functional>
#include <map>
#include <memory>

#include "daemon/process/node_handle.h"

namespace linenpier::daemon {

/// Carries out one effect without blocking; called on the node actor's thread.
using EffectSink = std::function<void(const node::Effect&)>;

struct NodeActorState {
  std::unique_ptr<node::NodeCore> core;
  EffectSink sink;
  std::map<RequestId, caf::response_promise> admissions;  ///< Callers that wait for a decision.
  std::map<std::uint64_t, caf::response_promise> pulls;   ///< Callers that wait for a pull status.
  std::uint64_t next_pull = 1;
  bool ended = false;  ///< No event is handled any more; every question is answered at once.
};

/// Behaviour of the node actor.
/// @param options of the core.
/// @param sink carries out effects that are not answers to callers.
caf::behavior nodeActor(caf::stateful_actor<NodeActorState>* self, node::NodeOptions options,
                        EffectSink sink);

}  // namespace linenpier::daemon
