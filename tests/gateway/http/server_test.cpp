/// @file
/// Tests of how the HTTP server ends its connections and limits the bodies of requests.

#include "gateway/http/server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <string>
#include <vector>

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
namespace asio = boost::asio;

namespace {

constexpr Duration kMaxTest = std::chrono::seconds(5);
constexpr std::size_t kLargeBody = 1000 * 1000;
constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server whose responses are streams that last until `end_streams` is set.
struct Fixture {
  asio::io_context loop{1};
  bool end_streams = false;
  int requests = 0;
  http::Server server{loop, [this](http::Request&, Instant, http::ResponseWriter& writer) {
                        return this->stream(writer);
                      }};

  Task<void> stream(http::ResponseWriter& writer) {
    ++this->requests;
    co_await writer.beginStream({});
    while (!this->end_streams) co_await sleepFor(this->loop, std::chrono::milliseconds(5));
    co_await writer.endStream();
  }

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
};

Task<void> sendRequest(asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  co_await asio::async_write(socket, asio::buffer(kRequest, sizeof(kRequest) - 1),
                             asio::redirect_error(asio::use_awaitable, error));
}

/// Reads up to a text. @return whether it came before the end of the connection.
Task<bool> readUpTo(asio::ip::tcp::socket& socket, asio::streambuf& input, std::string text) {
  boost::system::error_code error;
  const std::size_t size = co_await asio::async_read_until(
      socket, input, text, asio::redirect_error(asio::use_awaitable, error));
  input.consume(size);
  co_return !error;
}

Task<void> closesConnectionAfterStream(Fixture& fixture) {
  cr_assert_not(fixture.server.listen({0x7f000001, 0}).has_value());
  asio::ip::tcp::socket socket(fixture.loop);
  const Address address = fixture.server.address();
  socket.connect({asio::ip::address_v4(address.ip), address.port});
  asio::streambuf input;
  co_await sendRequest(socket);
  cr_assert(co_await readUpTo(socket, input, "\r\n\r\n"));
  fixture.server.beginDrain();
  fixture.server.shutDown();
  fixture.end_streams = true;
  cr_assert(co_await readUpTo(socket, input, "0\r\n\r\n"));
  co_await sendRequest(socket);
  const bool answered = co_await readUpTo(socket, input, "\r\n\r\n");
  cr_assert_not(answered, "a connection stayed open after the shutdown");
  cr_assert_eq(fixture.requests, 1);
}

/// Announces a request with a body, and sends as much of it. @return the response's status.
Task<unsigned> upload(Fixture& fixture, asio::ip::tcp::socket& socket, std::size_t announced,
                      std::size_t sent) {
  const Address address = fixture.server.address();
  socket.connect({asio::ip::address_v4(address.ip), address.port});
  const std::string request =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n" +
      std::string(sent, 'x');
  boost::system::error_code error;
  co_await asio::async_write(socket, asio::buffer(request),
                             asio::redirect_error(asio::use_awaitable, error));
  std::string input;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n",
                                  asio::redirect_error(asio::use_awaitable, error));
  const std::size_t status_at = std::strlen("HTTP/1.1 ");
  co_return input.size() > status_at ? std::stoul(input.substr(status_at, 3)) : 0;
}

Task<void> refusesFurtherLargeBodies(Fixture& fixture) {
  http::ServerLimits limits;
  limits.max_body_bytes = kLargeBody;
  fixture.server.setLimits(limits);
  fixture.server.setBodyMemory(kLargeBody / 2);
  cr_assert_not(fixture.server.listen({0x7f000001, 0}).has_value());
  std::vector<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < 4; ++i) sockets.emplace_back(fixture.loop);
  const unsigned first = co_await upload(fixture, sockets[0], kLargeBody, kLargeBody);
  cr_assert_eq(first, 200U, "a single large body got %u", first);
  const unsigned second = co_await upload(fixture, sockets[1], kLargeBody, 0);
  cr_assert_eq(second, 503U, "a second large body got %u", second);
  const unsigned small = co_await upload(fixture, sockets[2], 1000, 1000);
  cr_assert_eq(small, 200U, "a small body got %u", small);
  cr_assert_eq(fixture.requests, 2);
  fixture.end_streams = true;
  co_await sleepFor(fixture.loop, std::chrono::milliseconds(50));
  const unsigned third = co_await upload(fixture, sockets[3], kLargeBody, kLargeBody);
  cr_assert_eq(third, 200U, "a large body after the first one got %u", third);
}

}  // namespace

// Guards against uploads of several callers that together exceed the memory of the machine.
Test(http_server_bodies, a_large_body_is_refused_while_another_one_is_kept) {
  // Never destroyed, as its sessions refer to the server. Each test runs in its own process.
  auto* fixture = new Fixture;
  fixture->run(refusesFurtherLargeBodies);
}

// Guards against a connection that stays open after the shutdown, since the header of its stream
// was sent before it, and on which a client then sends a request that the end of the process cuts.
Test(http_server_end, a_connection_whose_stream_began_before_the_shutdown_is_closed_after_it) {
  // Never destroyed, as its sessions refer to the server. Each test runs in its own process.
  auto* fixture = new Fixture;
  fixture->run(closesConnectionAfterStream);
}
