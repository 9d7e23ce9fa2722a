#pragma once

/// @file
/// Short names for Boost.Beast's HTTP types.

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

/// @return the field's value, or an empty string if absent.
inline std::string fieldText(const Fields& fields, const std::string& name) {
  const auto at = fields.find(name);
  return at == fields.end() ? std::string() : std::string(at->value());
}

/// Copies the end-to-end fields. Omits hop-by-hop fields and fields that frame the body.
void copyEndToEndFields(const Fields& from, Fields& to);

/// Cancels a request in progress. A cancellation has one observer and is used on the event loop
/// thread only.
class Cancellation {
 public:
  bool requested() const { return requested_; }
  void request() {
    if (requested_) return;
    requested_ = true;
    if (callback_) callback_();
  }
  /// @param callback called once when cancellation is requested; replaces the previous callback.
  void setCallback(std::function<void()> callback) { callback_ = std::move(callback); }

 private:
  bool requested_ = false;
  std::function<void()> callback_;
};

}  // namespace linenpier::http
