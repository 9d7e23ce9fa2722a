#pragma once

/// @file
/// Names of the HTTP fields through which callers, daemons and engines tell each other things.
/// The values come from the place where the product meets its platform.

#include <string>

namespace linenpier::forward {

struct FieldNames {
  std::string request_id;
  std::string deadline_ms;      ///< How long the sender waits, in ms.
  std::string target_engine;    ///< Engines of another id refuse the request.
  std::string signature;        ///< Proof of an engine's answer.
  std::string not_executed;     ///< Present: the engine did not run the request.
  std::string retry_after;      ///< Seconds, fractions included.
  std::string load;             ///< Running, waiting, slots.
  std::string weight_versions;  ///< Version that makes the answer, in the head or at an event.
  std::string last_event_id;
  std::string length_hint;  ///< Expected tokens out.
  std::string priority;
  std::string model;
  std::string tenant;   ///< On whose behalf an engine works.
  std::string wait_ms;  ///< How long an answer may be held back.
};

}  // namespace linenpier::forward
