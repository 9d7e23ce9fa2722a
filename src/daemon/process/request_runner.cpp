#include "daemon/process/request_runner.h"

#include "common/hash.h"

namespace linenpier::daemon {

using engine::StreamEnd;
using upstream::RequestDriver;

namespace {

constexpr int kMaxTries = 5;
constexpr Duration kAdmitSlack = std::chrono::milliseconds(500);
/// The first part of a prompt decides which engine probably has it cached.
constexpr std::size_t kPrefixBytes = 256;

/// An engine that broke a stream is unhealthy; one that was told to stop is not.
bool healthyEnd(StreamEnd end) {
  return end == StreamEnd::kComplete || end == StreamEnd::kCancelled;
}

}  // namespace

std::optional<admission::Decision> RequestRunner::admit(const RequestWork& work) const {
  return askAdmission(work, false, {});
}

void RequestRunner::release(const RequestWork& work, const admission::Decision& decision) const {
  if (const auto* placement = std::get_if<admission::Placement>(&decision.verdict)) {
    node_.post(node::StreamEnded{work.tenant, placement->engine, true});
  }
}

RequestReport RequestRunner::run(const RequestWork& work,
                                 const std::optional<admission::Decision>& first,
                                 const PieceObserver& on_piece) const {
  RequestReport report;
  RequestDriver driver(work.repeatable, kMaxTries);
  auto step = RequestDriver::Step::kTryAgain;
  while (step == RequestDriver::Step::kTryAgain) {
    const bool retry = report.tries > 0;
    const auto decision = retry ? askAdmission(work, true, driver.failedEngines()) : first;
    if (!decision) {
      report.deadline_passed = true;
      break;
    }
    if (const auto* refusal = std::get_if<admission::Refusal>(&decision->verdict)) {
      report.refusal = *refusal;
      break;
    }
    const auto& placement = std::get<admission::Placement>(decision->verdict);
    ++report.tries;
    driver.onSend(placement.engine);
    const StreamEnd end = stream(work, placement, report.tries, driver, on_piece, report);
    node_.post(node::StreamEnded{work.tenant, placement.engine, healthyEnd(end)});
    step = driver.onStreamEnd(end);
  }
  report.complete = driver.complete();
  report.run_state = driver.runState();
  report.text = driver.text();
  report.pieces = driver.pieces();
  return report;
}

std::optional<admission::Decision> RequestRunner::askAdmission(
    const RequestWork& work, bool retry, const std::vector<EngineId>& avoid) const {
  node::AdmitRequest request;
  request.retry = retry;
  request.tenant_queue_bound = work.max_queued;
  request.ticket.request = work.id;
  request.ticket.tenant = work.tenant;
  request.ticket.model = work.model;
  request.ticket.minimum_version = work.minimum_version;
  request.ticket.prefix_hash = hash64(std::string_view(work.prompt).substr(0, kPrefixBytes));
  request.ticket.priority = work.priority;
  request.ticket.weight = work.weight;
  request.ticket.max_in_flight = work.max_in_flight;
  request.ticket.deadline = work.deadline;
  request.ticket.avoid = avoid;
  request.ticket.hand_over = work.hand_over;
  const Duration left = work.deadline - steadyNow();
  if (left <= Duration::zero()) return std::nullopt;
  return node_.admit(request, left + kAdmitSlack);
}

StreamEnd RequestRunner::stream(const RequestWork& work, const admission::Placement& placement,
                                int attempt_number, RequestDriver& driver,
                                const PieceObserver& on_piece, RequestReport& report) const {
  engine::GenerateRequest request;
  request.attempt = AttemptId(work.id.str() + "." + std::to_string(attempt_number));
  request.model = work.model;
  request.prompt = work.prompt;
  request.resume_text = driver.text();
  request.resume_tokens = driver.tokens();
  request.max_tokens = work.max_tokens;
  request.priority = work.priority;
  const StreamEnd end = engines_->generate(placement.url, request, [&](const engine::Piece& piece) {
    if (steadyNow() >= work.deadline) {
      report.deadline_passed = true;
      return false;
    }
    driver.onPiece(piece);
    return on_piece(piece);
  });
  if (end != StreamEnd::kComplete && end != StreamEnd::kNotStarted) {
    engines_->cancel(placement.url, request.attempt);
  }
  return end;
}

}  // namespace linenpier::daemon
