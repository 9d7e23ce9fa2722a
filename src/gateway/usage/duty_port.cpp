#include "gateway/usage/duty_port.h"

namespace linenpier::usage {

const char* toText(DutyAnswer answer) {
  switch (answer) {
    case DutyAnswer::kTaken:
      return "taken";
    case DutyAnswer::kFenced:
      return "fenced";
    case DutyAnswer::kRefused:
      return "refused";
    case DutyAnswer::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace linenpier::usage
