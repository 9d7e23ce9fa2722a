#pragma once

/// @file
/// One HTTP call to a platform service, with its failure classified by what may have happened.

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <string>

#include "common/address.h"
#include "common/error.h"
#include "common/time.h"

namespace linenpier::platform {

/// How long a call may take.
struct CallTimeouts {
  Duration connect = std::chrono::milliseconds(500);
  Duration answer = std::chrono::seconds(2);  ///< Without any byte of an answer.
};

/// Where an HTTP service is: host, port and path prefix.
struct ServiceUrl {
  std::string host;
  int port = 0;
  std::string path;  ///< Without a trailing slash; may be empty.
};

/// @param url "http://127.0.0.1:9000/engines/e1".
ServiceUrl parseServiceUrl(const std::string& url);
ServiceUrl serviceUrl(const Address& address);

/// @return a client for one call, with its timeouts set. Clients are not shared between threads.
httplib::Client makeClient(const ServiceUrl& url, const CallTimeouts& timeouts);

/// Most bytes of a body that a client keeps. The largest bodies are specifications of steps.
constexpr std::size_t kMaxBodyBytes = 32 * 1024 * 1024;

/// Sends a request and reads the response. The call fails if the body exceeds `kMaxBodyBytes`.
httplib::Result sendBounded(httplib::Client& client, httplib::Request request);

httplib::Request withoutBody(const std::string& method, const std::string& path,
                             httplib::Headers headers);
httplib::Request makeRequest(const std::string& method, const std::string& path,
                             httplib::Headers headers, std::string body,
                             const std::string& content_type);

/// @return whether the response is valid HTTP and its body was delimited and decoded as its header
/// says. The library does not check this. Nothing in any other response can be relied on.
bool isValid(const httplib::Response& response);

/// Classifies an outcome. @return the response if it is valid and its status is 2xx or 409.
CallResult<httplib::Response> classify(httplib::Result result);
CallFailure failureOf(httplib::Error error);

/// Encodes a query parameter.
std::string urlEncode(const std::string& text);

/// Reads a JSON answer with `read`. @return what it read; kBadAnswer if the JSON is not as
/// expected.
template <typename T, typename Read>
CallResult<T> parseAnswer(const CallResult<httplib::Response>& response, Read read) {
  if (!response) return tl::make_unexpected(response.error());
  try {
    return read(nlohmann::json::parse(response->body));
  } catch (const nlohmann::json::exception& error) {
    return tl::make_unexpected(CallError{CallFailure::kBadAnswer, error.what()});
  }
}

/// The platform's services under one address. Immutable, so safe from any thread: each call opens a
/// connection of its own.
class PlatformService {
 public:
  /// @param caller named in each call, so that the platform knows which zone it comes from.
  PlatformService(const Address& address, const std::string& caller);

  /// @param path with its query.
  CallResult<httplib::Response> get(const std::string& path) const;
  CallResult<httplib::Response> put(const std::string& path, const std::string& body) const;
  CallResult<httplib::Response> post(const std::string& path, const std::string& json) const;
  CallResult<httplib::Response> remove(const std::string& path) const;

 private:
  CallResult<httplib::Response> call(httplib::Request request) const;

  ServiceUrl url_;
  httplib::Headers headers_;
};

}  // namespace linenpier::platform
