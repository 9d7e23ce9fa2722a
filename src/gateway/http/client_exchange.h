#pragma once

/// @file
/// HTTP client: one request and its incrementally read response.

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>
#include <string>

#include "gateway/http/connection_pool.h"

namespace linenpier::http {

/// Result of an exchange or of one of its steps.
enum class ExchangeStatus {
  kOk,
  kNotConnected,  ///< The connection failed; nothing was sent.
  kWithheld,      ///< The `sendOnlyIf` condition was false; nothing was sent.
  kBroken,        ///< Lost connection or malformed response; the request may have been processed.
  kOverLimit,     ///< The response exceeds a limit of `ResponseLimits`; the request may have been
                  ///< processed.
  kTimedOut,      ///< The deadline passed; the request may have been processed.
  kAborted,       ///< `abort` was called.
};

const char* toText(ExchangeStatus status);

/// Header field that the response must echo, to detect stale responses to other requests.
struct ExpectedEcho {
  std::string field;
  std::string value;
};

/// One request and its response. The exchange writes and reads concurrently, since peers may
/// respond before they have read the whole request body. An exchange must be owned by a shared_ptr
/// and used on the event loop thread only.
///
/// Invariant: what an exchange keeps in memory is limited by the pool's `ResponseLimits`, however
/// much the peer sends.
///
/// Invariant: a response that was read is valid HTTP. Nothing in any other one is relied on, such
/// as a field that says that the request was not executed.
///
/// Invariant: a body that the end of its connection delimits is complete only if the peer ended the
/// connection in order.
///
/// Invariant: the connection returns to the pool only if the request was written and the response
/// read completely, the buffer is empty and both sides allow keep-alive.
class ClientExchange : public std::enable_shared_from_this<ClientExchange> {
 public:
  ClientExchange(ConnectionPool& pool, Address peer, Request request);
  ~ClientExchange();
  ClientExchange(const ClientExchange&) = delete;
  ClientExchange& operator=(const ClientExchange&) = delete;

  /// Sets a condition that is checked after the connection was established. If the condition is
  /// false, the request is not sent.
  void sendOnlyIf(std::function<bool()> condition) { may_send_ = std::move(condition); }
  /// Connects, sends the request and reads the response header.
  /// @param force_new_connection whether to ignore idle connections of the pool.
  Task<ExchangeStatus> start(Instant connect_deadline, Instant deadline,
                             std::optional<ExpectedEcho> echo, bool force_new_connection);
  /// Appends a part of the body to `out`.
  /// @return kOk on success; `complete` then tells whether the response is complete.
  Task<ExchangeStatus> readSome(std::string& out, Instant deadline);
  /// Reads the rest of the body.
  Task<ExchangeStatus> readAll(std::string& out, Instant deadline);
  /// Reads the rest of the body without keeping it, so that the connection can be reused.
  Task<ExchangeStatus> discardBody(Instant deadline);

  const Request& request() const { return request_; }
  /// @return the header, without the fields of a trailer.
  const ResponseHead& head() const { return head_; }
  unsigned status() const { return parser_->get().result_int(); }
  bool complete() const { return complete_; }
  /// @return whether any part of the request may have reached the peer.
  bool sent() const { return sent_; }
  /// Closes the connection; pending calls return kAborted.
  void abort();

 private:
  using Parser = beast_http::response_parser<beast_http::buffer_body>;

  enum class WriteState { kPending, kDone, kFailed };

  void beginWrite();
  Task<ExchangeStatus> readHead(Instant deadline);
  /// Parses the header at the beginning of the connection's buffer.
  ExchangeStatus parseHeader(ClientConnection& connection, std::size_t header_bytes);
  /// Reads the rest of the body of any response without keeping it.
  Task<ExchangeStatus> skipBody(Instant deadline);
  Task<ExchangeStatus> readBodyChunk(std::string& out, Instant deadline);
  ExchangeStatus toStatus(const boost::system::error_code& error);
  /// @return whether the peer has ended the connection in order, after a read has seen its end. If
  /// the peer resets it during the write, the write gets the error, and a read then sees an end.
  bool endedInOrder(ClientConnection& connection) const;
  /// Closes the connection of a response that exceeds a limit, and logs the limit.
  ExchangeStatus cutOff(const char* bound, std::size_t limit);
  /// Closes the connection of a response that is not valid HTTP, and logs what is wrong with it.
  ExchangeStatus rejectMalformed(const char* problem);
  /// Counts the kept body against the pool's budget. @return whether it may be kept.
  bool reserveBody(std::size_t body_bytes);
  void finish();

  ConnectionPool& pool_;
  Address peer_;
  Request request_;
  /// Condition for sending; if empty, the request is always sent.
  std::function<bool()> may_send_;
  ClientConnectionPtr connection_;  ///< Null before connecting and after the end of the exchange.
  std::optional<Parser> parser_;
  ResponseHead head_;
  std::size_t reserved_bytes_ = 0;  ///< Bytes that are reserved in the pool's budget.
  bool sent_ = false;
  WriteState write_state_ = WriteState::kPending;
  bool complete_ = false;
  bool aborted_ = false;
  bool stale_response_seen_ = false;  ///< If true, the connection must not be reused.
};

/// Result of `call`. `sent` tells whether the request may have been processed.
struct CallOutcome {
  ExchangeStatus status = ExchangeStatus::kNotConnected;
  bool sent = false;
  Response response;
};
/// Sends a request and reads the complete response.
Task<CallOutcome> call(ConnectionPool& pool, Address peer, Request request, Instant deadline);
/// Sends the request of an exchange, which the caller can abort, and reads the complete response.
Task<CallOutcome> call(std::shared_ptr<ClientExchange> exchange, Instant deadline);
/// Sends a request, with a separate deadline for connecting, and reads the complete response.
Task<CallOutcome> call(ConnectionPool& pool, Address peer, Request request,
                       Instant connect_deadline, Instant deadline);

}  // namespace linenpier::http
