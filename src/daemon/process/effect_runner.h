#pragma once

/// @file
/// Carries out the core's effects: datagrams at once, platform calls on a pool of threads, samples
/// on a thread each.

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

#include "daemon/process/config_store.h"
#include "daemon/process/request_runner.h"
#include "daemon/process/services.h"
#include "daemon/process/step_store.h"
#include "daemon/process/udp_transport.h"
#include "daemon/wire/frame_codec.h"

namespace linenpier::daemon {

/// The configuration snapshot in force, readable from any thread.
class ConfigHolder {
 public:
  config::SnapshotSharedPtr get() const { return std::atomic_load(&snapshot_); }
  void set(config::SnapshotSharedPtr snapshot) {
    std::atomic_store(&snapshot_, std::move(snapshot));
  }

 private:
  config::SnapshotSharedPtr snapshot_ = std::make_shared<config::Snapshot>();
};

/// Owns the pool; `run` is called on the node actor's thread and never blocks.
class EffectRunner {
 public:
  EffectRunner(wire::MemberRecord self, Services services, const wire::FrameCodec& codec,
               UdpTransport& transport, ConfigHolder& config);
  ~EffectRunner();

  /// Must be called once before the first effect is run.
  void attach(const NodeHandle* node) { node_ = node; }
  void run(const node::Effect& effect);
  /// Stops the pools and tells all samples to end; a second call does nothing.
  void stop();
  /// Returns when the last sample's thread has ended its work.
  void waitForSamples();
  /// Runs a clean-up task that may take long; it delays nothing but other clean-up.
  void enqueue(std::function<void()> task) { background_pool_.enqueue(std::move(task)); }

 private:
  void on(const node::SendDatagram& effect);
  void on(const node::ReadMachineList& effect);
  void on(const node::ReadLoad& effect);
  void on(const node::ReadModelHead& effect);
  void on(const node::ReadConfig& effect);
  void on(const node::ClaimEngine& effect);
  void on(const node::SendOrder& effect);
  void on(const node::AnswerAdmission& effect) {}
  void on(const node::StartSample& effect);
  void on(const node::StopSample& effect);
  void on(const node::ReadStep& effect);
  void on(const node::CommitStep& effect);
  void on(const node::AnswerPull& effect) {}
  void on(const node::ConfigInForce& effect);

  void makeSample(const wire::SampleOrder& order, const std::shared_ptr<std::atomic<bool>>& stop);
  std::optional<FencingToken> claim(const EngineId& engine);
  AttemptId newAttempt();

  wire::MemberRecord self_;
  Services services_;
  const wire::FrameCodec& codec_;
  UdpTransport& transport_;
  ConfigHolder& config_;
  ConfigStore config_store_;
  StepStore step_store_;
  const NodeHandle* node_ = nullptr;
  httplib::ThreadPool pool_;        ///< Short platform calls.
  httplib::ThreadPool order_pool_;  ///< Orders to engines, which may take seconds.
  httplib::ThreadPool background_pool_;
  std::mutex mutex_;  ///< Guards the members below.
  bool stopped_ = false;
  Random random_;
  std::condition_variable samples_changed_;
  std::map<rollout::SampleKey, std::shared_ptr<std::atomic<bool>>> samples_;  ///< Stop marks.
};

}  // namespace linenpier::daemon
