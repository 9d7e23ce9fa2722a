#pragma once

/// @file
/// One connection of a client. Used by the server only.

#include <boost/beast/http/parser.hpp>

#include "gateway/http/server.h"

namespace linenpier::http {

class ServerSession : public std::enable_shared_from_this<ServerSession> {
 public:
  ServerSession(Server& server, boost::asio::ip::tcp::socket socket);
  ~ServerSession();

  Task<void> run();
  /// Closes the connection if no request is under way.
  void closeIfIdle();

 private:
  friend class ResponseWriter;
  class ReadTimeout;
  using Parser = beast_http::request_parser<beast_http::string_body>;

  /// Waits for the first byte of a request. @return false if none came.
  Task<bool> waitForRequest();
  /// Reads a whole request. @return false if the connection must end.
  Task<bool> readRequest(Parser& parser);
  Task<void> reject(beast_http::status status);
  Task<bool> writeResponse(Response response);
  /// Tells the writer when the client leaves while its request is worked on.
  void watchForClose(ResponseWriter& writer);
  void onReadable(std::uint64_t request_number);
  void disableKeepAliveIfDraining();
  void close();

  Server& server_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  ResponseWriter* writer_ = nullptr;  ///< Of the request under way.
  std::uint64_t request_number_ = 0;  ///< Tells a late wake-up from one for this request.
  bool in_request_ = false;
  bool closed_ = false;
  bool keep_alive_ = true;
};

}  // namespace linenpier::http
