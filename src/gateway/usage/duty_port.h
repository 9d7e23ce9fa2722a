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
enum class DutyAnswer {
  kTaken,
  kFenced,   ///< It has seen a higher token for the same subject.
  kRefused,  ///< Not done; may be sent again later.
  kUnknown,  ///< No answer: it may be carried out yet.
};

const char* toText(DutyAnswer answer);

/** As whom a leader makes a call, and how long it may. */
struct leader_proof {
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

class duty_port {
 public:
  virtual ~duty_port() = default;

  virtual Task<DutyAnswer> reportUsage(usage_report report, leader_proof proof) = 0;
};

}  // namespace linenpier::usage
