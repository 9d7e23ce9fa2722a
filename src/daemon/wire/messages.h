#pragma once

/// @file
/// Messages between daemons. Each travels in one datagram; all may be lost, repeated or reordered,
/// so each is either a hint, idempotent, or tied to its answer by a sequence number.

#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/address.h"
#include "common/ids.h"

/// Gives a message type the compact wire form: no class header, no object tracking.
#define LINENPIER_WIRE_TYPE(type)                                             \
  BOOST_CLASS_IMPLEMENTATION(type, boost::serialization::object_serializable) \
  BOOST_CLASS_TRACKING(type, boost::serialization::track_never)

/// Serializes the named members in order.
#define LINENPIER_WIRE_FIELDS(...)                         \
  template <typename Archive>                              \
  void serialize(Archive& archive, unsigned /*version*/) { \
    ::linenpier::wire::serializeAll(archive, __VA_ARGS__); \
  }

namespace linenpier::wire {

template <typename Archive, typename... Fields>
void serializeAll(Archive& archive, Fields&... fields) {
  (void)(archive & ... & fields);
}

/// What a daemon believes of another one.
enum class MemberStatus : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };

/// One member as spread by gossip. A higher incarnation overrides a lower one; within an
/// incarnation a worse status overrides a better one.
struct MemberRecord {
  DaemonId id;
  Address address;  ///< Where it takes datagrams.
  ZoneName zone;
  RegionName region;
  std::uint64_t incarnation = 0;  ///< Raised only by the member itself.
  MemberStatus status = MemberStatus::kAlive;
  LINENPIER_WIRE_FIELDS(id, address, zone, region, incarnation, status)
};

/// The newest weight version known of a model.
struct ModelHead {
  ModelName model;
  WeightVersion version = 0;
  LINENPIER_WIRE_FIELDS(model, version)
};

/// Facts that ride on every probe, so that no extra message is needed to spread them.
struct Digest {
  Revision config_revision = 0;        ///< Newest configuration revision in force at the sender.
  std::vector<ModelHead> model_heads;  ///< Newest weights the sender knows.
  std::uint64_t view_hash = 0;  ///< Of the members that the sender believes live; 0: not told.
  std::vector<MemberRecord> members;  ///< Recent membership changes, bounded.
  LINENPIER_WIRE_FIELDS(config_revision, model_heads, view_hash, members)
};

/// Asks the receiver to answer with `ProbeAck`.
struct Probe {
  std::uint64_t sequence = 0;
  Digest digest;
  LINENPIER_WIRE_FIELDS(sequence, digest)
};

struct ProbeAck {
  std::uint64_t sequence = 0;  ///< From the probe answered.
  Digest digest;
  LINENPIER_WIRE_FIELDS(sequence, digest)
};

/// Asks the receiver to probe `target` on the sender's behalf and pass its ack on.
struct IndirectProbe {
  std::uint64_t sequence = 0;
  DaemonId target;
  Address target_address;
  LINENPIER_WIRE_FIELDS(sequence, target, target_address)
};

/// The state of one engine as its owner last read it.
struct EngineReport {
  EngineId engine;
  std::uint32_t running = 0;     ///< Sequences in the engine's batch.
  std::uint32_t waiting = 0;     ///< Sequences queued inside the engine.
  std::uint32_t slots = 0;       ///< Sequences the engine batches at most.
  WeightVersion version = 0;     ///< Weights in use.
  WeightVersion prefetched = 0;  ///< Newest weights loaded beside them.
  bool leaving = false;          ///< The engine asked for no new work.
  LINENPIER_WIRE_FIELDS(engine, running, waiting, slots, version, prefetched, leaving)
};

/// An engine's report in few bytes: the zone's whole traffic is mostly these.
struct CompactReport {
  std::uint32_t engine_key = 0;  ///< `engineKey` of the id; unique within a zone but for bad luck.
  std::uint32_t version = 0;     ///< Weights in use; versions stay far below 2^32.
  std::uint16_t running = 0;     ///< Capped at 65535, as the two below.
  std::uint16_t waiting = 0;
  std::uint16_t slots = 0;
  bool leaving = false;
  LINENPIER_WIRE_FIELDS(engine_key, version, running, waiting, slots, leaving)
};

/// Detail within a zone: the engines that the sender owns.
struct ZoneLoad {
  std::vector<CompactReport> engines;
  LINENPIER_WIRE_FIELDS(engines)
};

/// Sum over the engines of a zone that serve one model.
struct PoolDigest {
  ModelName model;
  std::uint32_t slots = 0;    ///< Sum of slots.
  std::uint32_t busy = 0;     ///< Sum of running and waiting sequences.
  std::uint32_t highest = 0;  ///< Newest version held; versions stay far below 2^32.
  LINENPIER_WIRE_FIELDS(model, slots, busy, highest)
};

/// Digest between zones: one message however many engines the zone has.
struct ZoneDigest {
  ZoneName zone;
  bool relayed = false;  ///< Passed on inside the receiving zone; not to be passed on again.
  std::vector<PoolDigest> pools;
  LINENPIER_WIRE_FIELDS(zone, relayed, pools)
};

/// Asks a daemon of another zone to choose an engine there.
struct PlacementRequest {
  std::uint64_t sequence = 0;
  TenantId tenant;
  ModelName model;
  WeightVersion minimum_version = 0;
  std::uint64_t prefix_hash = 0;
  LINENPIER_WIRE_FIELDS(sequence, tenant, model, minimum_version, prefix_hash)
};

struct PlacementAnswer {
  std::uint64_t sequence = 0;
  EngineId engine;  ///< Empty: no capacity.
  std::string url;  ///< Base URL of the engine.
  LINENPIER_WIRE_FIELDS(sequence, engine, url)
};

/// Asks for all configuration items newer than `have`.
struct ConfigRequest {
  Revision have = 0;
  LINENPIER_WIRE_FIELDS(have)
};

/// One template or tenant as stored.
struct ConfigItem {
  std::string key;        ///< "template/NAME" or "tenant/NAME".
  Revision revision = 0;  ///< Configuration revision of its last change.
  std::string document;   ///< JSON; empty if deleted.
  LINENPIER_WIRE_FIELDS(key, revision, document)
};

/// Every change after `since` up to `complete_to`, ascending by revision. A receiver that does not
/// have everything up to `since` may use the items but must not count itself complete.
struct ConfigItems {
  Revision since = 0;
  Revision complete_to = 0;
  std::vector<ConfigItem> items;
  LINENPIER_WIRE_FIELDS(since, complete_to, items)
};

/// Names one step of one trainer.
struct StepKey {
  TenantId tenant;
  TrainerId trainer;
  std::uint64_t step = 0;
  auto operator<=>(const StepKey&) const = default;
  LINENPIER_WIRE_FIELDS(tenant, trainer, step)
};

/// Tells the step's coordinator that its specification is in the object store.
struct StepNotice {
  StepKey step;
  LINENPIER_WIRE_FIELDS(step)
};

/// A trainer's pull, passed on to the step's coordinator.
struct PullRequest {
  std::uint64_t sequence = 0;
  StepKey step;
  WeightVersion trainer_version = 0;
  LINENPIER_WIRE_FIELDS(sequence, step, trainer_version)
};

enum class PullStatus : std::uint8_t { kPending = 0, kCommitted = 1, kRefused = 2 };

struct PullAnswer {
  std::uint64_t sequence = 0;
  PullStatus status = PullStatus::kPending;
  LINENPIER_WIRE_FIELDS(sequence, status)
};

/// Names one try at making one sample.
struct SampleKey {
  StepKey step;
  std::uint32_t index = 0;    ///< Position in the step's batch.
  std::uint32_t attempt = 0;  ///< Counts replacements, from 0.
  auto operator<=>(const SampleKey&) const = default;
  LINENPIER_WIRE_FIELDS(step, index, attempt)
};

/// Orders the receiver to make one sample with the engines of its zone.
struct SampleOrder {
  SampleKey sample;
  ModelName model;
  WeightVersion minimum_version = 0;
  std::uint32_t max_tokens = 0;
  std::string prompt;
  LINENPIER_WIRE_FIELDS(sample, model, minimum_version, max_tokens, prompt)
};

/// A run of tokens that one weight version produced.
struct VersionPiece {
  WeightVersion version = 0;
  std::uint32_t tokens = 0;
  bool operator==(const VersionPiece&) const = default;
  LINENPIER_WIRE_FIELDS(version, tokens)
};

struct SampleState {
  SampleKey sample;
  std::uint32_t tokens = 0;  ///< Tokens so far.
  WeightVersion oldest = 0;  ///< Oldest version among them; 0 before the first token.
  LINENPIER_WIRE_FIELDS(sample, tokens, oldest)
};

/// Samples the sender is working on for the receiver; silence means they are lost.
struct SampleProgress {
  std::vector<SampleState> running;
  LINENPIER_WIRE_FIELDS(running)
};

/// Orders the receiver to give up samples that were replaced.
struct SampleCancel {
  std::vector<SampleKey> samples;
  LINENPIER_WIRE_FIELDS(samples)
};

/// A finished sample; repeated until acknowledged.
struct SampleResult {
  SampleKey sample;
  bool ok = false;
  std::string text;
  std::vector<VersionPiece> pieces;
  LINENPIER_WIRE_FIELDS(sample, ok, text, pieces)
};

struct SampleResultAck {
  SampleKey sample;
  LINENPIER_WIRE_FIELDS(sample)
};

using Message =
    std::variant<Probe, ProbeAck, IndirectProbe, ZoneLoad, ZoneDigest, PlacementRequest,
                 PlacementAnswer, ConfigRequest, ConfigItems, StepNotice, PullRequest, PullAnswer,
                 SampleOrder, SampleProgress, SampleCancel, SampleResult, SampleResultAck>;

/// A message with its sender.
struct Envelope {
  DaemonId from;
  Message message;
};

/// A message to be sent.
struct Outgoing {
  Address to;
  Message message;
};

}  // namespace linenpier::wire

LINENPIER_WIRE_TYPE(linenpier::wire::MemberRecord)
LINENPIER_WIRE_TYPE(linenpier::wire::ModelHead)
LINENPIER_WIRE_TYPE(linenpier::wire::Digest)
LINENPIER_WIRE_TYPE(linenpier::wire::Probe)
LINENPIER_WIRE_TYPE(linenpier::wire::ProbeAck)
LINENPIER_WIRE_TYPE(linenpier::wire::IndirectProbe)
LINENPIER_WIRE_TYPE(linenpier::wire::EngineReport)
LINENPIER_WIRE_TYPE(linenpier::wire::CompactReport)
LINENPIER_WIRE_TYPE(linenpier::wire::ZoneLoad)
LINENPIER_WIRE_TYPE(linenpier::wire::PoolDigest)
LINENPIER_WIRE_TYPE(linenpier::wire::ZoneDigest)
LINENPIER_WIRE_TYPE(linenpier::wire::PlacementRequest)
LINENPIER_WIRE_TYPE(linenpier::wire::PlacementAnswer)
LINENPIER_WIRE_TYPE(linenpier::wire::ConfigRequest)
LINENPIER_WIRE_TYPE(linenpier::wire::ConfigItem)
LINENPIER_WIRE_TYPE(linenpier::wire::ConfigItems)
LINENPIER_WIRE_TYPE(linenpier::wire::StepKey)
LINENPIER_WIRE_TYPE(linenpier::wire::StepNotice)
LINENPIER_WIRE_TYPE(linenpier::wire::PullRequest)
LINENPIER_WIRE_TYPE(linenpier::wire::PullAnswer)
LINENPIER_WIRE_TYPE(linenpier::wire::SampleKey)
LINENPIER_WIRE_TYPE(linenpier::wire::SampleOrder)
LINENPIER_WIRE_TYPE(linenpier::wire::VersionPiece)
LINENPIER_WIRE_TYPE(linenpier::wire::SampleState)
LINENPIER_WIRE_TYPE(linenpier::wire::SampleProgress)
LINENPIER_WIRE_TYPE(linenpier::wire::SampleCancel)
LINENPIER_WIRE_TYPE(linenpier::wire::SampleResult)
LINENPIER_WIRE_TYPE(linenpier::wire::SampleResultAck)
