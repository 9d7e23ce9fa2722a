#include "daemon/admission/admission_controller.h"

#include <criterion/criterion.h>

using namespace linenpier;
using admission::AdmissionController;
using admission::Placement;
using admission::Refusal;
using admission::RefusalReason;

namespace {

const ZoneName kZone("z");
const ModelName kModel("m");
constexpr Instant kStart{std::chrono::seconds(100)};

struct Fixture {
  upstream::EngineDirectory directory{kZone, {}};
  AdmissionController admission{directory, upstream::makeRoutingPolicy("corrected-load", 1), {}};

  explicit Fixture(std::uint32_t slots) {
    directory.onMachineList({{EngineId("e"), kZone, kModel, "http://e", false}});
    directory.onReport(kStart, {EngineId("e"), 0, 0, slots, 1, 0, false});
  }
  static admission::Ticket ticket(const std::string& id, std::uint32_t max_in_flight = 100) {
    admission::Ticket result;
    result.request = RequestId(id);
    result.tenant = TenantId("t");
    result.model = kModel;
    result.max_in_flight = max_in_flight;
    result.deadline = kStart + std::chrono::seconds(5);
    return result;
  }
};

bool placed(const admission::AdmissionOutput& out, std::size_t index = 0) {
  return out.decisions.size() > index &&
         std::holds_alternative<Placement>(out.decisions[index].verdict);
}

RefusalReason reasonOf(const admission::AdmissionOutput& out) {
  return std::get<Refusal>(out.decisions.at(0).verdict).reason;
}

}  // namespace

Test(admission, requests_beyond_the_slots_wait_until_one_ends) {
  Fixture fixture(1);
  cr_assert(placed(fixture.admission.submit(kStart, Fixture::ticket("a"), 10)));
  cr_assert(fixture.admission.submit(kStart, Fixture::ticket("b"), 10).decisions.empty());
  const auto out = fixture.admission.onStreamEnded(kStart, TenantId("t"), EngineId("e"), true);
  cr_assert(placed(out));
  cr_assert(out.decisions[0].request == RequestId("b"));
}

Test(admission, a_full_queue_is_refused_at_once_with_when_to_come_back) {
  Fixture fixture(1);
  fixture.admission.submit(kStart, Fixture::ticket("a"), 1);
  fixture.admission.submit(kStart, Fixture::ticket("b"), 1);
  const auto out = fixture.admission.submit(kStart, Fixture::ticket("c"), 1);
  cr_assert(reasonOf(out) == RefusalReason::kQueueFull);
  cr_assert_gt(std::get<Refusal>(out.decisions[0].verdict).retry_after.count(), 0);
}

Test(admission, a_deadline_ends_the_wait_exactly_once) {
  Fixture fixture(1);
  fixture.admission.submit(kStart, Fixture::ticket("a"), 10);
  fixture.admission.submit(kStart, Fixture::ticket("b"), 10);
  const Instant later = kStart + std::chrono::seconds(5);
  cr_assert(reasonOf(fixture.admission.onTick(later)) == RefusalReason::kDeadline);
  cr_assert(fixture.admission.onTick(later).decisions.empty());
}

Test(admission, a_tenants_streams_are_bounded) {
  Fixture fixture(8);
  cr_assert(placed(fixture.admission.submit(kStart, Fixture::ticket("a", 1), 10)));
  cr_assert(fixture.admission.submit(kStart, Fixture::ticket("b", 1), 10).decisions.empty());
}

Test(admission, a_model_of_another_zone_is_wished_for_there) {
  Fixture fixture(1);
  admission::Ticket ticket = Fixture::ticket("a");
  ticket.model = ModelName("elsewhere");
  fixture.directory.onZoneDigest(kStart, {ZoneName("y"), false, {{ticket.model, 8, 0, 1}}});
  const auto out = fixture.admission.submit(kStart, ticket, 10);
  cr_assert_eq(out.remote_wishes.size(), 1U);
  const auto& wish = out.remote_wishes[0];
  const auto answer = fixture.admission.onRemotePlacement(
      kStart, {wish.placement.sequence, EngineId("y-1"), "http://y"});
  cr_assert(placed(answer));
  const auto again = fixture.admission.onRemotePlacement(
      kStart, {wish.placement.sequence, EngineId("y-1"), "http://y"});
  cr_assert(again.decisions.empty(), "a repeated answer must not place the request twice");
}

Test(admission, a_zone_that_does_not_answer_sends_the_request_back_to_the_queue) {
  Fixture fixture(1);
  admission::Ticket ticket = Fixture::ticket("a");
  ticket.model = ModelName("elsewhere");
  fixture.directory.onZoneDigest(kStart, {ZoneName("y"), false, {{ticket.model, 8, 0, 1}}});
  fixture.admission.submit(kStart, ticket, 10);
  const auto out = fixture.admission.onTick(kStart + std::chrono::milliseconds(200));
  cr_assert_eq(out.remote_wishes.size(), 1U, "another wish");
  const auto end = fixture.admission.onTick(kStart + std::chrono::seconds(6));
  cr_assert(reasonOf(end) == RefusalReason::kDeadline, "back in the queue and then refused");
  cr_assert(fixture.admission.onTick(kStart + std::chrono::seconds(7)).decisions.empty());
}

Test(admission, retries_are_a_tenth_of_the_load) {
  Fixture fixture(100000);
  int allowed = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string id = std::to_string(i);
    fixture.admission.submit(kStart, Fixture::ticket("first" + id, 1000000), 100000);
    allowed +=
        placed(fixture.admission.resubmit(kStart, Fixture::ticket("again" + id, 1000000), 100000));
  }
  cr_assert_leq(allowed, 111);
  cr_assert_geq(allowed, 100);
}

Test(admission, a_stopping_daemon_refuses_new_requests_as_not_run) {
  Fixture fixture(8);
  fixture.admission.stop(kStart);
  const auto out = fixture.admission.submit(kStart, Fixture::ticket("a"), 10);
  cr_assert(reasonOf(out) == RefusalReason::kShuttingDown);
}

Test(admission, decisions_can_be_explained) {
  Fixture fixture(8);
  fixture.admission.submit(kStart, Fixture::ticket("a"), 10);
  const auto explanation = fixture.admission.explain(RequestId("a"));
  cr_assert(explanation.has_value());
  cr_assert(explanation->outcome == "e");
  cr_assert_eq(explanation->scores.size(), 1U);
  cr_assert_not(fixture.admission.explain(RequestId("b")).has_value());
}

Test(admission, a_stop_hands_waiting_samples_over_but_still_serves_waiting_callers) {
  Fixture fixture(1);
  fixture.admission.submit(kStart, Fixture::ticket("running"), 10);
  fixture.admission.submit(kStart, Fixture::ticket("caller"), 10);
  admission::Ticket sample = Fixture::ticket("sample");
  sample.hand_over = true;
  fixture.admission.submit(kStart, sample, 10);
  const auto out = fixture.admission.stop(kStart);
  cr_assert_eq(out.decisions.size(), 1U);
  cr_assert(out.decisions[0].request == RequestId("sample"));
  cr_assert(reasonOf(fixture.admission.resubmit(kStart, sample, 10)) ==
            RefusalReason::kShuttingDown);
  cr_assert(placed(fixture.admission.onStreamEnded(kStart, TenantId("t"), EngineId("e"), true)));
}
