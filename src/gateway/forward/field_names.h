#pragma once

/** @file
 * Names of the HTTP header fields between callers, gateways and engines. The platform port sets
 * them.
 */

#include <string>

namespace linenpier::forward {

struct field_names {
  std::string request_id;
  std::string deadline_ms;      ///< How long the sender waits.
  std::string target_engine;    ///< Engines with another id reject the request.
  std::string signature;        ///< Proof of an engine's answer.
  std::string not_executed;     ///< Present: the engine did not run the request.
  std::string retry_after;      ///< Seconds, fractions included.
  std::string load;             ///< Requests of an engine: "running,waiting,slots".
  std::string weight_versions;  ///< Version of weights, in the head or at an event.
  std::string last_event_id;
  std::string length_hint;  ///< Expected output tokens.
  std::string priority;
  std::string model;
  std::string tenant;   ///< On whose behalf an engine works.
  std::string wait_ms;  ///< How long a read may wait for results.
};

}  // namespace linenpier::forward
