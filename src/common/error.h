#pragma once

/// @file
/// Error values. Functions that may fail return `tl::expected`; exceptions do not cross modules.

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace linenpier {

/// A validation error and its location.
struct Finding {
  std::string place;    ///< File, line and key, or a JSON path.
  std::string problem;  ///< Description of the error.
};

using Findings = std::vector<Finding>;

/// @return the findings as text, one per line.
std::string describe(const Findings& findings);

/// Why a call to an external system failed.
enum class CallFailure {
  kUnreachable,  ///< No connection: the request was certainly not processed.
  kRateLimited,  ///< Refused before processing; may be retried later.
  kUnavailable,  ///< Refused before processing because the service is down.
  kAnswerLost,   ///< Sent, but no complete response was received: the effect is unknown.
  kBadAnswer,    ///< The response could not be parsed: the effect is unknown.
  kRejected,     ///< Processed and permanently refused.
};

/// @return whether the request certainly had no effect.
bool certainlyNotProcessed(CallFailure failure);

struct CallError {
  CallFailure failure = CallFailure::kUnreachable;
  std::string detail;
};

template <typename T>
using CallResult = tl::expected<T, CallError>;

}  // namespace linenpier
