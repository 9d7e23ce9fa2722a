#include "gateway/http/client_exchange.h"

#include <poll.h>

#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>
#include <limits>
#include <string_view>
#include <tl/expected.hpp>

#include "common/event_log.h"
#include "common/http_syntax.h"
#include "gateway/http/field_lines.h"

namespace linenpier::http {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadChunkBytes = 16 * 1024;
constexpr int kMaxStaleResponses = 3;
constexpr std::size_t kMaxHeaderBytes = 8 * 1024;
/// Longest suspension of the machine that is ignored. `machine_clock::suspended` is inexact, since
/// it is the difference of two clocks that are read one after the other.
constexpr Duration kSuspensionTolerance = std::chrono::milliseconds(50);
/// Time before the idle timeout of the peer at which reuse of a connection ends, so that no request
/// is sent on a connection that is being closed.
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(600);

/// @return the idle timeout from the Keep-Alive field, less a margin.
Duration idleTimeout(const Fields& fields, Duration default_timeout) {
  const auto value = std::string(fields[beast_http::field::keep_alive]);
  const auto at = value.find("timeout=");
  if (at == std::string::npos) return default_timeout;
  const auto seconds = std::chrono::seconds(std::atoi(value.c_str() + at + 8));
  return std::max<Duration>(seconds - kIdleTimeoutMargin, Duration::zero());
}

/// @return whether the body is decoded whole: the parser removes chunks and no other coding.
bool isTransferCodingKnown(const Fields& fields) {
  const auto [first, end] = fields.equal_range(beast_http::field::transfer_encoding);
  return first == end || (std::next(first) == end && boost::iequals(first->value(), "chunked"));
}

/// @return whether the direction to the peer is open. A reset closes both directions, an end in
/// order only the one from the peer.
bool canSend(ClientConnection& connection) {
  pollfd socket{connection.stream.socket().native_handle(), 0, 0};
  const int ready = ::poll(&socket, 1, 0);
  return ready == 0 || (ready > 0 && (socket.revents & (POLLHUP | POLLERR)) == 0);
}

/// @return the bytes that were received but not yet parsed.
std::string_view received(const ClientConnection& connection) {
  const auto bytes = connection.buffer.data();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

/// Receives a whole header into the connection's buffer. @return the size of the header.
Task<tl::expected<std::size_t, boost::system::error_code>> receiveHeader(
    ClientConnectionPtr connection) {
  constexpr std::string_view kHeaderEnd = "\r\n\r\n";
  std::size_t searched = 0;
  for (;;) {
    const std::string_view bytes = received(*connection);
    const std::size_t end = bytes.find(kHeaderEnd, searched);
    if (end != std::string_view::npos) co_return end + kHeaderEnd.size();
    if (bytes.size() >= kMaxHeaderBytes)
      co_return tl::make_unexpected(make_error_code(beast_http::error::header_limit));
    searched = bytes.size() - std::min(bytes.size(), kHeaderEnd.size() - 1);
    boost::system::error_code error;
    const std::size_t count = co_await connection->stream.async_read_some(
        connection->buffer.prepare(boost::beast::read_size(connection->buffer, kReadChunkBytes)),
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return tl::make_unexpected(error);
    connection->buffer.commit(count);
  }
}

/// Closes the connection immediately, even during a write.
void close(ClientConnection& connection) {
  boost::system::error_code ignored;
  connection.stream.socket().close(ignored);
}

}  // namespace

const char* toText(ExchangeStatus status) {
  switch (status) {
    case ExchangeStatus::kOk:
      return "ok";
    case ExchangeStatus::kNotConnected:
      return "not connected";
    case ExchangeStatus::kWithheld:
      return "withheld";
    case ExchangeStatus::kBroken:
      return "broken";
    case ExchangeStatus::kOverLimit:
      return "over limit";
    case ExchangeStatus::kTimedOut:
      return "timed out";
    case ExchangeStatus::kAborted:
      return "aborted";
  }
  return "unknown";
}

ClientExchange::ClientExchange(ConnectionPool& pool, Address peer, Request request)
    : pool_(pool), peer_(peer), request_(std::move(request)) {}

ClientExchange::~ClientExchange() {
  pool_.budget().release(reserved_bytes_);
}

Task<ExchangeStatus> ClientExchange::start(Instant connect_deadline, Instant deadline,
                                           std::optional<ExpectedEcho> echo,
                                           bool force_new_connection) {
  const auto self = shared_from_this();
  if (!force_new_connection) connection_ = pool_.acquireIdle(steadyNow(), peer_);
  if (!connection_) {
    connection_ = co_await pool_.connect(peer_, std::min(connect_deadline, deadline));
  }
  if (aborted_) {
    connection_.reset();
    co_return ExchangeStatus::kAborted;
  }
  if (!connection_) co_return ExchangeStatus::kNotConnected;
  if (may_send_ && !may_send_()) {
    connection_.reset();
    co_return ExchangeStatus::kWithheld;
  }
  connection_->expireAt(deadline);
  beginWrite();
  for (int stale_responses = 0; stale_responses <= kMaxStaleResponses; ++stale_responses) {
    const ExchangeStatus status = co_await readHead(deadline);
    if (status != ExchangeStatus::kOk) co_return status;
    if (!echo || fieldText(head(), echo->field) == echo->value) {
      if (parser_->is_done()) finish();
      co_return ExchangeStatus::kOk;
    }
    stale_response_seen_ = true;
    const ExchangeStatus skipped = co_await skipBody(deadline);
    if (skipped != ExchangeStatus::kOk) co_return skipped;
    // If the end of the connection delimits the body, no further response can follow.
    if (parser_->need_eof()) co_return ExchangeStatus::kBroken;
  }
  abort();
  co_return ExchangeStatus::kBroken;
}

void ClientExchange::beginWrite() {
  sent_ = true;
  beast_http::async_write(connection_->stream, request_,
                          [self = shared_from_this(), connection = connection_](
                              const boost::system::error_code& error, std::size_t) {
                            self->write_state_ = error ? WriteState::kFailed : WriteState::kDone;
                          });
}

Task<ExchangeStatus> ClientExchange::readHead(Instant deadline) {
  const int max_informational = pool_.responseLimits().max_informational;
  for (int informational = 0; informational <= max_informational; ++informational) {
    parser_.emplace();
    // Bodies are limited where they are kept: the events of a stream are passed on one by one.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_->header_limit(kMaxHeaderBytes);
    if (request_.method() == beast_http::verb::head) parser_->skip(true);
    const auto connection = connection_;
    connection->expireAt(deadline);
    const auto header_bytes = co_await receiveHeader(connection);
    if (aborted_) co_return ExchangeStatus::kAborted;
    if (!header_bytes) co_return toStatus(header_bytes.error());
    const ExchangeStatus parsed = parseHeader(*connection, *header_bytes);
    if (parsed != ExchangeStatus::kOk) co_return parsed;
    if (status() / 100 != 1) co_return ExchangeStatus::kOk;
  }
  co_return cutOff("informational", static_cast<std::size_t>(max_informational));
}

ExchangeStatus ClientExchange::parseHeader(ClientConnection& connection, std::size_t header_bytes) {
  // The parser would append a line that begins with a blank to the field before it.
  if (!hasValidFieldNames(received(connection).substr(0, header_bytes)))
    return rejectMalformed("field_name");
  boost::system::error_code error;
  connection.buffer.consume(parser_->put(connection.buffer.data(), error));
  if (error) return toStatus(error);
  // The parser accepts any three digits.
  if (!isDefinedStatus(status())) return rejectMalformed("status");
  // The parser adds the fields of a trailer to its own.
  head_ = parser_->get().base();
  if (!isTransferCodingKnown(head())) return rejectMalformed("transfer_coding");
  return ExchangeStatus::kOk;
}

Task<ExchangeStatus> ClientExchange::skipBody(Instant deadline) {
  const std::size_t limit = pool_.responseLimits().max_discarded_bytes;
  std::string ignored;
  std::size_t skipped = 0;
  while (!parser_->is_done()) {
    const ExchangeStatus status = co_await readBodyChunk(ignored, deadline);
    if (status != ExchangeStatus::kOk) co_return status;
    skipped += ignored.size();
    if (skipped > limit) co_return cutOff("discarded", limit);
    ignored.clear();
  }
  co_return ExchangeStatus::kOk;
}

Task<ExchangeStatus> ClientExchange::readBodyChunk(std::string& out, Instant deadline) {
  const auto connection = connection_;
  if (!connection) co_return ExchangeStatus::kAborted;
  const std::size_t before = out.size();
  out.resize(before + kReadChunkBytes);
  parser_->get().body().data = out.data() + before;
  parser_->get().body().size = kReadChunkBytes;
  parser_->get().body().more = true;
  connection->expireAt(deadline);
  boost::system::error_code error;
  co_await beast_http::async_read_some(connection->stream, connection->buffer, *parser_,
                                       asio::redirect_error(asio::use_awaitable, error));
  out.resize(before + kReadChunkBytes - parser_->get().body().size);
  if (aborted_) co_return ExchangeStatus::kAborted;
  if (error == beast_http::error::need_buffer) error = {};
  if (error) co_return toStatus(error);
  const bool ended_by_close = parser_->is_done() && parser_->need_eof();
  if (ended_by_close && !endedInOrder(*connection)) co_return rejectMalformed("reset");
  co_return ExchangeStatus::kOk;
}

Task<ExchangeStatus> ClientExchange::readSome(std::string& out, Instant deadline) {
  const auto self = shared_from_this();
  if (complete_) co_return ExchangeStatus::kOk;
  if (!parser_->is_done()) {
    const ExchangeStatus status = co_await readBodyChunk(out, deadline);
    if (status != ExchangeStatus::kOk) co_return status;
  }
  if (parser_->is_done()) finish();
  co_return ExchangeStatus::kOk;
}

Task<ExchangeStatus> ClientExchange::readAll(std::string& out, Instant deadline) {
  const auto self = shared_from_this();
  const ResponseLimits& limits = pool_.responseLimits();
  while (!complete_) {
    const ExchangeStatus status = co_await readSome(out, deadline);
    if (status != ExchangeStatus::kOk) co_return status;
    if (out.size() > limits.max_body_bytes) co_return cutOff("body", limits.max_body_bytes);
    if (!reserveBody(out.size())) co_return cutOff("all_bodies", limits.max_total_bytes);
  }
  co_return ExchangeStatus::kOk;
}

Task<ExchangeStatus> ClientExchange::discardBody(Instant deadline) {
  const auto self = shared_from_this();
  if (complete_) co_return ExchangeStatus::kOk;
  const ExchangeStatus status = co_await skipBody(deadline);
  if (status == ExchangeStatus::kOk) finish();
  co_return status;
}

bool ClientExchange::reserveBody(std::size_t body_bytes) {
  const std::size_t uncounted = pool_.responseLimits().uncounted_body_bytes;
  if (body_bytes <= uncounted + reserved_bytes_) return true;
  const std::size_t more = body_bytes - uncounted - reserved_bytes_;
  if (!pool_.budget().reserve(more)) return false;
  reserved_bytes_ += more;
  return true;
}

ExchangeStatus ClientExchange::toStatus(const boost::system::error_code& error) {
  if (aborted_) return ExchangeStatus::kAborted;
  if (error == boost::beast::error::timeout) return ExchangeStatus::kTimedOut;
  const ResponseLimits& limits = pool_.responseLimits();
  if (error == beast_http::error::buffer_overflow)
    return cutOff("unparsed", limits.max_unparsed_bytes);
  if (error == beast_http::error::header_limit) return cutOff("header", kMaxHeaderBytes);
  return ExchangeStatus::kBroken;
}

bool ClientExchange::endedInOrder(ClientConnection& connection) const {
  switch (write_state_) {
    case WriteState::kDone:
      return true;
    case WriteState::kFailed:
      return false;
    case WriteState::kPending:
      return canSend(connection);
  }
  return false;
}

ExchangeStatus ClientExchange::cutOff(const char* bound, std::size_t limit) {
  logging::LogEvent("http", "over_limit")
      .text("peer", toString(peer_))
      .text("bound", bound)
      .number("limit", static_cast<std::int64_t>(limit));
  abort();
  return ExchangeStatus::kOverLimit;
}

ExchangeStatus ClientExchange::rejectMalformed(const char* problem) {
  logging::LogEvent("http", "malformed").text("peer", toString(peer_)).text("problem", problem);
  abort();
  return ExchangeStatus::kBroken;
}

void ClientExchange::finish() {
  complete_ = true;
  const ClientConnectionPtr connection = std::move(connection_);
  if (!connection) return;
  const bool reusable = write_state_ == WriteState::kDone && !stale_response_seen_ &&
                        parser_->keep_alive() && !parser_->need_eof() &&
                        connection->buffer.size() == 0;
  if (reusable) {
    pool_.release(steadyNow(), connection, idleTimeout(head(), pool_.defaultIdleTimeout()));
  } else {
    close(*connection);
  }
}

void ClientExchange::abort() {
  aborted_ = true;
  const ClientConnectionPtr connection = std::move(connection_);
  if (connection) close(*connection);
}

namespace {

Task<CallOutcome> readResponse(std::shared_ptr<ClientExchange> exchange, Instant connect_deadline,
                               Instant deadline) {
  CallOutcome outcome;
  const Duration suspended = machine_clock::suspended();
  outcome.status = co_await exchange->start(connect_deadline, deadline, std::nullopt, false);
  outcome.sent = exchange->sent();
  if (outcome.status != ExchangeStatus::kOk) co_return outcome;
  outcome.status = co_await exchange->readAll(outcome.response.body(), deadline);
  outcome.response.base() = exchange->head();
  // A response that was read after the machine was suspended may be out of date and does not show
  // that the peer is reachable now.
  const bool was_suspended = machine_clock::suspended() - suspended > kSuspensionTolerance;
  if (was_suspended) outcome.status = ExchangeStatus::kTimedOut;
  co_return outcome;
}

}  // namespace

Task<CallOutcome> call(ConnectionPool& pool, Address peer, Request request, Instant deadline) {
  co_return co_await call(pool, peer, std::move(request), deadline, deadline);
}

Task<CallOutcome> call(ConnectionPool& pool, Address peer, Request request,
                       Instant connect_deadline, Instant deadline) {
  auto exchange = std::make_shared<ClientExchange>(pool, peer, std::move(request));
  co_return co_await readResponse(std::move(exchange), connect_deadline, deadline);
}

Task<CallOutcome> call(std::shared_ptr<ClientExchange> exchange, Instant deadline) {
  co_return co_await readResponse(std::move(exchange), deadline, deadline);
}

}  // namespace linenpier::http
