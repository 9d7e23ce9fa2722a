#include "gateway/http/server_session.h"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/system/error_code.hpp>

namespace linenpier::http {

namespace asio = boost::asio;

namespace {

constexpr Duration kWriteTimeout = std::chrono::seconds(10);
/// Size of a body that is always read, so that large bodies do not prevent usual requests.
constexpr std::size_t kUncountedBodyBytes = 64 * 1024;
/// Large bodies are read and answered within about this time.
constexpr char kRetryAfterSeconds[] = "1";

beast_http::status statusFor(const boost::system::error_code& error) {
  if (error == beast_http::error::header_limit) {
    return beast_http::status::request_header_fields_too_large;
  }
  if (error == beast_http::error::body_limit) return beast_http::status::payload_too_large;
  return beast_http::status::bad_request;
}

bool isProtocolError(const boost::system::error_code& error) {
  return error.category() == boost::system::error_code(beast_http::error::bad_method).category() &&
         error != beast_http::error::end_of_stream && error != beast_http::error::partial_message;
}

}  // namespace

ServerSession::ServerSession(Server& server, asio::ip::tcp::socket socket)
    : server_(server), stream_(std::move(socket)) {
  boost::system::error_code ignored;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  server_.sessions_.insert(this);
}

ServerSession::~ServerSession() {
  releaseBody();
  server_.sessions_.erase(this);
}

void ServerSession::close() {
  closed_ = true;
  boost::system::error_code ignored;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream_.socket().close(ignored);
}

void ServerSession::closeIfIdle() {
  if (!in_request_) close();
}

void ServerSession::endRequest() {
  if (writer_ == nullptr || writer_->cancellation_.requested()) return;
  writer_->ended_by_server_ = true;
  writer_->cancellation_.request();
}

Task<bool> ServerSession::waitForRequest() {
  if (buffer_.size() > 0) co_return true;
  stream_.expires_after(server_.limits_.idle_timeout);
  boost::system::error_code error;
  const std::size_t received = co_await stream_.async_read_some(
      buffer_.prepare(4096), asio::redirect_error(asio::use_awaitable, error));
  if (error || closed_) co_return false;
  buffer_.commit(received);
  co_return true;
}

/// Cancels reads after a timeout. Unlike the timeout of the TCP stream, this timeout keeps the
/// connection open, so that an error response can be sent.
class ServerSession::ReadTimeout {
 public:
  ReadTimeout(boost::beast::tcp_stream& stream, Duration limit)
      : state_(std::make_shared<State>(stream)) {
    state_->timer.expires_after(limit);
    state_->timer.async_wait([state = state_](const boost::system::error_code& error) {
      if (error || state->done) return;
      state->expired = true;
      boost::system::error_code ignored;
      state->stream.socket().cancel(ignored);
    });
  }
  ~ReadTimeout() {
    state_->done = true;
    state_->timer.cancel();
  }
  bool expired() const { return state_->expired; }

 private:
  struct State {
    explicit State(boost::beast::tcp_stream& limited)
        : stream(limited), timer(limited.get_executor()) {}
    boost::beast::tcp_stream& stream;  ///< Stream that must not be used once `done` is true.
    machine_timer timer;
    bool expired = false;
    bool done = false;
  };
  std::shared_ptr<State> state_;
};

Task<bool> ServerSession::readRequest(Parser& parser) {
  parser.header_limit(server_.limits_.max_header_bytes);
  parser.body_limit(server_.limits_.max_body_bytes);
  stream_.expires_never();
  boost::system::error_code error;
  bool timed_out = false;
  {
    const ReadTimeout limit(stream_, server_.limits_.header_timeout);
    co_await beast_http::async_read_header(stream_, buffer_, parser,
                                           asio::redirect_error(asio::use_awaitable, error));
    timed_out = limit.expired();
  }
  if (!error && parser.get().count(beast_http::field::expect) > 0 && !parser.is_done()) {
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(stream_, asio::buffer(kContinue.data(), kContinue.size()),
                               asio::redirect_error(asio::use_awaitable, error));
  }
  if (!error && !parser.is_done()) {
    const ReadTimeout limit(stream_, server_.limits_.body_timeout);
    error = co_await readBody(parser);
    timed_out = limit.expired();
  }
  if (!error) co_return true;
  if (error == boost::system::errc::not_enough_memory) {
    co_await reject(beast_http::status::service_unavailable);
  } else if (timed_out) {
    co_await reject(beast_http::status::request_timeout);
  } else if (isProtocolError(error)) {
    co_await reject(statusFor(error));
  }
  co_return false;
}

Task<boost::system::error_code> ServerSession::readBody(Parser& parser) {
  boost::system::error_code error;
  const auto announced = parser.content_length();
  if (announced && !reserveBody(*announced))
    error = make_error_code(boost::system::errc::not_enough_memory);
  while (!error && !parser.is_done()) {
    co_await beast_http::async_read_some(stream_, buffer_, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
    const bool reserved = reserveBody(parser.get().body().size());
    if (!error && !reserved) error = make_error_code(boost::system::errc::not_enough_memory);
  }
  co_return error;
}

bool ServerSession::reserveBody(std::uint64_t body_bytes) {
  if (body_bytes <= kUncountedBodyBytes + reserved_bytes_) return true;
  const std::size_t more = body_bytes - kUncountedBodyBytes - reserved_bytes_;
  if (!server_.body_budget_.reserve(more)) return false;
  reserved_bytes_ += more;
  return true;
}

void ServerSession::releaseBody() {
  server_.body_budget_.release(reserved_bytes_);
  reserved_bytes_ = 0;
}

Task<void> ServerSession::reject(beast_http::status status) {
  Response response(status, 11);
  if (status == beast_http::status::service_unavailable)
    response.set(beast_http::field::retry_after, kRetryAfterSeconds);
  keep_alive_ = false;
  co_await writeResponse(std::move(response));
  // Read the remaining input before closing; otherwise a TCP reset could discard the response.
  boost::system::error_code error;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  stream_.expires_after(std::chrono::milliseconds(500));
  while (!error) {
    buffer_.clear();
    const std::size_t received = co_await stream_.async_read_some(
        buffer_.prepare(16384), asio::redirect_error(asio::use_awaitable, error));
    if (received == 0) break;
  }
}

Task<void> ServerSession::run() {
  const auto self = shared_from_this();
  // A stream that began before the drain has announced that the connection is kept.
  while (keep_alive_ && !closed_ && !server_.shut_down_) {
    if (!co_await waitForRequest()) break;
    in_request_ = true;
    ++server_.active_requests_;
    Parser parser;
    const bool read = co_await readRequest(parser);
    if (read) {
      const Instant received = steadyNow();
      Request request = parser.release();
      keep_alive_ = request.keep_alive();
      ResponseWriter writer(*this);
      watchForClose(writer);
      co_await server_.handler_(request, received, writer);
      writer_ = nullptr;
      ++request_number_;
      if (!writer.ended()) keep_alive_ = false;
    }
    releaseBody();
    --server_.active_requests_;
    in_request_ = false;
    if (!read) break;
  }
  if (!closed_) close();
}

void ServerSession::watchForClose(ResponseWriter& writer) {
  writer_ = &writer;
  const std::uint64_t number = request_number_;
  stream_.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(), number](const boost::system::error_code& error) {
        if (!error) self->onReadable(number);
      });
}

void ServerSession::onReadable(std::uint64_t request_number) {
  if (request_number != request_number_ || writer_ == nullptr) return;
  char byte = 0;
  const ssize_t received =
      ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool gone = received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  if (!gone) return;  // The client pipelined its next request.
  writer_->cancellation_.request();
}

void ServerSession::disableKeepAliveIfDraining() {
  if (server_.draining_) keep_alive_ = false;
}

Task<bool> ServerSession::writeResponse(Response response) {
  if (closed_) co_return false;
  disableKeepAliveIfDraining();
  response.keep_alive(keep_alive_);
  response.prepare_payload();
  stream_.expires_after(kWriteTimeout);
  boost::system::error_code error;
  co_await beast_http::async_write(stream_, response,
                                   asio::redirect_error(asio::use_awaitable, error));
  if (error) keep_alive_ = false;
  co_return !error;
}

Task<bool> ResponseWriter::send(Response response) {
  started_ = true;
  ended_ = co_await session_.writeResponse(std::move(response));
  co_return ended_;
}

Task<bool> ResponseWriter::beginStream(ResponseHead head) {
  started_ = true;
  beast_http::response<beast_http::empty_body> message(std::move(head));
  session_.disableKeepAliveIfDraining();
  message.keep_alive(session_.keep_alive_);
  message.chunked(true);
  beast_http::response_serializer<beast_http::empty_body> serializer(message);
  session_.stream_.expires_after(kWriteTimeout);
  boost::system::error_code error;
  co_await beast_http::async_write_header(session_.stream_, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

Task<bool> ResponseWriter::writeChunk(std::string bytes) {
  if (session_.closed_) co_return false;
  session_.stream_.expires_after(kWriteTimeout);
  boost::system::error_code error;
  co_await asio::async_write(session_.stream_, beast_http::make_chunk(asio::buffer(bytes)),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

Task<bool> ResponseWriter::endStream() {
  if (session_.closed_) co_return false;
  session_.stream_.expires_after(kWriteTimeout);
  boost::system::error_code error;
  co_await asio::async_write(session_.stream_, beast_http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, error));
  ended_ = !error;
  co_return ended_;
}

void ResponseWriter::abortConnection() {
  session_.closed_ = true;
  boost::system::error_code ignored;
  session_.stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  session_.stream_.socket().close(ignored);
}

}  // namespace linenpier::http
