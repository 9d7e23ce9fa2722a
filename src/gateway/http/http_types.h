#pragma once

/// @file
/// The event loop's HTTP messages: Beast's, under short names.

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>
namespace linenpier::http {

namespace beast_http = boost::beast::http;
using Request = beast_http::request<beast_http::string_body>;
using Response = beast_http::response<beast_http::string_body>;
using ResponseHead = beast_http::response_header<>;
using Fields = beast_http::fields;

/// @return the field's value, or the empty text.
inline std::string fieldText(const Fields& fields, const std::string& name) {
  const auto at = fields.find(name);
  return at == fields.end() ? std::string() : std::string(at->value());
}

/// Copies the fields that concern the whole way, leaving out those of one connection only and
/// those that describe the body's framing.
void copyEndToEndFields(const Fields& from, Fields& to);

/// Lets whoever waits for an answer stop the work for it. One owner; loop thread only.
class Cancellation {
 public:
  bool requested() const { return requested_; }
  void request() {
    if (requested_) return;
    requested_ = true;
    if (on_request_) on_request_();
  }
  /// @param on_request called once when cancellation is requested; replaces the one before.
  void onRequest(std::function<void()> on_request) { on_request_ = std::move(on_request); }

 private:
  bool requested_ = false;
  std::function<void()> on_request_;
};

}  // namespace linenpier::http
