/// @file
/// Tests of what HTTP exchanges accept as a response. All responses of engines, the store, the
/// control plane and peers are read by them.

#include "gateway/http/client_exchange.h"

#include <boost/asio/post.hpp>
#include <functional>
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

/// @return a response with these lines before the field that gives its length.
std::string withLines(const std::string& lines) {
  return "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 2\r\n\r\n{}";
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

// Guards against a field whose name is no token and that passes as a field.
Test(client_exchange, a_field_name_that_is_no_token_is_broken) {
  for (const char* name :
       {"X Blank", "X\tTab", "X\x01", "X\x1f", "X\x7f", "X\xe9", "X(", "X@", ""}) {
    expectBroken(withLines(std::string(name) + ": v\r\n"), std::string("name ") + name);
  }
  expectBroken(withLines(std::string("X\0Y: v\r\n", 8)), "name with NUL");
  expectBroken(withLines("X-Blank : v\r\n"), "blank before the colon");
  expectBroken("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
               "blank before the colon of a length");
  expectBroken(withLines("no colon\r\n"), "no colon");
}

// Guards against a line whose name begins with a blank: it would change the field before it, such
// as a signature, and hide the field that it names, such as a length.
Test(client_exchange, a_line_that_begins_with_a_blank_is_broken) {
  expectBroken(withLines("X-Signature: s\r\n X-Odd: v\r\n"), "blank");
  expectBroken(withLines("X-Signature: s\r\n\tX-Odd: v\r\n"), "tab");
  expectBroken(withLines("X-Signature: s\r\n \r\n"), "blanks only");
  expectBroken(withLines(" X-Odd: v\r\n"), "first line");
  expectBroken("HTTP/1.1 200 OK\r\nX-Signature: s\r\n Content-Length: 2\r\n\r\n{}", "length");
}

// Guards against a valid response that is rejected.
Test(client_exchange, valid_fields_are_read) {
  const http::CallOutcome outcome =
      callServer(withLines("X-Empty:\r\nX-Text: a: b \x80 \t c\r\n!#$%&'*+-.^_`|~09az: token\r\n"));
  cr_expect(outcome.status == ExchangeStatus::kOk, "%s", http::toText(outcome.status));
  cr_expect_eq(http::fieldText(outcome.response, "!#$%&'*+-.^_`|~09az"), "token");
  cr_expect_eq(http::fieldText(outcome.response, "X-Text"), "a: b \x80 \t c");
}

namespace {

/// Larger than the first read of a header, so that a second read finds the rest already received.
constexpr std::size_t kLongLine = 1500;
/// Runs of the event loop between the arrival of a response and the abort.
constexpr int kMaxDelay = 8;

/// Posts `action` behind the handlers that are queued now, `times` times in turn.
void postBehind(boost::asio::io_context& loop, int times, std::function<void()> action) {
  boost::asio::post(loop, [&loop, times, action = std::move(action)] {
    if (times == 0) return action();
    postBehind(loop, times - 1, action);
  });
}

/// Aborts an exchange soon after an informational response has arrived. @return how it ended.
ExchangeStatus abortAfterInformational(int delay) {
  using tcp = boost::asio::ip::tcp;
  boost::asio::io_context loop{1};
  tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0});
  http::ConnectionPool pool(loop, {});
  http::Request request(boost::beast::http::verb::get, "/", 11);
  const Address address{0x7f000001, acceptor.local_endpoint().port()};
  const auto exchange = std::make_shared<http::ClientExchange>(pool, address, std::move(request));
  std::optional<ExchangeStatus> status;
  spawn(loop, [&]() -> Task<void> {
    const Instant deadline = steadyNow() + kCallTimeout;
    status = co_await exchange->start(deadline, deadline, std::nullopt, true);
    loop.stop();
  });
  tcp::socket socket(loop);
  spawn(loop, [&]() -> Task<void> {
    co_await acceptor.async_accept(socket, boost::asio::use_awaitable);
    co_await socket.async_wait(tcp::socket::wait_read, boost::asio::use_awaitable);
    const std::string response =
        "HTTP/1.1 100 Continue\r\nX-Long: " + std::string(kLongLine, 'x') + "\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(response));
    postBehind(loop, delay, [exchange] { exchange->abort(); });
  });
  loop.run_for(kMaxTest);
  cr_assert(status.has_value(), "the exchange has not ended");
  return *status;
}

}  // namespace

// Guards against an exchange that goes on with a closed connection when it is aborted between two
// responses, and ends the process.
Test(client_exchange, an_abort_between_two_responses_ends_the_exchange) {
  for (int delay = 0; delay <= kMaxDelay; ++delay) {
    const ExchangeStatus status = abortAfterInformational(delay);
    cr_expect(status == ExchangeStatus::kAborted, "delay %d: %s", delay, http::toText(status));
  }
}

// Guards against a body that is passed on in a coding that it no longer names: fields that frame
// the body are not passed on.
Test(client_exchange, a_transfer_coding_other_than_chunked_is_broken) {
  const std::string chunks = "2\r\n{}\r\n0\r\n\r\n";
  expectBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}", "gzip");
  expectBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
               "gzip, chunked");
  expectBroken(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
      "gzip and chunked in two fields");
  const http::CallOutcome outcome =
      callServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n" + chunks);
  cr_expect(outcome.status == ExchangeStatus::kOk, "%s", http::toText(outcome.status));
  cr_expect_eq(outcome.response.body(), "{}");
}
