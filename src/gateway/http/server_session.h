#pragma once

/// @file
/// One client connection of the HTTP server.

#include <boost/beast/http/parser.hpp>

#include "gateway/http/server.h"

namespace linenpier::http {

class ServerSession : public std::enable_shared_from_this<ServerSession> {
 public:
  ServerSession(Server& server, boost::asio::ip::tcp::socket socket);
  ~ServerSession();

  Task<void> run();
  /// Closes the connection if no request is in progress.
  void closeIfIdle();
  /// Lets the handler of the request in progress respond at once.
  void endRequest();

 private:
  friend class ResponseWriter;
  class ReadTimeout;
  using Parser = beast_http::request_parser<beast_http::string_body>;

  /// Waits for the first byte of a request. @return false if no byte arrived.
  Task<bool> waitForRequest();
  /// Reads a complete request. @return false if the connection must be closed.
  Task<bool> readRequest(Parser& parser);
  /// Reads the body of a request whose header has been read.
  Task<boost::system::error_code> readBody(Parser& parser);
  /// Counts the memory of a body of this size. @return false if there is not enough.
  bool reserveBody(std::uint64_t body_bytes);
  void releaseBody();
  Task<void> reject(beast_http::status status);
  Task<bool> writeResponse(Response response);
  /// Requests cancellation if the client disconnects while its request is handled.
  void watchForClose(ResponseWriter& writer);
  void onReadable(std::uint64_t request_number);
  void disableKeepAliveIfDraining();
  void close();

  Server& server_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  ResponseWriter* writer_ = nullptr;  ///< Response writer of the request in progress.
  std::uint64_t request_number_ = 0;  ///< Detects notifications for earlier requests.
  std::size_t reserved_bytes_ = 0;    ///< Bytes of the body that are counted by the server.
  bool in_request_ = false;
  bool closed_ = false;
  bool keep_alive_ = true;
};

}  // namespace linenpier::http
