#pragma once

/** @file
 * Port for usage reports to the platform, and the types shared by all platform calls that only one
 * leader may make.
 */

#include <string>

#include "common/ids.h"
#include "common/task.h"
#include "gateway/usage/usage_counter.h"

namespace linenpier::usage {

/** Result of a platform call that carries a fencing token. */
enum class FencedCallResult {
  kAccepted,  ///< The platform accepted the call.
  kFenced,    ///< The platform has seen a higher token for the same subject.
  kRefused,   ///< The platform did not execute the call, which may be retried later.
  kUnknown,   ///< No response: the call may still be executed.
};

const char* toText(FencedCallResult answer);

/** The leader's identity and the deadline for a platform call that carries a fencing token. */
struct fenced_call_context {
  std::string holder;  ///< The leader's name, called holder in the platform's API.
  FencingToken token = 0;
  Instant send_by{};  ///< The call is not sent after this time.
};

/** Usage of all tenants in a window. Equal reports are encoded to equal bytes. */
struct usage_report {
  window_number window = 0;
  tenant_counts counts;

  bool operator==(const usage_report&) const = default;
};

class usage_port {
 public:
  virtual ~usage_port() = default;

  virtual Task<FencedCallResult> reportUsage(usage_report report, fenced_call_context context) = 0;
};

}  // namespace linenpier::usage
