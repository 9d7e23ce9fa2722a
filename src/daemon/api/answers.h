#pragma once

/// @file
/// Refusals as callers see them: a stable code, whether the request ran, and when to come back.

#include <httplib.h>

#include <string>

#include "common/ids.h"
#include "daemon/admission/admission_controller.h"
#include "daemon/upstream/request_driver.h"

namespace linenpier::api {

/// One refusal.
struct Problem {
  int status = 500;
  std::string code;     ///< Stable, for programs.
  std::string message;  ///< For people.
  upstream::RunState run_state = upstream::RunState::kNotRun;
  Duration retry_after{};  ///< Zero: asking again does not help.
};

/// Header names of the callers' interface.
inline constexpr char kRequestIdHeader[] = "X-Request-Id";
inline constexpr char kPriorityHeader[] = "X-Priority";
inline constexpr char kDeadlineHeader[] = "X-Deadline-Ms";
inline constexpr char kNotRepeatableHeader[] = "X-Not-Repeatable";
inline constexpr char kIdempotencyHeader[] = "Idempotency-Key";

/// @return the refusal as JSON text.
std::string problemJson(const Problem& problem, const RequestId& request);
/// Makes `response` the refusal, with Retry-After where asking again helps.
void answerProblem(httplib::Response& response, const Problem& problem, const RequestId& request);
void answerJson(httplib::Response& response, int status, const std::string& json);

/// The refusals that several routes share.
Problem unauthorized();
Problem notFound();
Problem badRequest(const std::string& message);
Problem tableUnavailable();
Problem fromRefusal(const admission::Refusal& refusal, upstream::RunState run_state);

}  // namespace linenpier::api
