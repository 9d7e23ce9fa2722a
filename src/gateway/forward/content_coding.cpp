#include "gateway/forward/content_coding.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cstdlib>
#include <string>

namespace linenpier::forward {

namespace beast_http = boost::beast::http;

namespace {

constexpr char kIdentity[] = "identity";
constexpr char kAnyCoding[] = "*";

/** @return the weight of an entry of Accept-Encoding; 0 excludes its coding. */
double weightOf(const beast_http::param_list& parameters) {
  for (const auto& [name, value] : parameters) {
    if (boost::iequals(name, "q")) return std::strtod(std::string(value).c_str(), nullptr);
  }
  return 1;
}

bool acceptsCoding(const http::Fields& request, boost::beast::string_view coding) {
  bool accepts_any = false;
  for (const auto& entry : beast_http::ext_list(request[beast_http::field::accept_encoding])) {
    const bool accepted = weightOf(entry.second) > 0;
    if (boost::iequals(entry.first, coding)) return accepted;
    if (entry.first == kAnyCoding) accepts_any = accepted;
  }
  return accepts_any;
}

}  // namespace

bool acceptsCodings(const http::Fields& request, const http::Fields& response) {
  const auto [first, end] = response.equal_range(beast_http::field::content_encoding);
  for (auto field = first; field != end; ++field) {
    const beast_http::token_list codings(field->value());
    const bool malformed = codings.begin() == codings.end() && !field->value().empty();
    if (malformed) return false;
    for (const auto coding : codings) {
      if (!boost::iequals(coding, kIdentity) && !acceptsCoding(request, coding)) return false;
    }
  }
  return true;
}

}  // namespace linenpier::forward
