/// @file
/// End-to-end tests of usage reports, against a stand-in of the platform's service.

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using nlohmann::json;
using test::GatewayFixture;

namespace {

constexpr char kTwoTenants[] =
    R"([{"name":"ada","apiKeys":["key-a"]},{"name":"bob","apiKeys":["key-b"]}])";

test::FixtureOptions withUsageReports(int gateways) {
  test::FixtureOptions options;
  options.gateways = gateways;
  options.tenants = kTwoTenants;
  usage::usage_options usage;
  usage.window = std::chrono::seconds(1);
  usage.settle = std::chrono::milliseconds(700);
  usage.max_settle = std::chrono::milliseconds(6000);
  usage.write_interval = std::chrono::milliseconds(200);
  usage.first_samples_wait = std::chrono::milliseconds(300);
  options.usage = usage;
  return options;
}

Task<unsigned> sendLookup(GatewayFixture& fixture, std::size_t gateway, const char* key,
                          int number) {
  http::Request request = fixture.lookupRequest(key + std::to_string(number));
  request.set("Authorization", "Bearer " + std::string(key));
  const auto outcome = co_await fixture.call(gateway, std::move(request));
  co_return outcome.response.result_int();
}

/// @return the reported total of a tenant; fails if reports of the same window differ.
std::uint64_t reportedTotal(GatewayFixture& fixture, const std::string& tenant) {
  std::uint64_t sum = 0;
  for (const auto& [window, bodies] : fixture.duties().reports()) {
    for (const std::string& body : bodies) {
      cr_assert_eq(body, bodies.front(), "reports of window %ld differ", static_cast<long>(window));
    }
    sum += json::parse(bodies.front())["counts"].value(tenant, std::uint64_t{0});
  }
  return sum;
}

Task<bool> waitForTotal(GatewayFixture& fixture, const char* tenant, std::uint64_t wanted) {
  GatewayFixture* all = &fixture;
  co_return co_await fixture.waitFor(
      [all, tenant, wanted] { return reportedTotal(*all, tenant) >= wanted; },
      std::chrono::seconds(14));
}

Task<bool> waitForReports(GatewayFixture& fixture) {
  GatewayFixture* all = &fixture;
  co_return co_await fixture.waitFor([all] { return all->duties().reports().size() >= 2; },
                                     std::chrono::seconds(14));
}

/// @return the gateway that sent the last call.
std::size_t leaderIndex(GatewayFixture& fixture) {
  return fixture.duties().calls().back().holder == "d0" ? 0 : 1;
}

/// @return the number of requests that the gateway reports as counted too late.
Task<std::uint64_t> lateTotal(GatewayFixture& fixture, std::size_t gateway) {
  return fixture.metric(gateway, "linenpier_usage_requests_late");
}

}  // namespace

GATEWAY_TEST(usage_reports, each_executed_request_counts_once_for_its_tenant, withUsageReports(2)) {
  const bool reports = co_await waitForReports(fixture);
  cr_assert(reports);
  for (int i = 0; i < 6; ++i) {
    const unsigned status =
        co_await sendLookup(fixture, static_cast<std::size_t>(i % 2), "key-a", i);
    cr_assert_eq(status, 200U);
  }
  co_await sendLookup(fixture, 0, "key-b", 0);
  // A request that no engine executes.
  for (std::size_t i = 0; i < 2; ++i) {
    for (int act = 0; act < 3; ++act) {
      fixture.lookup(i).script().push_back(test::SamplerAct::kShed);
    }
  }
  const unsigned shed = co_await sendLookup(fixture, 0, "key-b", 1);
  cr_assert_eq(shed, 503U);
  for (std::size_t i = 0; i < 2; ++i) fixture.lookup(i).script().clear();
  // A request whose response is lost and that another engine executes again.
  fixture.lookup(0).script().push_back(test::SamplerAct::kClose);
  fixture.lookup(1).script().push_back(test::SamplerAct::kClose);
  fixture.lookup(0).script().push_back(test::SamplerAct::kAnswer);
  co_await sendLookup(fixture, 0, "key-b", 2);
  // A request without a valid key is not executed.
  const unsigned refused = co_await sendLookup(fixture, 0, "key-x", 0);
  cr_assert_eq(refused, 401U);
  // Job items are not counted.
  http::Request job = fixture.jobRequest("j1", 4);
  job.set("Authorization", "Bearer key-a");
  co_await fixture.call(0, std::move(job));
  const bool all = co_await waitForTotal(fixture, "ada", 6);
  cr_assert(all);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2500));
  cr_assert_eq(reportedTotal(fixture, "ada"), 6U);
  cr_assert_eq(reportedTotal(fixture, "bob"), 2U);
}

GATEWAY_TEST(usage_reports, windows_are_reported_in_order_without_a_gap, withUsageReports(1)) {
  const bool reports = co_await fixture.waitFor(
      [&fixture] { return fixture.duties().reports().size() >= 5; }, std::chrono::seconds(12));
  cr_assert(reports);
  std::int64_t before = 0;
  for (const auto& [window, bodies] : fixture.duties().reports()) {
    cr_assert(before == 0 || window == before + 1);
    cr_assert_eq(bodies.size(), 1U);
    before = window;
  }
}

GATEWAY_TEST(usage_reports, a_report_without_a_response_is_repeated_unchanged,
             withUsageReports(1)) {
  const bool reports = co_await waitForReports(fixture);
  cr_assert(reports);
  co_await sendLookup(fixture, 0, "key-a", 0);
  fixture.duties().faults().lose = 4;
  const bool all = co_await waitForTotal(fixture, "ada", 1);
  cr_assert(all);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  std::size_t repeated = 0;
  for (const auto& [window, bodies] : fixture.duties().reports()) repeated += bodies.size() - 1;
  cr_assert(repeated >= 4);
  cr_assert_eq(reportedTotal(fixture, "ada"), 1U);
}

GATEWAY_TEST(usage_reports, the_next_leader_continues_with_a_higher_token_and_the_same_content,
             withUsageReports(2)) {
  const bool reports = co_await waitForReports(fixture);
  cr_assert(reports);
  co_await sendLookup(fixture, 0, "key-a", 0);
  co_await sendLookup(fixture, 1, "key-a", 1);
  const std::size_t first = leaderIndex(fixture);
  const std::uint64_t token = fixture.duties().calls().back().token;
  // Reports are accepted but not answered until the leader is disconnected.
  fixture.duties().faults().lose = 1000;
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  fixture.cutFromStore(first);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(1200));
  fixture.duties().faults().lose = 0;
  const bool taken = co_await fixture.waitFor(
      [&fixture, first] { return leaderIndex(fixture) != first; }, std::chrono::seconds(10));
  cr_assert(taken);
  cr_assert(fixture.duties().calls().back().token > token);
  fixture.reconnectToStore(first);
  const bool all = co_await waitForTotal(fixture, "ada", 2);
  cr_assert(all);
  std::uint64_t highest = 0;
  for (const test::DutyCall& call : fixture.duties().calls()) {
    if (call.status != 200) continue;
    cr_assert(call.token >= highest);
    highest = call.token;
  }
}

GATEWAY_TEST(usage_reports, usage_of_a_daemon_without_the_store_is_written_by_another,
             withUsageReports(2)) {
  const bool reports = co_await waitForReports(fixture);
  cr_assert(reports);
  const std::size_t other = 1 - leaderIndex(fixture);
  fixture.cutFromStore(other);
  const unsigned status = co_await sendLookup(fixture, other, "key-a", 0);
  cr_assert_eq(status, 200U);
  const bool all = co_await waitForTotal(fixture, "ada", 1);
  cr_assert(all);
}

GATEWAY_TEST(usage_reports, a_window_that_ends_while_the_store_is_unavailable_is_complete,
             withUsageReports(2)) {
  const bool reports = co_await waitForReports(fixture);
  cr_assert(reports);
  fixture.store().faults().silent = true;
  for (int i = 0; i < 4; ++i) {
    co_await sendLookup(fixture, static_cast<std::size_t>(i % 2), "key-a", i);
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(400));
  }
  fixture.store().faults().silent = false;
  const bool all = co_await waitForTotal(fixture, "ada", 4);
  cr_assert(all);
}

GATEWAY_TEST(usage_reports, windows_refused_by_the_service_are_reported_later,
             withUsageReports(1)) {
  const bool reports = co_await waitForReports(fixture);
  cr_assert(reports);
  fixture.duties().faults().refuse = true;
  co_await sendLookup(fixture, 0, "key-a", 0);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  fixture.duties().faults().refuse = false;
  const bool all = co_await waitForTotal(fixture, "ada", 1);
  cr_assert(all);
  const auto windows = fixture.duties().reports();
  const std::int64_t span = windows.rbegin()->first - windows.begin()->first;
  cr_assert_eq(static_cast<std::int64_t>(windows.size()), span + 1);
}

GATEWAY_TEST(usage_reports, reported_windows_are_removed_from_the_store, withUsageReports(2)) {
  const bool reports = co_await waitForReports(fixture);
  cr_assert(reports);
  for (int i = 0; i < 4; ++i) {
    co_await sendLookup(fixture, static_cast<std::size_t>(i % 2), "key-a", i);
  }
  // Disconnects the leader after it has sent the reports and before it removes their rows.
  const bool first = co_await waitForTotal(fixture, "ada", 4);
  cr_assert(first);
  const std::size_t old_holder = leaderIndex(fixture);
  fixture.cutFromStore(old_holder);
  const std::size_t before = fixture.duties().reports().size();
  const bool more = co_await fixture.waitFor(
      [&fixture, before] { return fixture.duties().reports().size() >= before + 3; },
      std::chrono::seconds(14));
  cr_assert(more);
  for (const std::string& key : fixture.store().keys("usage")) {
    cr_assert_eq(key, "progress", "%s was not removed", key.c_str());
  }
}

// Guards against requests that are neither reported nor counted as late.
GATEWAY_TEST(usage_reports, a_count_refused_until_its_window_was_summed_is_late,
             withUsageReports(1)) {
  const bool reports = co_await waitForReports(fixture);
  cr_assert(reports);
  test::WriteScript script{"usage/w/"};
  script.acts.assign(1000, test::StoreAct::kRefuse);
  fixture.store().setScript(script);
  const unsigned status = co_await sendLookup(fixture, 0, "key-a", 0);
  cr_assert_eq(status, 200U);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(5));
  fixture.store().setScript({});
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  const std::uint64_t late = co_await lateTotal(fixture, 0);
  cr_assert_eq(reportedTotal(fixture, "ada") + late, 1U, "the request was lost silently");
}

GATEWAY_TEST(usage_reports, reports_are_sent_to_a_changed_service_address, withUsageReports(1)) {
  const bool reports = co_await waitForReports(fixture);
  cr_assert(reports);
  test::StandinDuties elsewhere(fixture.loop());
  fixture.moveDuties(0, elsewhere.address());
  const std::int64_t last = fixture.duties().reports().rbegin()->first;
  const bool followed = co_await fixture.waitFor(
      [&elsewhere] { return elsewhere.reports().size() >= 2; }, std::chrono::seconds(10));
  cr_assert(followed);
  cr_assert_leq(elsewhere.reports().begin()->first, last + 1);
}
