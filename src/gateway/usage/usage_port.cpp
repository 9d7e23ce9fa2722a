#include "gateway/usage/usage_port.h"

namespace linenpier::usage {

const char* toText(FencedCallResult answer) {
  switch (answer) {
    case FencedCallResult::kAccepted:
      return "taken";
    case FencedCallResult::kFenced:
      return "fenced";
    case FencedCallResult::kRefused:
      return "refused";
    case FencedCallResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace linenpier::usage
