#include "gateway/http/http_types.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace linenpier::http {

namespace {

bool isHopByHop(beast_http::field name) {
  switch (name) {
    case beast_http::field::connection:
    case beast_http::field::keep_alive:
    case beast_http::field::proxy_connection:
    case beast_http::field::proxy_authenticate:
    case beast_http::field::proxy_authorization:
    case beast_http::field::te:
    case beast_http::field::trailer:
    case beast_http::field::transfer_encoding:
    case beast_http::field::upgrade:
    case beast_http::field::content_length:
    case beast_http::field::expect:
      return true;
    default:
      return false;
  }
}

}  // namespace

void copyEndToEndFields(const Fields& from, Fields& to) {
  std::vector<std::string> named;
  const auto connection = from[beast_http::field::connection];
  for (const auto& token : beast_http::token_list(connection)) named.emplace_back(token);
  for (const auto& field : from) {
    if (isHopByHop(field.name())) continue;
    bool named_by_connection = false;
    for (const std::string& token : named) {
      if (boost::iequals(token, field.name_string())) named_by_connection = true;
    }
    if (!named_by_connection) to.insert(field.name(), field.name_string(), field.value());
  }
}

}  // namespace linenpier::http
