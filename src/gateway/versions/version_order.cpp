#include "gateway/versions/version_order.h"

namespace linenpier::versions {

namespace {

/// How many versions a step's samples may lag behind the newest one.
constexpr WeightVersion kMaxVersionLag = 1;

}  // namespace

const char* toText(LoadMode mode) {
  switch (mode) {
    case LoadMode::kWait:
      return "wait";
    case LoadMode::kCancel:
      return "cancel";
    case LoadMode::kRetain:
      return "retain";
  }
  return "unknown";
}

const char* toText(OrderResult answer) {
  switch (answer) {
    case OrderResult::kStarted:
      return "under_way";
    case OrderResult::kAlreadyLoaded:
      return "in_force";
    case OrderResult::kBusy:
      return "busy";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kRejected:
      return "rejected";
    case OrderResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

bool servesNewestStep(WeightVersion held, WeightVersion newest) {
  return held + kMaxVersionLag >= newest;
}

}  // namespace linenpier::versions
