#pragma once

/// @file
/// One request and its answer on an outgoing connection, read piece by piece.

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>
#include <string>

#include "gateway/http/connection_pool.h"

namespace linenpier::http {

/// How an exchange, or one step of it, ended.
enum class ExchangeStatus {
  kOk,
  kNotConnected,  ///< No connection: nothing was sent.
  kWithheld,      ///< It must not be sent any more: nothing was.
  kBroken,        ///< Closed, reset, or bytes that are no answer; the request may have run.
  kTimedOut,      ///< No progress before the deadline; the request may have run.
  kAborted,       ///< `abort` was called.
};

const char* toText(ExchangeStatus status);

/// A field that the answer must echo, so that a surplus answer to another request is known as one.
struct ExpectedEcho {
  std::string field;
  std::string value;
};

/// Sends while it receives: peers may answer before they have read a long body. Loop thread only;
/// must be held by a shared pointer.
///
/// Invariant: the connection goes back to the pool only after a whole answer, with the request
/// written whole, nothing left in the buffer and both sides willing to go on.
class ClientExchange : public std::enable_shared_from_this<ClientExchange> {
 public:
  ClientExchange(ConnectionPool& pool, Address peer, Request request);

  /// Asked when a connection is there: what was right to send when it was begun may not be now.
  void sendOnlyIf(std::function<bool()> condition) { may_send_ = std::move(condition); }
  /// Connects, sends and reads the head.
  /// @param force_new_connection whether to open a new connection even if one is idle.
  Task<ExchangeStatus> start(Instant connect_deadline, Instant deadline,
                             std::optional<ExpectedEcho> echo, bool force_new_connection);
  /// Reads some of the body into `out`, appending.
  /// @return kOk; `complete` tells whether the answer is whole.
  Task<ExchangeStatus> readSome(std::string& out, Instant deadline);
  /// Reads the rest of the body, at most `limit` bytes.
  Task<ExchangeStatus> readAll(std::string& out, std::size_t limit, Instant deadline);

  const Request& request() const { return request_; }
  const ResponseHead& head() const { return parser_->get().base(); }
  unsigned status() const { return parser_->get().result_int(); }
  bool complete() const { return complete_; }
  /// @return whether any byte of the request may have reached the peer.
  bool sent() const { return sent_; }
  /// Ends the exchange by closing its connection; pending calls return kAborted.
  void abort();

 private:
  using Parser = beast_http::response_parser<beast_http::buffer_body>;

  void beginWrite();
  Task<ExchangeStatus> readHead(Instant deadline);
  Task<ExchangeStatus> skipBody(Instant deadline);
  Task<ExchangeStatus> readBodyChunk(std::string& out, Instant deadline);
  ExchangeStatus toStatus(const boost::system::error_code& error) const;
  void finish();

  ConnectionPool& pool_;
  Address peer_;
  Request request_;
  std::function<bool()> may_send_;  ///< Empty: always.
  ClientConnectionPtr connection_;  ///< Empty before the connection and after the end.
  std::optional<Parser> parser_;
  bool sent_ = false;
  bool write_done_ = false;
  bool complete_ = false;
  bool aborted_ = false;
  bool stale_response_seen_ = false;  ///< An answer to something else came first: do not keep.
};

/// Sends a request and reads the whole answer.
/// @return the answer, or how the exchange ended; `sent` tells whether it may have been processed.
struct CallOutcome {
  ExchangeStatus status = ExchangeStatus::kNotConnected;
  bool sent = false;
  Response response;
};
Task<CallOutcome> call(ConnectionPool& pool, Address peer, Request request, Instant deadline);
/// The same for an exchange that the caller may abort.
Task<CallOutcome> call(std::shared_ptr<ClientExchange> exchange, Instant deadline);
/// The same, with a time of its own until which the connection must be there.
Task<CallOutcome> call(ConnectionPool& pool, Address peer, Request request,
                       Instant connect_deadline, Instant deadline);

}  // namespace linenpier::http
