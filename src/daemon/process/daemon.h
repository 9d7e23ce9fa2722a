#pragma once

/// @file
/// One whole daemon, assembled from its parts; the API is added by the main.

#include <caf/all.hpp>
#include <memory>

#include "daemon/process/effect_runner.h"
#include "daemon/process/node_actor.h"
#include "daemon/process/node_handle.h"
#include "daemon/settings/settings.h"

namespace linenpier::daemon {

/// Owns the actor system, the node actor, the transport and the effect runner.
class Daemon {
 public:
  /// @param on_refused_frame called with the reason, from the receiving thread.
  Daemon(settings::DaemonSettings settings, Services services,
         std::function<void(wire::FrameError)> on_refused_frame);
  ~Daemon();

  /// Binds the control address and starts working.
  tl::expected<void, Findings> start();
  /// Tells others that this daemon leaves; new work is refused from now on.
  void beginStop();
  /// Ends everything; streams must have ended before.
  void stop();

  const NodeHandle& node() const { return *node_; }
  EffectRunner& effects() { return *effects_; }
  const ConfigHolder& config() const { return config_; }
  const UdpTransport& transport() const { return transport_; }
  /// @return samples being made here.
  std::size_t samplesRunning() const { return node_->status().samples_running; }

 private:
  node::NodeOptions nodeOptions() const;

  settings::DaemonSettings settings_;
  std::function<void(wire::FrameError)> on_refused_frame_;
  wire::FrameCodec codec_;
  ConfigHolder config_;
  UdpTransport transport_;
  caf::actor_system_config actor_config_;
  std::unique_ptr<caf::actor_system> system_;
  std::unique_ptr<EffectRunner> effects_;
  caf::actor actor_;
  std::unique_ptr<NodeHandle> node_;
};

}  // namespace linenpier::daemon
