/// @file
/// End-to-end tests of submitting and ending batch jobs while the store's responses are lost, late
/// or refusals: a refusal must be true, whatever earlier writes may have done.

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::endRequest;
using test::GatewayFixture;
using test::StoreAct;
using test::twoGateways;

namespace {

constexpr int kItems = 2;
const std::string kJobRows = "linenpier/job/";
constexpr StoreAct kUnanswered[] = {StoreAct::kBreakExecuted, StoreAct::kBreakExecuteLate,
                                    StoreAct::kGarble};
constexpr StoreAct kRefusals[] = {StoreAct::kRefuse, StoreAct::kRateLimit};

/// @return whether the status promises that the request was not and will not be executed.
bool isRefusal(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::size_t itemsRun(GatewayFixture& fixture) {
  return fixture.model(0).arrivals().size() + fixture.model(1).arrivals().size();
}

/// @return whether the daemon owns the job.
bool isOwnedBy(GatewayFixture& fixture, const std::string& job, const std::string& daemon) {
  const std::string record = fixture.store().get("linenpier", "job/" + job).value_or("");
  return record.find("\"owner\":\"" + daemon + "#") != std::string::npos;
}

bool isEnded(GatewayFixture& fixture, const std::string& job) {
  const std::string record = fixture.store().get("linenpier", "job/" + job).value_or("");
  return record.find("\"ended\":true") != std::string::npos;
}

/// @return the status of submitting the job to a daemon while the store follows the script.
Task<unsigned> submitWith(GatewayFixture& fixture, std::string job, std::deque<StoreAct> acts) {
  test::WriteScript script{kJobRows, std::move(acts)};
  fixture.store().setScript(std::move(script));
  http::Request request = fixture.jobRequest(job, kItems);
  const http::CallOutcome outcome = co_await fixture.call(0, std::move(request));
  co_return outcome.response.result_int();
}

/// @return `first`, and then refusals of the next two writes. The job's owner may take one of them
/// when it publishes results.
std::deque<StoreAct> thenTwo(StoreAct first, StoreAct refusal) {
  return {first, refusal, refusal};
}

/// @return `first`, and then refusals for longer than a submission is retried.
std::deque<StoreAct> thenRefusals(StoreAct first) {
  std::deque<StoreAct> acts(100, StoreAct::kRefuse);
  acts.push_front(first);
  return acts;
}

}  // namespace

// Guards against a false refusal: the store refuses the retry of a write that was unanswered, and
// the daemon reports the job as refused although the first write was executed.
GATEWAY_TEST(batch_submission, a_refused_retry_of_an_unanswered_write_refuses_no_job,
             twoGateways(3)) {
  int number = 0;
  for (const StoreAct first : kUnanswered) {
    for (const StoreAct second : kRefusals) {
      const std::string job = "job-" + std::to_string(number++);
      const unsigned status = co_await submitWith(fixture, job, thenTwo(first, second));
      cr_expect(!isRefusal(status), "%s got %u and may run", job.c_str(), status);
      cr_expect_eq(status, 202U, "%s got %u although the store took it", job.c_str(), status);
      const std::string results = co_await fixture.readAll(1, job);
      cr_expect(results.find(job + "-1") != std::string::npos, "%s did not run", job.c_str());
    }
  }
  cr_assert_eq(itemsRun(fixture), static_cast<std::size_t>(number) * kItems);
}

// Guards against a false refusal at the end of the time for a submission: the first write is
// executed only after the response was sent.
GATEWAY_TEST(batch_submission, a_job_whose_write_may_still_be_executed_is_reported_as_unknown,
             twoGateways(3)) {
  const Duration delay = std::chrono::milliseconds(3500);
  test::WriteScript script{kJobRows, thenRefusals(StoreAct::kBreakExecuteLate), delay};
  fixture.store().setScript(std::move(script));
  http::Request request = fixture.jobRequest("job", kItems);
  const auto unknown = co_await fixture.call(0, std::move(request));
  fixture.store().setScript({});
  cr_expect_eq(unknown.response.result_int(), 502U, "got %u", unknown.response.result_int());
  const std::string results = co_await fixture.readAll(1, "job");
  cr_assert(results.find("job-1") != std::string::npos, "the late write was not executed");
  http::Request again = fixture.jobRequest("job", kItems);
  const auto known = co_await fixture.call(1, std::move(again));
  cr_assert_eq(known.response.result_int(), 202U);
  cr_assert_eq(itemsRun(fixture), static_cast<std::size_t>(kItems));
}

// Guards against a false refusal of a resubmission: an earlier submission at the same daemon may
// still take effect.
GATEWAY_TEST(batch_submission, a_resubmission_is_not_refused_while_an_earlier_write_is_unresolved,
             twoGateways(3)) {
  const Duration delay = std::chrono::milliseconds(6000);
  test::WriteScript script{kJobRows, thenRefusals(StoreAct::kBreakExecuteLate), delay};
  fixture.store().setScript(std::move(script));
  http::Request first = fixture.jobRequest("job", kItems);
  const auto unknown = co_await fixture.call(0, std::move(first));
  cr_expect_eq(unknown.response.result_int(), 502U);
  cr_expect(!http::fieldText(unknown.response, "Retry-After").empty());
  fixture.store().faults().refuse = true;
  http::Request again = fixture.jobRequest("job", kItems);
  const auto outcome = co_await fixture.call(0, std::move(again));
  cr_expect_eq(outcome.response.result_int(), 502U, "got %u", outcome.response.result_int());
  // A job that was never written is still refused.
  http::Request other = fixture.jobRequest("other", kItems);
  const auto refused = co_await fixture.call(0, std::move(other));
  cr_assert_eq(refused.response.result_int(), 503U);
  fixture.store().faults().refuse = false;
  fixture.store().setScript({});
  co_await fixture.readAll(1, "job");
  cr_assert_eq(itemsRun(fixture), static_cast<std::size_t>(kItems));
}

// Guards against a false refusal after a timeout: the store's queue is full by the time of the
// retry, and the first write is executed seconds later.
GATEWAY_TEST(batch_submission, a_write_that_timed_out_and_a_rate_limited_retry_refuse_no_job,
             twoGateways(3)) {
  std::deque<StoreAct> acts(100, StoreAct::kRateLimit);
  acts.push_front(StoreAct::kHangExecuteLate);
  const Duration delay = std::chrono::seconds(5);
  test::WriteScript script{kJobRows, std::move(acts), delay};
  fixture.store().setScript(std::move(script));
  http::Request request = fixture.jobRequest("job", kItems);
  const auto unknown = co_await fixture.call(0, std::move(request));
  cr_expect_eq(unknown.response.result_int(), 502U, "got %u", unknown.response.result_int());
  cr_expect(fixture.store().actsLeft() < 100, "the retry was not refused");
  fixture.store().setScript({});
  const std::string results = co_await fixture.readAll(1, "job");
  cr_assert(results.find("job-1") != std::string::npos, "the late write was not executed");
  cr_assert_eq(itemsRun(fixture), static_cast<std::size_t>(kItems));
}

// Guards against a refusal of a job that this daemon has learned of during the submission.
GATEWAY_TEST(batch_submission, a_job_that_the_feed_reports_during_a_submission_is_accepted,
             twoGateways(3)) {
  std::deque<StoreAct> acts(1, StoreAct::kHangExecuteLate);
  test::WriteScript script{kJobRows, std::move(acts), std::chrono::milliseconds(100)};
  fixture.store().setScript(std::move(script));
  http::Request request = fixture.jobRequest("job", kItems);
  const auto accepted = co_await fixture.call(0, std::move(request));
  cr_assert_eq(accepted.response.result_int(), 202U, "got %u", accepted.response.result_int());
  co_await fixture.readAll(1, "job");
  cr_assert_eq(itemsRun(fixture), static_cast<std::size_t>(kItems));
}

// Guards against a job that nobody runs until a lease expires: its submission is completed while
// the daemon that would own it shuts down.
GATEWAY_TEST(batch_submission, a_job_accepted_during_a_shutdown_is_run_by_another_daemon,
             twoGateways(90)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(15));
  // A model's next job gets the owner of the one before.
  http::Request earlier = fixture.jobRequest("earlier", kItems);
  co_await fixture.call(0, std::move(earlier));
  co_await fixture.readAll(0, "earlier");
  const std::size_t owner = isOwnedBy(fixture, "earlier", "d0") ? 0 : 1;
  const std::string other = owner == 0 ? "d1" : "d0";
  // The write succeeds after the daemon has handed over its jobs and its lease.
  std::deque<StoreAct> acts(5, StoreAct::kRefuse);
  acts.push_front(StoreAct::kBreakExecuteLate);
  test::WriteScript script{kJobRows, std::move(acts), std::chrono::seconds(20)};
  fixture.store().setScript(std::move(script));
  spawn(fixture.loop(), [&fixture, owner]() -> Task<void> {
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(80));
    fixture.gateway(owner).stop();
  });
  http::Request request = fixture.jobRequest("job", kItems);
  const auto accepted = co_await fixture.call(owner, std::move(request));
  cr_assert_eq(accepted.response.result_int(), 202U, "got %u", accepted.response.result_int());
  // A lease expires after more than a second.
  const bool taken = co_await fixture.waitFor(
      [&fixture, &other] { return isOwnedBy(fixture, "job", other); }, std::chrono::seconds(1));
  cr_assert(taken);
  co_await fixture.readAll(1 - owner, "job");
}

// Guards against a false refusal of a job's end, which the store may execute later.
GATEWAY_TEST(batch_submission, an_end_that_may_still_be_executed_is_not_refused, twoGateways(3)) {
  http::Request request = fixture.jobRequest("job", kItems);
  co_await fixture.call(0, std::move(request));
  co_await fixture.readAll(0, "job");
  test::WriteScript script{kJobRows, thenRefusals(StoreAct::kBreakExecuteLate),
                           std::chrono::milliseconds(5000)};
  fixture.store().setScript(std::move(script));
  const auto unknown = co_await fixture.call(0, endRequest("job"));
  cr_expect_eq(unknown.response.result_int(), 502U, "got %u", unknown.response.result_int());
  co_await fixture.waitFor([&fixture] { return isEnded(fixture, "job"); });
  cr_assert(isEnded(fixture, "job"), "the late end was not executed");
  fixture.store().setScript({});
  const auto again = co_await fixture.call(0, endRequest("job"));
  cr_assert_eq(again.response.result_int(), 200U);
}

GATEWAY_TEST(batch_submission, an_end_that_the_store_only_refuses_is_refused, twoGateways(3)) {
  http::Request request = fixture.jobRequest("job", kItems);
  co_await fixture.call(0, std::move(request));
  co_await fixture.readAll(0, "job");
  test::WriteScript script{kJobRows, thenRefusals(StoreAct::kRefuse)};
  fixture.store().setScript(std::move(script));
  const auto refused = co_await fixture.call(0, endRequest("job"));
  cr_expect_eq(refused.response.result_int(), 503U, "got %u", refused.response.result_int());
  cr_assert(!isEnded(fixture, "job"));
}

// Guards against a job that runs after its end was answered as not found: the write of its
// submission is still to be executed.
GATEWAY_TEST(batch_submission, an_end_of_a_job_that_may_still_be_accepted_is_not_answered_not_found,
             twoGateways(3)) {
  const Duration delay = std::chrono::milliseconds(4000);
  test::WriteScript script{kJobRows, thenRefusals(StoreAct::kBreakExecuteLate), delay};
  fixture.store().setScript(std::move(script));
  http::Request request = fixture.jobRequest("job", kItems);
  const auto unknown = co_await fixture.call(0, std::move(request));
  cr_assert_eq(unknown.response.result_int(), 502U);
  fixture.store().setScript({});
  const auto ended = co_await fixture.call(0, endRequest("job"));
  cr_assert_eq(ended.response.result_int(), 200U, "got %u", ended.response.result_int());
  cr_assert(isEnded(fixture, "job"));
}
