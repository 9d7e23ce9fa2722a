#include "gateway/versions/version_order.h"

namespace linenpier::versions {

namespace {

/// Versions that a step's samples may be behind the newest one.
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

const char* toText(OrderAnswer answer) {
  switch (answer) {
    case OrderAnswer::kUnderWay:
      return "under_way";
    case OrderAnswer::kInForce:
      return "in_force";
    case OrderAnswer::kBusy:
      return "busy";
    case OrderAnswer::kFenced:
      return "fenced";
    case OrderAnswer::kRejected:
      return "rejected";
    case OrderAnswer::kUnknown:
      return "unknown";
  }
  return "unknown";
}

bool servesNewestStep(WeightVersion held, WeightVersion newest) {
  return held + kMaxVersionLag >= newest;
}

}  // namespace linenpier::versions
