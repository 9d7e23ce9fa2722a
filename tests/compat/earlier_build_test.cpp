/// @file
/// Tests that this build and the previous one read each other's data, as both run during a rolling
/// upgrade. The data was recorded from the encoders of the previous build.

#include "batch_json_codec.h"
#include "gateway/batch/checkpoint.h"
#include "gateway/batch/job_store.h"
#include "gateway/lease/leader_lock.h"
#include "gateway/lease/lease_row.h"
#include "gateway/service/peer_snapshot.h"
#include "gateway/suspects/suspect_record.h"

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;

namespace {

constexpr char kLease[] = "0.480000@north;i-1,i-2|10.1.0.3:8166";
constexpr char kLeaderLock[] = "d-1#0123456789abcdef|98765";
constexpr char kJob[] =
    R"({"accepted_ms":1234567,"begun":true,"body_rows":2,"ended":false,"host":"h.example","model":"m",)"
    R"("owner":"d-1#0123456789abcdef","path":"/jobs/x","released":7,"tenant":"","total":208})";
constexpr char kSuspect[] =
    R"({"ends":2,"engines":["i-1","i-2"],"last_ms":4321,"tried_by":"d-1#0123456789abcdef",)"
    R"("tried_until_ms":5000})";
constexpr char kCheckpoint[] =
    "81a66b61667465725f6576656e74026866696e6973686564f4646974656d036a6c6173745f6576656e7405647465"
    "787463610a626876657273696f6e73820607";
constexpr char kSnapshot[] =
    R"({"closed_zones":{"north":6},"config_version":7,"configuration":"{}","engines":[{"key":)"
    R"("servers/i-1","revision":5,"value":"{\"service\":\"s\"}"}],"engines_revision":9,)"
    R"("suspects":[],"zones_revision":8})";
constexpr char kResult[] = R"({"id":"i","state":"completed","text":"a\nb","versions":[6,7]})";

std::string fromHex(const std::string& text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

}  // namespace

Test(earlier_build, leases_are_compatible) {
  const lease::lease_row read = lease::decodeLeaseRow(5, kLease);
  cr_assert_float_eq(read.capacity, 0.48, 1e-9);
  cr_assert_eq(read.zone.str(), "north");
  cr_assert(read.awaited == std::set<EngineId>({EngineId("i-1"), EngineId("i-2")}));
  const Address peer{0x0a010003, 8166};
  cr_assert(*read.peer == peer);
  const std::string written =
      lease::encodeLeaseRow({0, 0.48, peer, ZoneName("north"), {EngineId("i-1"), EngineId("i-2")}});
  cr_assert_eq(written, kLease);
}

Test(earlier_build, leader_locks_are_compatible) {
  const lease::leader_lock_row lock = lease::decodeLockRow(kLeaderLock);
  cr_assert_eq(lock.owner.str(), "d-1#0123456789abcdef");
  cr_assert_eq(lock.last_action_ms, 98765);
  cr_assert_eq(lease::encodeLockRow(lock), kLeaderLock);
}

Test(earlier_build, jobs_are_compatible) {
  const auto job = batch::decodeRecord(JobId("j"), kJob);
  cr_assert(job.has_value());
  cr_assert_eq(job->total, 208U);
  cr_assert_eq(job->published, 7U);
  cr_assert(job->started);
  cr_assert_eq(batch::encodeRecord(*job), kJob);
}

Test(earlier_build, suspects_are_compatible) {
  const auto suspect = suspects::decodeSuspect(kSuspect);
  cr_assert(suspect.has_value());
  cr_assert_eq(suspect->crashes, 2);
  cr_assert_eq(suspects::encodeSuspect(*suspect), kSuspect);
}

Test(earlier_build, checkpoints_are_compatible) {
  const std::string bytes = fromHex(kCheckpoint);
  const auto checkpoint = batch::decodeCheckpoint(bytes);
  cr_assert(checkpoint.has_value());
  cr_assert_eq(checkpoint->at(0).text, "a\nb");
  cr_assert_eq(checkpoint->at(0).after_event, 2U);
  cr_assert_eq(batch::encodeCheckpoint(*checkpoint), bytes);
}

Test(earlier_build, results_are_compatible) {
  const platform_adapter::batch_json_codec documents;
  const auto result = documents.decodeResult(kResult);
  cr_assert(result.has_value());
  cr_assert_eq(documents.encodeResult(*result), kResult);
}

Test(earlier_build, full_snapshots_are_compatible) {
  const auto snapshot = gateway::decodeSnapshot(kSnapshot);
  cr_assert(snapshot.has_value());
  cr_assert_not(snapshot->engines_since.has_value());
  cr_assert_eq(snapshot->engines.at(0).key, "servers/i-1");
  cr_assert_eq(snapshot->closed_zones.at(ZoneName("north")), 6U);
  cr_assert_eq(gateway::encodeSnapshot(*snapshot), kSnapshot,
               "the previous build expects a full snapshot");
}
