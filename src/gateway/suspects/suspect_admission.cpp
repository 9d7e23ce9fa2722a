#include "gateway/suspects/suspect_admission.h"

namespace linenpier::suspects {

const char* toText(AdmissionState value) {
  switch (value) {
    case AdmissionState::kNotSuspect:
      return "clear";
    case AdmissionState::kMayRunAlone:
      return "may_try";
    case AdmissionState::kRunning:
      return "tried_now";
    case AdmissionState::kBackingOff:
      return "must_wait";
    case AdmissionState::kBarred:
      return "barred";
  }
  return "unknown";
}

}  // namespace linenpier::suspects
