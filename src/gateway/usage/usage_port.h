#pragma once

/** @file
 * Port for calls to the platform that are one daemon's duty at a time, and what they have in
 * common.
 */

#include <string>

#include "common/ids.h"
#include "common/task.h"
#include "gateway/usage/usage_counter.h"

namespace linenpier::usage {

/** How the platform answered a duty's call. */
enum class FencedCallResult {
  kTaken,
  kFenced,   ///< It has seen a higher token for the same subject.
  kRefused,  ///< Not done; may be sent again later.
  kUnknown,  ///< No answer: it may be carried out yet.
};

const char* toText(FencedCallResult answer);

/** As whom a leader makes a call, and how long it may. */
struct fenced_call_context {
  std::string holder;  ///< The leader's name; the platform's calls say holder.
  FencingToken token = 0;
  Instant send_by{};  ///< The call is sent until then or not at all.
};

/** What the tenants used in a window. The same report is always the same bytes. */
struct usage_report {
  window_number window = 0;
  tenant_counts counts;

  bool operator==(const usage_report&) const = default;
};

class usage_port {
 public:
  virtual ~usage_port() = default;

  virtual Task<FencedCallResult> reportUsage(usage_report report, fenced_call_context proof) = 0;
};

}  // namespace linenpier::usage
