#pragma once

/// @file
/// One HTTP call to a platform service, with its failure classified by what may have happened.

#include <httplib.h>

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
ServiceUrl serviceUrl(const Address& address, std::string path = "");

/// @return a client for one call, with its timeouts set. Clients are not shared between threads.
httplib::Client makeClient(const ServiceUrl& url, const CallTimeouts& timeouts);

/// Classifies an outcome. @return the response if its status is 2xx or 409.
CallResult<httplib::Response> classify(httplib::Result result);
CallFailure failureOf(httplib::Error error);
CallFailure failureOfStatus(int status);

/// Encodes a query parameter.
std::string urlEncode(const std::string& text);

}  // namespace linenpier::platform
