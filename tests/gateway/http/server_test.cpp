/// @file
/// Tests of how the HTTP server ends its connections.

#include "gateway/http/server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <string>

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
namespace asio = boost::asio;

namespace {

constexpr Duration kMaxTest = std::chrono::seconds(5);
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

}  // namespace

// Guards against a connection that stays open after the shutdown, since the header of its stream
// was sent before it, and on which a client then sends a request that the end of the process cuts.
Test(http_server_end, a_connection_whose_stream_began_before_the_shutdown_is_closed_after_it) {
  Fixture fixture;
  fixture.run(closesConnectionAfterStream);
}
