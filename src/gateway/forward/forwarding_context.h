#pragma once

/** @file
 * Components and settings shared by all requests. Owned by the forwarder; outlives all attempts.
 */

#include "gateway/forward/attempt_admission.h"
#include "gateway/forward/engine_picker.h"
#include "gateway/forward/local_replies.h"
#include "gateway/forward/request_log.h"
#include "gateway/forward/run_reporter.h"

namespace linenpier::forward {

struct attempt_timeouts {
  Duration connect = std::chrono::milliseconds(200);
  /** A resumable stream that receives no event for this long is resumed on another engine. */
  Duration stream_idle = std::chrono::milliseconds(1500);
};

struct forwarding_context {
  boost::asio::io_context& loop;
  engine_call_context engines;
  engine_picker& picker;
  attempt_admission& admission;
  local_replies& replies;
  request_log& log;
  run_reporter& runs;
  attempt_timeouts timeouts;
};

}  // namespace linenpier::forward
