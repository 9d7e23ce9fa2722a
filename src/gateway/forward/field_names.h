#pragma once

/** @file
 * Names of the HTTP header fields exchanged by callers, gateways and engines. Set by the platform
 * port.
 */

#include <string>

namespace linenpier::forward {

struct field_names {
  std::string request_id;
  std::string deadline_ms;     ///< Time left for the request, in milliseconds.
  std::string target_engine;   ///< Engines with a different id reject the request.
  std::string signature;       ///< Signature of an engine's response; required.
  std::string not_executed;    ///< Present if the engine did not execute the request.
  std::string retry_after;     ///< Seconds, may be fractional.
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
