/// @file
/// Reports of use through whole gateways, against a stand-in of the platform's service.

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using nlohmann::json;
using test::GatewayFixture;

namespace {

constexpr char kTwoTenants[] =
    R"([{"name":"ada","apiKeys":["key-a"]},{"name":"bob","apiKeys":["key-b"]}])";

test::FixtureOptions reporting(int gateways) {
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

Task<unsigned> look(GatewayFixture& fixture, std::size_t gateway, const char* key, int number) {
  http::Request request = fixture.lookupRequest(key + std::to_string(number));
  request.set("Authorization", "Bearer " + std::string(key));
  const auto outcome = co_await fixture.call(gateway, std::move(request));
  co_return outcome.response.result_int();
}

/// @return what all reports say of a tenant; fails if a window has two contents.
std::uint64_t reported(GatewayFixture& fixture, const std::string& tenant) {
  std::uint64_t sum = 0;
  for (const auto& [window, bodies] : fixture.duties().reports()) {
    for (const std::string& body : bodies) {
      cr_assert_eq(body, bodies.front(), "window %ld has two contents", static_cast<long>(window));
    }
    sum += json::parse(bodies.front())["counts"].value(tenant, std::uint64_t{0});
  }
  return sum;
}

Task<bool> waitReported(GatewayFixture& fixture, const char* tenant, std::uint64_t wanted) {
  GatewayFixture* all = &fixture;
  co_return co_await fixture.waitFor(
      [all, tenant, wanted] { return reported(*all, tenant) >= wanted; }, std::chrono::seconds(14));
}

Task<bool> waitReporting(GatewayFixture& fixture) {
  GatewayFixture* all = &fixture;
  co_return co_await fixture.waitFor([all] { return all->duties().reports().size() >= 2; },
                                     std::chrono::seconds(14));
}

/// @return the holder of the last call.
std::size_t holder(GatewayFixture& fixture) {
  return fixture.duties().calls().back().holder == "d0" ? 0 : 1;
}

}  // namespace

GATEWAY_TEST(usage_reports, each_request_that_began_counts_once_for_its_tenant, reporting(2)) {
  const bool reports = co_await waitReporting(fixture);
  cr_assert(reports);
  for (int i = 0; i < 6; ++i) {
    const unsigned status = co_await look(fixture, static_cast<std::size_t>(i % 2), "key-a", i);
    cr_assert_eq(status, 200U);
  }
  co_await look(fixture, 0, "key-b", 0);
  // One that no engine ran.
  for (std::size_t i = 0; i < 2; ++i) {
    for (int act = 0; act < 3; ++act) {
      fixture.lookup(i).script().push_back(test::SamplerAct::kShed);
    }
  }
  const unsigned shed = co_await look(fixture, 0, "key-b", 1);
  cr_assert_eq(shed, 503U);
  for (std::size_t i = 0; i < 2; ++i) fixture.lookup(i).script().clear();
  // One whose answer was lost, and that another engine ran again.
  fixture.lookup(0).script().push_back(test::SamplerAct::kClose);
  fixture.lookup(1).script().push_back(test::SamplerAct::kClose);
  fixture.lookup(0).script().push_back(test::SamplerAct::kAnswer);
  co_await look(fixture, 0, "key-b", 2);
  // Without a key nothing runs.
  const unsigned refused = co_await look(fixture, 0, "key-x", 0);
  cr_assert_eq(refused, 401U);
  // A job's items are not counted.
  http::Request job = fixture.jobRequest("j1", 4);
  job.set("Authorization", "Bearer key-a");
  co_await fixture.call(0, std::move(job));
  const bool all = co_await waitReported(fixture, "ada", 6);
  cr_assert(all);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2500));
  cr_assert_eq(reported(fixture, "ada"), 6U);
  cr_assert_eq(reported(fixture, "bob"), 2U);
}

GATEWAY_TEST(usage_reports, windows_are_reported_in_order_without_a_gap, reporting(1)) {
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

GATEWAY_TEST(usage_reports, a_report_whose_answer_is_lost_is_sent_again_as_it_was, reporting(1)) {
  const bool reports = co_await waitReporting(fixture);
  cr_assert(reports);
  co_await look(fixture, 0, "key-a", 0);
  fixture.duties().faults().lose = 4;
  const bool all = co_await waitReported(fixture, "ada", 1);
  cr_assert(all);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  std::size_t repeated = 0;
  for (const auto& [window, bodies] : fixture.duties().reports()) repeated += bodies.size() - 1;
  cr_assert(repeated >= 4);
  cr_assert_eq(reported(fixture, "ada"), 1U);
}

GATEWAY_TEST(usage_reports, the_next_holder_goes_on_with_a_higher_token_and_the_same_content,
             reporting(2)) {
  const bool reports = co_await waitReporting(fixture);
  cr_assert(reports);
  co_await look(fixture, 0, "key-a", 0);
  co_await look(fixture, 1, "key-a", 1);
  const std::size_t first = holder(fixture);
  const std::uint64_t token = fixture.duties().calls().back().token;
  // Its reports are taken and not answered, until it is cut off.
  fixture.duties().faults().lose = 1000;
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  fixture.cutFromStore(first);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(1200));
  fixture.duties().faults().lose = 0;
  const bool taken = co_await fixture.waitFor(
      [&fixture, first] { return holder(fixture) != first; }, std::chrono::seconds(10));
  cr_assert(taken);
  cr_assert(fixture.duties().calls().back().token > token);
  fixture.joinToStore(first);
  const bool all = co_await waitReported(fixture, "ada", 2);
  cr_assert(all);
  std::uint64_t highest = 0;
  for (const test::DutyCall& call : fixture.duties().calls()) {
    if (call.status != 200) continue;
    cr_assert(call.token >= highest);
    highest = call.token;
  }
}

GATEWAY_TEST(usage_reports, what_a_daemon_without_the_store_counts_is_written_by_another,
             reporting(2)) {
  const bool reports = co_await waitReporting(fixture);
  cr_assert(reports);
  const std::size_t other = 1 - holder(fixture);
  fixture.cutFromStore(other);
  const unsigned status = co_await look(fixture, other, "key-a", 0);
  cr_assert_eq(status, 200U);
  const bool all = co_await waitReported(fixture, "ada", 1);
  cr_assert(all);
}

GATEWAY_TEST(usage_reports, a_window_that_ends_while_the_store_is_away_is_whole, reporting(2)) {
  const bool reports = co_await waitReporting(fixture);
  cr_assert(reports);
  fixture.store().faults().silent = true;
  for (int i = 0; i < 4; ++i) {
    co_await look(fixture, static_cast<std::size_t>(i % 2), "key-a", i);
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(400));
  }
  fixture.store().faults().silent = false;
  const bool all = co_await waitReported(fixture, "ada", 4);
  cr_assert(all);
}

GATEWAY_TEST(usage_reports, a_service_that_refuses_gets_every_window_later, reporting(1)) {
  const bool reports = co_await waitReporting(fixture);
  cr_assert(reports);
  fixture.duties().faults().refuse = true;
  co_await look(fixture, 0, "key-a", 0);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  fixture.duties().faults().refuse = false;
  const bool all = co_await waitReported(fixture, "ada", 1);
  cr_assert(all);
  const auto windows = fixture.duties().reports();
  const std::int64_t span = windows.rbegin()->first - windows.begin()->first;
  cr_assert_eq(static_cast<std::int64_t>(windows.size()), span + 1);
}

GATEWAY_TEST(usage_reports, nothing_stays_of_windows_that_were_reported, reporting(2)) {
  const bool reports = co_await waitReporting(fixture);
  cr_assert(reports);
  for (int i = 0; i < 4; ++i) {
    co_await look(fixture, static_cast<std::size_t>(i % 2), "key-a", i);
  }
  // The holder is cut off once it has reported them, before it could remove their rows.
  const bool first = co_await waitReported(fixture, "ada", 4);
  cr_assert(first);
  const std::size_t old_holder = holder(fixture);
  fixture.cutFromStore(old_holder);
  const std::size_t before = fixture.duties().reports().size();
  const bool more = co_await fixture.waitFor(
      [&fixture, before] { return fixture.duties().reports().size() >= before + 3; },
      std::chrono::seconds(14));
  cr_assert(more);
  for (const std::string& key : fixture.store().keys("usage")) {
    cr_assert_eq(key, "progress", "%s stayed", key.c_str());
  }
}

GATEWAY_TEST(usage_reports, a_service_that_moves_is_followed, reporting(1)) {
  const bool reports = co_await waitReporting(fixture);
  cr_assert(reports);
  test::StandinDuties elsewhere(fixture.loop());
  fixture.moveDuties(0, elsewhere.address());
  const std::int64_t last = fixture.duties().reports().rbegin()->first;
  const bool followed = co_await fixture.waitFor(
      [&elsewhere] { return elsewhere.reports().size() >= 2; }, std::chrono::seconds(10));
  cr_assert(followed);
  cr_assert_leq(elsewhere.reports().begin()->first, last + 1);
}
