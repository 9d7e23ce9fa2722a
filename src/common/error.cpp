#include "common/error.h"

namespace linenpier {

std::string describe(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += finding.place + ": " + finding.problem + "\n";
  }
  return text;
}

bool certainlyNotProcessed(CallFailure failure) {
  switch (failure) {
    case CallFailure::kUnreachable:
    case CallFailure::kRateLimited:
    case CallFailure::kUnavailable:
    case CallFailure::kRejected:
      return true;
    case CallFailure::kAnswerLost:
    case CallFailure::kBadAnswer:
      return false;
  }
  return false;
}

}  // namespace linenpier
