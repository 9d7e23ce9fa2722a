/// @file
/// Tests of what HTTP exchanges accept as a response. All responses of engines, the store, the
/// control plane and peers are read by them.

#include "gateway/http/client_exchange.h"

#include <string>
#include <vector>

#include "support/raw_server.h"

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using http::ExchangeStatus;

namespace {

constexpr Duration kMaxTest = std::chrono::seconds(5);
constexpr Duration kCallTimeout = std::chrono::seconds(2);

/// @return the outcome of a call to a server that sends these bytes and ends the connection.
http::CallOutcome callServer(const std::string& bytes) {
  boost::asio::io_context loop{1};
  test::raw_server server(loop, bytes);
  http::ConnectionPool pool(loop, {});
  http::CallOutcome outcome;
  bool ended = false;
  spawn(loop, [&]() -> Task<void> {
    http::Request request(boost::beast::http::verb::get, "/", 11);
    request.set("Host", "h");
    outcome =
        co_await http::call(pool, server.address(), std::move(request), steadyNow() + kCallTimeout);
    ended = true;
    loop.stop();
  });
  loop.run_for(kMaxTest);
  cr_assert(ended, "the test timed out");
  return outcome;
}

/// @return a response with this status line and a body of two bytes.
std::string withStatusLine(const std::string& status_line) {
  return status_line + "\r\nContent-Length: 2\r\n\r\n{}";
}

void expectBroken(const std::string& bytes, const std::string& what) {
  const http::CallOutcome outcome = callServer(bytes);
  cr_expect(outcome.status == ExchangeStatus::kBroken, "%s: %s, status %u", what.c_str(),
            http::toText(outcome.status), outcome.response.result_int());
  cr_expect(outcome.sent, "%s: the request may have been processed", what.c_str());
}

}  // namespace

Test(client_exchange, statuses_of_http_are_responses) {
  for (const unsigned status : {200U, 299U, 404U, 500U, 599U}) {
    const http::CallOutcome outcome =
        callServer(withStatusLine("HTTP/1.1 " + std::to_string(status) + " Status"));
    cr_expect(outcome.status == ExchangeStatus::kOk, "%u: %s", status,
              http::toText(outcome.status));
    cr_expect_eq(outcome.response.result_int(), status);
    cr_expect_eq(outcome.response.body(), "{}");
  }
}

// Guards against a status that HTTP does not define and that passes as a response.
Test(client_exchange, a_status_outside_100_to_599_is_broken) {
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    expectBroken(withStatusLine("HTTP/1.1 " + std::string(status) + " Status"), status);
  }
}

// Guards against a broken response that hides behind an informational one.
Test(client_exchange, status_000_after_an_informational_response_is_broken) {
  expectBroken("HTTP/1.1 100 Continue\r\n\r\n" + withStatusLine("HTTP/1.1 000 Status"),
               "000 after 100");
}
