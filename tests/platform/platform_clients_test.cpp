/// @file
/// Tests of what the clients of the platform make of responses that are not valid HTTP: such a
/// response does not tell whether a call was processed.

#include "platform.h"
#include "support/raw_server.h"

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;

namespace {

constexpr Duration kMaxTest = std::chrono::seconds(5);

/// The platform's clients before a server that sends the same bytes as the store, the control plane
/// and an engine.
struct Fixture {
  explicit Fixture(const std::string& response)
      : server(loop, response),
        pool(loop, {}),
        platform(pool, pool, server.address(), server.address()) {}

  void run(std::function<Task<void>(Fixture&)> test) {
    bool finished = false;
    spawn(this->loop, [&]() -> Task<void> {
      co_await test(*this);
      finished = true;
      this->loop.stop();
    });
    this->loop.run_for(kMaxTest);
    cr_assert(finished, "the test timed out");
  }

  boost::asio::io_context loop{1};
  test::raw_server server;
  http::ConnectionPool pool;
  platform_adapter::Platform platform;
};

/// @return a response with status 000 and a body that is valid for the call.
std::string withStatus000(const std::string& body) {
  return "HTTP/1.1 000 Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Task<void> checkStore(Fixture& fixture) {
  table::Write write;
  const auto written = co_await fixture.platform.table().write(std::move(write));
  cr_assert_not(written.has_value());
  cr_expect(written.error().failure == CallFailure::kAnswerLost,
            "a write with an invalid response may have been executed");
  table::RowRange range;
  const auto read = co_await fixture.platform.table().read(std::move(range));
  cr_expect_not(read.has_value());
  const auto changes = co_await fixture.platform.table().watch("servers", 0, Duration::zero());
  cr_expect_not(changes.has_value());
  const auto put = co_await fixture.platform.objects().put("object", "bytes");
  cr_assert_not(put.has_value());
  cr_expect(put.error().failure == CallFailure::kAnswerLost);
  const auto got = co_await fixture.platform.objects().get("object");
  cr_expect_not(got.has_value());
}

Task<void> checkOrders(Fixture& fixture) {
  versions::version_order order;
  order.address = fixture.server.address();
  const Instant send_by = steadyNow() + kMaxTest;
  const auto result = co_await fixture.platform.orders().send(order, "holder", 1, send_by);
  cr_expect(result == versions::OrderResult::kUnknown, "the engine may have taken the order");
  const auto report =
      co_await fixture.platform.orders().report(EngineId("e"), fixture.server.address());
  cr_expect_not(report.has_value());
}

Task<void> checkControlPlane(Fixture& fixture) {
  usage::fenced_call_context context;
  context.holder = "holder";
  context.send_by = steadyNow() + kMaxTest;
  usage::usage_report report;
  const auto result =
      co_await fixture.platform.usageReporting().reportUsage(std::move(report), context);
  cr_expect(result == usage::FencedCallResult::kUnknown,
            "the control plane may have taken the report");
}

}  // namespace

// Guards against a store call with an unknown outcome that is taken for a rejected or answered one.
Test(platform_clients, a_store_response_with_status_000_leaves_the_outcome_unknown) {
  Fixture fixture(withStatus000(R"({"ver":1,"now_ms":1,"rows":[]})"));
  fixture.run(checkStore);
}

// Guards against an order with an unknown outcome that counts as rejected.
Test(platform_clients, an_order_response_with_status_000_leaves_the_outcome_unknown) {
  Fixture fixture(withStatus000(R"({"seq":1,"busy":false})"));
  fixture.run(checkOrders);
}

// Guards against a report with an unknown outcome that is taken for a rejected one.
Test(platform_clients, a_control_plane_response_with_status_000_leaves_the_outcome_unknown) {
  Fixture fixture(withStatus000("{}"));
  fixture.run(checkControlPlane);
}
