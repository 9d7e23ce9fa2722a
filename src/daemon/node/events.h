#pragma once

/// @file
/// What happens to a daemon and what it wants done: the whole interface of its decision code.

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "daemon/admission/admission_controller.h"
#include "daemon/config/config_state.h"
#include "daemon/membership/membership.h"
#include "daemon/ports/engine_client.h"
#include "daemon/rollout/step_coordinator.h"
#include "daemon/wire/messages.h"

namespace linenpier::node {

// ---- Events: reported to the core by the shell. ----

/// Time has passed; sent about ten times a second.
struct Tick {};

/// An authenticated message came from another daemon.
struct DatagramArrived {
  wire::Envelope envelope;
};

/// The platform's machine list was read.
struct MachineListRead {
  std::vector<membership::MemberSeed> daemons;
  std::vector<upstream::EngineSeed> engines;
};

/// An engine's load was read; nothing if it did not answer.
struct LoadRead {
  EngineId engine;
  std::optional<wire::EngineReport> report;
};

/// The weight store's newest version of a model was read.
struct ModelHeadRead {
  wire::ModelHead head;
};

/// The configuration in the table was read; nothing if the table did not answer.
struct ConfigRead {
  bool answered = false;
  std::vector<wire::ConfigItem> items;
  Revision revision = 0;
};

/// This daemon committed a configuration change for an operator.
struct ConfigCommitted {
  wire::ConfigItem item;
};

struct ClaimDone {
  EngineId engine;
  std::optional<FencingToken> token;
};

struct OrderDone {
  EngineId engine;
  engine::FencedOrder order;
  engine::OrderOutcome outcome = engine::OrderOutcome::kFailed;
};

/// A caller's or a sample's request wants an engine.
struct AdmitRequest {
  admission::Ticket ticket;
  std::uint32_t tenant_queue_bound = 0;
  bool retry = false;  ///< A later try of a request that was admitted before.
};

struct WithdrawRequest {
  RequestId request;
};

struct StreamEnded {
  TenantId tenant;
  EngineId engine;
  bool healthy = true;
};

struct SampleAdvanced {
  rollout::SampleKey sample;
  std::uint32_t tokens = 0;
  WeightVersion oldest = 0;
};

/// A sample is whole and stored, or was given up.
struct SampleFinished {
  wire::SampleResult result;
};

/// A trainer submitted a step here, and its row is in the table.
struct StepSubmitted {
  rollout::StepKey step;
};

/// A trainer's pull arrived here; answered by `AnswerPull`.
struct PullArrived {
  std::uint64_t ticket = 0;  ///< Chosen by the shell.
  rollout::StepKey step;
  WeightVersion trainer_version = 0;
};

struct StepRead {
  rollout::StepKey step;
  std::optional<rollout::StepRow> row;
  std::optional<rollout::StepSpec> spec;
  std::vector<rollout::Sample> samples;
};

struct CommitDone {
  rollout::StepKey step;
  bool committed = false;
  bool final = false;  ///< The trainer has moved past the step: it can never be committed.
};

/// The daemon was told to stop.
struct StopRequested {};

using Event = std::variant<Tick, DatagramArrived, MachineListRead, LoadRead, ModelHeadRead,
                           ConfigRead, ConfigCommitted, ClaimDone, OrderDone, AdmitRequest,
                           WithdrawRequest, StreamEnded, SampleAdvanced, SampleFinished,
                           StepSubmitted, PullArrived, StepRead, CommitDone, StopRequested>;

// ---- Effects: carried out by the shell. ----

struct SendDatagram {
  wire::Outgoing outgoing;
};
struct ReadMachineList {};
struct ReadLoad {
  EngineId engine;
  std::string url;
};
struct ReadModelHead {
  ModelName model;
};
struct ReadConfig {
  Revision have = 0;  ///< The items need not be read if the head is still this.
};
struct ClaimEngine {
  EngineId engine;
};
struct SendOrder {
  EngineId engine;
  std::string url;
  engine::FencedOrder order;
};
struct AnswerAdmission {
  admission::Decision decision;
};
struct StartSample {
  wire::SampleOrder order;
};
struct StopSample {
  rollout::SampleKey sample;
};
struct ReadStep {
  rollout::StepKey step;
};
struct CommitStep {
  rollout::CommitOrder order;
};
struct AnswerPull {
  std::uint64_t ticket = 0;
  wire::PullStatus status = wire::PullStatus::kPending;
};
/// A newer configuration is in force.
struct ConfigInForce {
  config::SnapshotSharedPtr snapshot;
};

using Effect = std::variant<SendDatagram, ReadMachineList, ReadLoad, ReadModelHead, ReadConfig,
                            ClaimEngine, SendOrder, AnswerAdmission, StartSample, StopSample,
                            ReadStep, CommitStep, AnswerPull, ConfigInForce>;
using Effects = std::vector<Effect>;

}  // namespace linenpier::node
