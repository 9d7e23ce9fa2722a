#include "daemon/clients/http_call.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cctype>

#include "common/http_syntax.h"

namespace linenpier::platform {

namespace {

constexpr int kConflictStatus = 409;
constexpr char kChunked[] = "chunked";

CallFailure failureOfStatus(int status) {
  if (status == 429) return CallFailure::kRateLimited;
  if (status == 503) return CallFailure::kUnavailable;
  if (status >= 400 && status < 500) return CallFailure::kRejected;
  return CallFailure::kBadAnswer;
}

}  // namespace

ServiceUrl parseServiceUrl(const std::string& url) {
  ServiceUrl result;
  const std::string scheme = "http://";
  std::string rest = url.starts_with(scheme) ? url.substr(scheme.size()) : url;
  const auto slash = rest.find('/');
  if (slash != std::string::npos) {
    result.path = rest.substr(slash);
    rest.resize(slash);
  }
  const auto colon = rest.rfind(':');
  result.host = rest.substr(0, colon);
  result.port = colon == std::string::npos ? 80 : std::atoi(rest.c_str() + colon + 1);
  return result;
}

ServiceUrl serviceUrl(const Address& address) {
  return {ipText(address), address.port, ""};
}

httplib::Client makeClient(const ServiceUrl& url, const CallTimeouts& timeouts) {
  httplib::Client client(url.host, url.port);
  const auto set = [](Duration duration, auto setter) {
    const auto whole = std::chrono::duration_cast<std::chrono::seconds>(duration);
    setter(whole.count(), (duration - whole).count());
  };
  set(timeouts.connect, [&](auto s, auto us) { client.set_connection_timeout(s, us); });
  set(timeouts.answer, [&](auto s, auto us) { client.set_read_timeout(s, us); });
  set(timeouts.answer, [&](auto s, auto us) { client.set_write_timeout(s, us); });
  client.set_tcp_nodelay(true);
  client.set_keep_alive(false);
  return client;
}

CallFailure failureOf(httplib::Error error) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return CallFailure::kUnreachable;
    default:
      return CallFailure::kAnswerLost;
  }
}

httplib::Result sendBounded(httplib::Client& client, httplib::Request request) {
  std::string body;
  request.content_receiver = [&body](const char* data, std::size_t length, std::uint64_t,
                                     std::uint64_t) {
    if (body.size() + length > kMaxBodyBytes) return false;
    body.append(data, length);
    return true;
  };
  httplib::Result result = client.send(request);
  if (result) result->body = std::move(body);
  return result;
}

httplib::Request withoutBody(const std::string& method, const std::string& path,
                             httplib::Headers headers) {
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.headers = std::move(headers);
  return request;
}

httplib::Request makeRequest(const std::string& method, const std::string& path,
                             httplib::Headers headers, std::string body,
                             const std::string& content_type) {
  httplib::Request request = withoutBody(method, path, std::move(headers));
  request.set_header("Content-Type", content_type);
  request.body = std::move(body);
  return request;
}

bool isValid(const httplib::Response& response) {
  const bool names_valid = std::all_of(response.headers.begin(), response.headers.end(),
                                       [](const auto& field) { return isToken(field.first); });
  const std::string coding = response.get_header_value("Transfer-Encoding");
  const bool coding_known = !response.has_header("Transfer-Encoding") ||
                            (boost::iequals(coding, kChunked) &&
                             response.get_header_value_count("Transfer-Encoding") == 1);
  return names_valid && coding_known && response.get_header_value_count("Content-Length") <= 1 &&
         isDefinedStatus(static_cast<unsigned>(response.status));
}

CallResult<httplib::Response> classify(httplib::Result result) {
  if (!result) {
    return tl::make_unexpected(
        CallError{failureOf(result.error()), httplib::to_string(result.error())});
  }
  if (!isValid(*result)) {
    return tl::make_unexpected(CallError{CallFailure::kBadAnswer, "not valid HTTP"});
  }
  const int status = result->status;
  if ((status >= 200 && status < 300) || status == kConflictStatus) return *result;
  return tl::make_unexpected(
      CallError{failureOfStatus(status), "status " + std::to_string(status)});
}

std::string urlEncode(const std::string& text) {
  std::string encoded;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '/') {
      encoded += static_cast<char>(c);
    } else {
      constexpr char kDigits[] = "0123456789ABCDEF";
      encoded += '%';
      encoded += kDigits[c >> 4];
      encoded += kDigits[c & 15];
    }
  }
  return encoded;
}

PlatformService::PlatformService(const Address& address, const std::string& caller)
    : url_(serviceUrl(address)), headers_{{"X-Caller", caller}} {}

CallResult<httplib::Response> PlatformService::get(const std::string& path) const {
  return call(withoutBody("GET", path, headers_));
}

CallResult<httplib::Response> PlatformService::put(const std::string& path,
                                                   const std::string& body) const {
  return call(makeRequest("PUT", path, headers_, body, "application/octet-stream"));
}

CallResult<httplib::Response> PlatformService::post(const std::string& path,
                                                    const std::string& json) const {
  return call(makeRequest("POST", path, headers_, json, "application/json"));
}

CallResult<httplib::Response> PlatformService::remove(const std::string& path) const {
  return call(withoutBody("DELETE", path, headers_));
}

CallResult<httplib::Response> PlatformService::call(httplib::Request request) const {
  httplib::Client client = makeClient(url_, {});
  return classify(sendBounded(client, std::move(request)));
}

}  // namespace linenpier::platform
