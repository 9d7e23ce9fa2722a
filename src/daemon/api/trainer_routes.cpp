#include "daemon/api/trainer_routes.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace linenpier::api {

using nlohmann::json;
using rollout::StepRow;

namespace {

constexpr auto kPullPause = std::chrono::milliseconds(25);
constexpr Duration kPullAnswerLimit = std::chrono::milliseconds(300);
constexpr int kMaxWaitMs = 20000;

const RequestId kNoRequest;

Problem staleBatch() {
  return {409,
          "batch-too-old",
          "The step's batch is over your staleness bound at this version.",
          {},
          {}};
}

Problem refusedPull() {
  return {409, "trainer-moved-on", "You have already named a newer version.", {}, {}};
}

}  // namespace

TrainerRoutes::TrainerRoutes(ApiContext& context, IdSource& ids)
    : context_(context), ids_(ids), steps_(context.services.table, context.services.objects) {}

void TrainerRoutes::registerOn(httplib::Server& server) {
  server.Post("/v1/rollouts",
              [this](const auto& request, auto& response) { handleSubmit(request, response); });
  server.Post("/v1/batches/pull",
              [this](const auto& request, auto& response) { handlePull(request, response); });
  server.Post("/v1/batches/ack", [this](const auto& request, auto& response) {
    handleAcknowledge(request, response);
  });
}

tl::expected<TrainerRoutes::Caller, Problem> TrainerRoutes::readCaller(
    const httplib::Request& request, const json& body) const {
  if (!context_.ready || context_.stopping) {
    return tl::make_unexpected(
        fromRefusal({admission::RefusalReason::kShuttingDown, std::chrono::seconds(1)}, {}));
  }
  const auto snapshot = context_.config.get();
  const config::Tenant* tenant = snapshot->findTenantByKey(bearerKey(request));
  if (tenant == nullptr) return tl::make_unexpected(unauthorized());
  const bool valid = body.is_object() && body.contains("trainer") && body["trainer"].is_string() &&
                     body.contains("step") && body["step"].is_number_unsigned();
  if (!valid) {
    return tl::make_unexpected(
        badRequest("\"trainer\" (string) and \"step\" (number) are needed."));
  }
  const TrainerId id(body["trainer"].get<std::string>());
  const config::TenantTrainer* trainer = tenant->findTrainer(id);
  if (trainer == nullptr) return tl::make_unexpected(notFound());
  const config::Template* rules = snapshot->templateFor(*tenant, trainer->model);
  if (rules == nullptr) return tl::make_unexpected(notFound());
  return Caller{{tenant->name, id, body["step"].get<std::uint64_t>()}, *trainer, rules->max_tokens};
}

void TrainerRoutes::handleSubmit(const httplib::Request& request, httplib::Response& response) {
  json body = json::parse(request.body, nullptr, false);
  const auto caller = readCaller(request, body);
  if (!caller) return answerProblem(response, caller.error(), kNoRequest);
  body["tenant"] = caller->step.tenant.str();
  body["model"] = caller->trainer.model.str();
  if (!body.contains("max_tokens")) body["max_tokens"] = caller->max_tokens;
  const auto spec = rollout::parseStepSpec("body", body.dump());
  if (!spec) return answerProblem(response, badRequest(describe(spec.error())), kNoRequest);
  if (spec->max_tokens > caller->max_tokens) {
    return answerProblem(response, badRequest("\"max_tokens\" is over your limit."), kNoRequest);
  }
  switch (steps_.submit(*spec, AttemptId(ids_.next()))) {
    case daemon::SubmitOutcome::kAccepted:
      context_.node.post(node::StepSubmitted{spec->key});
      return answerJson(response, 202,
                        json{{"status", "accepted"}, {"step", spec->key.step}}.dump());
    case daemon::SubmitOutcome::kDifferent:
      return answerProblem(
          response, {409, "step-differs", "The step was submitted with other contents.", {}, {}},
          kNoRequest);
    case daemon::SubmitOutcome::kNotAccepted:
      return answerProblem(response, tableUnavailable(), kNoRequest);
    case daemon::SubmitOutcome::kUnknown: {
      Problem problem = tableUnavailable();
      problem.run_state = upstream::RunState::kUnknown;
      return answerProblem(response, problem, kNoRequest);
    }
  }
}

void TrainerRoutes::handlePull(const httplib::Request& request, httplib::Response& response) {
  const json body = json::parse(request.body, nullptr, false);
  const auto caller = readCaller(request, body);
  if (!caller) return answerProblem(response, caller.error(), kNoRequest);
  if (!body.contains("version") || !body["version"].is_number_unsigned()) {
    return answerProblem(response, badRequest("\"version\" must be a number."), kNoRequest);
  }
  const auto version = body["version"].get<WeightVersion>();
  const int wait_ms = std::clamp(body.value("wait_ms", 5000), 0, kMaxWaitMs);
  const Instant limit = steadyNow() + std::chrono::milliseconds(wait_ms);
  bool look = true;
  while (true) {
    if (look && answerCommitted(*caller, version, response)) return;
    const auto status = context_.node.pull(caller->step, version, kPullAnswerLimit);
    if (status == wire::PullStatus::kRefused) {
      return answerProblem(response, refusedPull(), kNoRequest);
    }
    look = status == wire::PullStatus::kCommitted;
    if (steadyNow() >= limit || context_.stopping) break;
    if (!look) std::this_thread::sleep_for(kPullPause);
  }
  response.set_header("Retry-After", "1");
  answerJson(response, 202, json{{"status", "pending"}, {"step", caller->step.step}}.dump());
}

bool TrainerRoutes::answerCommitted(const Caller& caller, WeightVersion version,
                                    httplib::Response& response) {
  const auto row = steps_.readRow(caller.step);
  if (!row) {
    answerProblem(response, tableUnavailable(), kNoRequest);
    return true;
  }
  if (!*row) {
    answerProblem(response, notFound(), kNoRequest);
    return true;
  }
  const StepRow& step = **row;
  if (step.state == StepRow::State::kOpen) return false;
  if (step.state == StepRow::State::kAcknowledged) {
    answerProblem(response,
                  {410, "acknowledged", "You have acknowledged this step's batch.", {}, {}},
                  kNoRequest);
    return true;
  }
  if (!rollout::freshEnough(step.oldest_version, version, caller.trainer.staleness_bound)) {
    answerProblem(response, staleBatch(), kNoRequest);
    return true;
  }
  const auto batch = steps_.readBatch(step);
  if (!batch) {
    answerProblem(response, tableUnavailable(), kNoRequest);
    return true;
  }
  response.set_header("X-Trainer-Version", std::to_string(step.trainer_version));
  answerJson(response, 200, *batch);
  return true;
}

void TrainerRoutes::handleAcknowledge(const httplib::Request& request,
                                      httplib::Response& response) {
  const json body = json::parse(request.body, nullptr, false);
  const auto caller = readCaller(request, body);
  if (!caller) return answerProblem(response, caller.error(), kNoRequest);
  const auto row = steps_.readRow(caller->step);
  if (!row) return answerProblem(response, tableUnavailable(), kNoRequest);
  if (!*row || (*row)->state == StepRow::State::kOpen) {
    return answerProblem(response, notFound(), kNoRequest);
  }
  if (!steps_.acknowledge(caller->step, AttemptId(ids_.next()))) {
    return answerProblem(response, tableUnavailable(), kNoRequest);
  }
  context_.effects.enqueue(
      [this, step = caller->step, row = **row] { steps_.removeObjects(step, row); });
  answerJson(response, 200, json{{"status", "acknowledged"}}.dump());
}

}  // namespace linenpier::api
