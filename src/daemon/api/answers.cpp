#include "daemon/api/answers.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace linenpier::api {

using admission::RefusalReason;
using nlohmann::json;

namespace {

long wholeSeconds(Duration duration) {
  return std::max(1L, static_cast<long>(std::ceil(toSeconds(duration))));
}

int statusOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
      return 429;
    case RefusalReason::kDeadline:
      return 504;
    case RefusalReason::kNoEngine:
    case RefusalReason::kRetryBudget:
    case RefusalReason::kShuttingDown:
      return 503;
  }
  return 503;
}

std::string messageOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
      return "Too many of your requests are waiting.";
    case RefusalReason::kDeadline:
      return "No engine had room before the deadline.";
    case RefusalReason::kNoEngine:
      return "No engine serves the model now.";
    case RefusalReason::kRetryBudget:
      return "The engine failed and retries are used up.";
    case RefusalReason::kShuttingDown:
      return "This daemon is stopping; ask another.";
  }
  return "";
}

}  // namespace

std::string problemJson(const Problem& problem, const RequestId& request) {
  json error = {{"code", problem.code}, {"message", problem.message}};
  error["ran"] = problem.run_state == upstream::RunState::kNotRun ? "not-run" : "unknown";
  if (problem.retry_after > Duration::zero()) {
    error["retry_after_seconds"] = wholeSeconds(problem.retry_after);
  }
  return json{{"error", error}, {"request_id", request.str()}}.dump();
}

void answerProblem(httplib::Response& response, const Problem& problem, const RequestId& request) {
  if (problem.retry_after > Duration::zero()) {
    response.set_header("Retry-After", std::to_string(wholeSeconds(problem.retry_after)));
  }
  answerJson(response, problem.status, problemJson(problem, request));
}

void answerJson(httplib::Response& response, int status, const std::string& json) {
  response.status = status;
  response.set_content(json, "application/json");
}

Problem unauthorized() {
  return {401, "unauthorized", "The bearer key is missing or unknown.", {}, {}};
}

Problem notFound() {
  return {404, "not-found", "There is no such thing for you.", {}, {}};
}

Problem badRequest(const std::string& message) {
  return {400, "bad-request", message, {}, {}};
}

Problem tableUnavailable() {
  return {503, "store-unavailable", "The platform's store does not answer.",
          upstream::RunState::kNotRun, std::chrono::seconds(2)};
}

Problem fromRefusal(const admission::Refusal& refusal, upstream::RunState run_state) {
  return {statusOf(refusal.reason), refusalCode(refusal.reason), messageOf(refusal.reason),
          run_state, refusal.retry_after};
}

}  // namespace linenpier::api
