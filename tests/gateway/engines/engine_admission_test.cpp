#include "gateway/engines/engine_registry.h"
#include "support/engine_lists.h"

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using engines::AdmissionFailure;
using engines::engine_record;
using engines::engine_registry;
using engines::engine_request;

namespace {

const ZoneName kHere("here");
const ZoneName kThere("there");
const ServiceName kService("s");
constexpr Instant kStart{std::chrono::seconds(100)};

engine_record record(const std::string& id, const ZoneName& zone) {
  engine_record made;
  made.id = EngineId(id);
  made.service = kService;
  made.address = {0x7f000001, static_cast<std::uint16_t>(9000 + id.back())};
  made.zone = zone;
  made.slots = 4;
  return made;
}

engine_request serviceRequest() {
  engine_request request;
  request.service = kService;
  return request;
}

}  // namespace

Test(engine_admission, rejects_engines_of_closed_zones_even_as_a_last_resort) {
  engine_registry registry(kHere, {}, 1);
  test::listEngines(registry, kStart, {record("a", kHere)});
  registry.setClosedZones(fleet::closed_zones({{kHere, 7}}));
  engine_request request = serviceRequest();
  cr_assert_null(registry.pick(kStart, request));
  request.last_resort = true;
  cr_assert_null(registry.pick(kStart, request));
  cr_assert_eq(registry.lastAdmissionFailures().mostFrequent(), AdmissionFailure::kZoneClosed);
  cr_assert(registry.availableEngines(kService).empty());
}

Test(engine_admission, uses_a_reopened_zone_immediately) {
  engine_registry registry(kHere, {}, 1);
  test::listEngines(registry, kStart, {record("a", kHere)});
  registry.setClosedZones(fleet::closed_zones({{kHere, 7}}));
  registry.setClosedZones({});
  cr_assert_not_null(registry.pick(kStart, serviceRequest()));
}

Test(engine_admission, respects_the_residency_of_the_request) {
  engine_registry registry(kHere, {}, 1);
  registry.setLayout(fleet::fleet_layout({{kHere, RegionName("r")}, {kThere, RegionName("q")}}));
  test::listEngines(registry, kStart, {record("a", kHere), record("b", kThere)});
  engine_request request = serviceRequest();
  request.residency = fleet::data_residency({RegionName("q")});
  for (int i = 0; i < 20; ++i) cr_assert_eq(registry.pick(kStart, request)->record.id.str(), "b");
  request.residency = fleet::data_residency({RegionName("elsewhere")});
  request.last_resort = true;
  cr_assert_null(registry.pick(kStart, request));
  cr_assert_eq(registry.lastAdmissionFailures().of(AdmissionFailure::kOutsideResidency), 2U);
}

Test(engine_admission, rejects_engines_of_unknown_region_under_a_residency) {
  engine_registry registry(kHere, {}, 1);
  test::listEngines(registry, kStart, {record("a", ZoneName("nowhere"))});
  engine_request request = serviceRequest();
  request.residency = fleet::data_residency({RegionName("r")});
  cr_assert_null(registry.pick(kStart, request));
}

Test(engine_admission, failure_counts_describe_lists_reasons_with_counts) {
  engines::admission_failure_counts counts;
  cr_assert_eq(counts.mostFrequent(), AdmissionFailure::kNone);
  counts.add(AdmissionFailure::kFull);
  counts.add(AdmissionFailure::kZoneClosed);
  counts.add(AdmissionFailure::kFull);
  cr_assert_eq(counts.mostFrequent(), AdmissionFailure::kFull);
  cr_assert_eq(counts.describe(), "zone_closed 1, full 2");
}
