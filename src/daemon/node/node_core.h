#pragma once

/// @file
/// All decisions of one daemon: (state, event) -> (state, effects). No clock, socket or thread, so
/// that many daemons can live in one process and run in virtual time.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "daemon/node/events.h"
#include "daemon/ownership/engine_ownership.h"
#include "daemon/rollout/sample_worker.h"
#include "daemon/weights/weight_rollout.h"

namespace linenpier::node {

struct NodeOptions {
  wire::MemberRecord self;
  std::uint64_t seed = 0;
  std::string routing_policy = "corrected-load";
  membership::MembershipOptions membership;
  upstream::DirectoryOptions directory;
  admission::AdmissionOptions admission;
  ownership::OwnershipOptions ownership;
  weights::WeightRolloutOptions weights;
  rollout::CoordinatorOptions coordinator;
  rollout::WorkerOptions worker;
  Duration machine_list_period = std::chrono::seconds(2);
  Duration model_head_period = std::chrono::seconds(1);
  Duration hinted_read_pause =
      std::chrono::milliseconds(50);  ///< Between reads that pulls hint at.
  Duration config_period = std::chrono::seconds(4);
  Duration zone_load_period = std::chrono::seconds(1);
  Duration zone_digest_period = std::chrono::seconds(3);
  Duration full_report_period =
      std::chrono::seconds(3);                       ///< Unchanged engines are told this often.
  Duration settling_time = std::chrono::seconds(3);  ///< From the start until requests are served.
};

/// Counts and states for metrics and `status`.
struct NodeStatus {
  wire::MemberRecord self;
  std::vector<wire::MemberRecord> members;
  std::vector<upstream::EngineState> engines;
  std::vector<wire::ModelHead> heads;
  Revision config_revision = 0;
  bool ready = false;
  std::size_t queued = 0;
  std::size_t in_flight = 0;
  std::size_t samples_running = 0;
  std::size_t engines_assigned = 0;
  std::uint64_t claims_made = 0;
  rollout::StepCoordinator::Status coordinator;
};

/// One daemon's decisions. One owner, one thread.
class NodeCore {
 public:
  explicit NodeCore(NodeOptions options);

  /// Handles one event. `now` must not go back from call to call.
  Effects handle(Instant now, const Event& event);

  /// @return whether requests may be served: a configuration is known to be current enough, and
  /// there was time to hear of the other zones' engines.
  bool ready() const { return config_ready_ && settled_ && !stopping_; }
  NodeStatus status() const;
  std::optional<admission::Explanation> explain(const RequestId& request) const;
  const config::ConfigState& config() const { return config_; }

 private:
  void on(Instant now, const Tick& event);
  void on(Instant now, const DatagramArrived& event);
  void on(Instant now, const MachineListRead& event);
  void on(Instant now, const LoadRead& event);
  void on(Instant now, const ModelHeadRead& event);
  void on(Instant now, const ConfigRead& event);
  void on(Instant now, const ConfigCommitted& event);
  void on(Instant now, const ClaimDone& event);
  void on(Instant now, const OrderDone& event);
  void on(Instant now, const AdmitRequest& event);
  void on(Instant now, const WithdrawRequest& event);
  void on(Instant now, const StreamEnded& event);
  void on(Instant now, const SampleAdvanced& event);
  void on(Instant now, const SampleFinished& event);
  void on(Instant now, const StepSubmitted& event);
  void on(Instant now, const PullArrived& event);
  void on(Instant now, const StepRead& event);
  void on(Instant now, const CommitDone& event);
  void on(Instant now, const StopRequested& event);

  void receive(Instant now, const DaemonId& from, const wire::Probe& message);
  void receive(Instant now, const DaemonId& from, const wire::ProbeAck& message);
  void receive(Instant now, const DaemonId& from, const wire::IndirectProbe& message);
  void receive(Instant now, const DaemonId& from, const wire::ZoneLoad& message);
  void receive(Instant now, const DaemonId& from, const wire::ZoneDigest& message);
  void receive(Instant now, const DaemonId& from, const wire::PlacementRequest& message);
  void receive(Instant now, const DaemonId& from, const wire::PlacementAnswer& message);
  void receive(Instant now, const DaemonId& from, const wire::ConfigRequest& message);
  void receive(Instant now, const DaemonId& from, const wire::ConfigItems& message);
  void receive(Instant now, const DaemonId& from, const wire::StepNotice& message);
  void receive(Instant now, const DaemonId& from, const wire::PullRequest& message);
  void receive(Instant now, const DaemonId& from, const wire::PullAnswer& message);
  void receive(Instant now, const DaemonId& from, const wire::SampleOrder& message);
  void receive(Instant now, const DaemonId& from, const wire::SampleProgress& message);
  void receive(Instant now, const DaemonId& from, const wire::SampleCancel& message);
  void receive(Instant now, const DaemonId& from, const wire::SampleResult& message);
  void receive(Instant now, const DaemonId& from, const wire::SampleResultAck& message);

  void emit(Effect effect) { effects_.push_back(std::move(effect)); }
  void send(const Address& to, wire::Message message);
  void sendAll(std::vector<wire::Outgoing> messages);
  void sendTo(const DaemonId& to, wire::Message message);
  void applyAdmission(const admission::AdmissionOutput& output);
  void learnHead(const wire::ModelHead& head);
  /// A trainer publishes its version before it pulls, so a pull is a hint to look for new weights.
  void learnFromPull(Instant now, const rollout::StepKey& step, WeightVersion trainer_version);
  void learnFacts(const DaemonId& from, const wire::Digest& digest);
  void applyConfig(const std::vector<wire::ConfigItem>& items, Revision complete_to);
  void readPlatform(Instant now);
  void watchEngines(Instant now);
  void tellZone(Instant now);
  void tellOtherZones(Instant now);
  void coordinateSteps(Instant now);
  void reportSamples(Instant now);
  void renewMembers();
  const std::vector<wire::MemberRecord>& zoneMembers(const ZoneName& zone) const;
  wire::Digest facts() const;
  std::map<ModelName, std::vector<rollout::ZoneCapacity>> capacity(
      Instant now, const std::set<ModelName>& models) const;
  std::optional<wire::MemberRecord> coordinatorOf(const TenantId& tenant,
                                                  const TrainerId& trainer) const;
  std::optional<wire::MemberRecord> someMemberOf(const ZoneName& zone);
  std::uint32_t stalenessBound(const rollout::StepKey& step) const;

  NodeOptions options_;
  Random random_;
  membership::Membership membership_;
  upstream::EngineDirectory directory_;
  admission::AdmissionController admission_;
  ownership::EngineOwnership ownership_;
  weights::WeightRollout weights_;
  config::ConfigState config_;
  rollout::StepCoordinator coordinator_;
  rollout::SampleWorker worker_;

  Effects effects_;            ///< Of the event being handled.
  bool config_ready_ = false;  ///< Some source confirmed the configuration.
  bool settled_ = false;       ///< Others had time to tell their state.
  bool stopping_ = false;
  bool reading_config_ = false;
  bool reading_machines_ = false;
  bool table_answered_ = false;  ///< The table answered since the start.
  Instant started_{};
  Instant next_machine_list_{};
  Instant next_model_head_{};
  Instant next_hinted_read_{};
  Instant next_config_{};
  Instant next_zone_load_{};
  Instant next_zone_digest_{};
  Instant next_full_report_{};
  std::map<EngineId, wire::EngineReport> told_;   ///< Reports as last told to the zone.
  std::map<std::uint64_t, std::uint64_t> pulls_;  ///< Our pull sequences to shell tickets.
  std::uint64_t next_pull_ = 1;
  /// Live members, all and by zone; renewed whenever membership changes.
  std::vector<wire::MemberRecord> alive_;
  std::map<ZoneName, std::vector<wire::MemberRecord>> alive_by_zone_;
  std::uint64_t view_revision_ = 0;  ///< Grows whenever the two above are renewed.
  std::uint64_t assigned_view_ = 0;  ///< View and list that engines were assigned under.
  std::uint64_t assigned_list_revision_ = 0;
};

}  // namespace linenpier::node
