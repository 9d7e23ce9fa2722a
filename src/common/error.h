#pragma once

/// @file
/// Error values. Functions that may fail return `tl::expected`; nothing throws across modules.

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace linenpier {

/// One thing that is wrong, with the place where it stands.
struct Finding {
  std::string place;    ///< File, line and key, or a JSON path.
  std::string problem;  ///< What is wrong, as a short sentence.
};

using Findings = std::vector<Finding>;

/// @return the findings as text, one a line.
std::string describe(const Findings& findings);

/// Why an outside system gave no usable answer.
enum class CallFailure {
  kUnreachable,  ///< No connection: the request was certainly not processed.
  kRateLimited,  ///< Refused before processing; asking later helps.
  kUnavailable,  ///< Refused before processing because the service is down.
  kAnswerLost,   ///< Sent, but no whole answer came: the effect is unknown.
  kBadAnswer,    ///< An answer came but could not be understood: the effect is unknown.
  kRejected,     ///< Understood and refused for good.
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
