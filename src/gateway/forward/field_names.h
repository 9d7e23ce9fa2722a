#pragma once

/** @file
 * Names of the HTTP header fields exchanged by callers, gateways and engines. The platform port
 * sets the names.
 */

#include <string>

namespace linenpier::forward {

struct field_names {
  std::string request_id;
  std::string deadline_ms;     ///< Time left for the request, in milliseconds.
  std::string target_engine;   ///< Id of the target engine; other engines reject the request.
  std::string signature;       ///< Signature of an engine's response; every response must have one.
  std::string not_executed;    ///< Field that is present if the engine did not execute the request.
  std::string retry_after;     ///< Delay before a retry, in seconds; may be fractional.
  std::string load;            ///< Engine load as "running,waiting,slots".
  std::string weight_version;  ///< Weight version, in the response header or in an event.
  std::string last_event_id;
  std::string length_hint;  ///< Expected number of output tokens.
  std::string priority;
  std::string model;
  std::string tenant;   ///< Tenant that the request is sent for.
  std::string wait_ms;  ///< Long-poll timeout of a client's request for batch results.
};

}  // namespace linenpier::forward
