#include "daemon/api/caller_routes.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "daemon/api/completion_answer.h"
#include "daemon/config/documents.h"

namespace linenpier::api {

using daemon::RequestReport;
using engine::Piece;
using intent::IntentVerdict;
using upstream::RunState;

namespace {

constexpr char kEventStream[] = "text/event-stream";
constexpr long kLowestPriority = -10;
constexpr long kHighestPriority = 10;
constexpr long kMaxDeadlineMs = 3600000;
constexpr std::size_t kMaxKey = 256;
constexpr std::uint32_t kDefaultMaxTokens = 256;

}  // namespace

std::string bearerKey(const httplib::Request& request) {
  const std::string header = request.get_header_value("Authorization");
  const std::string prefix = "Bearer ";
  return header.starts_with(prefix) ? header.substr(prefix.size()) : "";
}

std::optional<long> integerHeader(const httplib::Request& request, const char* name, long lowest,
                                  long highest) {
  const std::string text = request.get_header_value(name);
  long value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
  if (value < lowest || value > highest) return std::nullopt;
  return value;
}

CallerRoutes::CallerRoutes(ApiContext& context, IdSource& ids)
    : context_(context),
      ids_(ids),
      runner_(context.node, context.services.engines),
      intents_(context.services, context.effects) {}

void CallerRoutes::registerOn(httplib::Server& server) {
  server.Post("/v1/completions", [this](const auto& request, auto& response) {
    handleCompletion(CompletionKind::kText, request, response);
  });
  server.Post("/v1/chat/completions", [this](const auto& request, auto& response) {
    handleCompletion(CompletionKind::kChat, request, response);
  });
  server.Get("/v1/models",
             [this](const auto& request, auto& response) { handleModels(request, response); });
}

void CallerRoutes::handleModels(const httplib::Request& request, httplib::Response& response) {
  const auto snapshot = context_.config.get();
  const config::Tenant* tenant = snapshot->findTenantByKey(bearerKey(request));
  if (tenant == nullptr) return answerProblem(response, unauthorized(), RequestId());
  nlohmann::json data = nlohmann::json::array();
  for (const config::TenantModel& entry : tenant->models) {
    data.push_back({{"id", entry.model.str()}, {"object", "model"}});
  }
  answerJson(response, 200, nlohmann::json{{"object", "list"}, {"data", data}}.dump());
}

void CallerRoutes::handleCompletion(CompletionKind kind, const httplib::Request& request,
                                    httplib::Response& response) {
  const RequestId id(ids_.next());
  response.set_header(kRequestIdHeader, id.str());
  auto admitted = read(kind, request, id);
  if (!admitted) {
    Problem problem = admitted.error();
    context_.metrics.countRequest("", problem.code);
    // The row of the key was not read, so an earlier try of this request may have run.
    const bool may_come_back = problem.retry_after > Duration::zero();
    if (may_come_back && request.has_header(kIdempotencyHeader)) {
      problem.run_state = RunState::kUnknown;
    }
    return answerProblem(response, problem, id);
  }
  ++context_.open_requests;
  if (!admitted->idempotency_key.empty()) {
    answerNotRepeatable(*admitted, response);
  } else if (admitted->completion.stream) {
    return answerStream(*admitted, response);
  } else {
    answerWhole(*admitted, response);
  }
  --context_.open_requests;
}

tl::expected<CallerRoutes::Admitted, Problem> CallerRoutes::read(CompletionKind kind,
                                                                 const httplib::Request& request,
                                                                 const RequestId& id) const {
  if (!context_.ready || context_.stopping) {
    return tl::make_unexpected(fromRefusal(
        {admission::RefusalReason::kShuttingDown, std::chrono::seconds(1)}, RunState::kNotRun));
  }
  if (context_.open_requests >= context_.settings.max_streams) {
    return tl::make_unexpected(fromRefusal(
        {admission::RefusalReason::kQueueFull, std::chrono::seconds(1)}, RunState::kNotRun));
  }
  const auto snapshot = context_.config.get();
  const config::Tenant* tenant = snapshot->findTenantByKey(bearerKey(request));
  if (tenant == nullptr) return tl::make_unexpected(unauthorized());
  auto completion = parseCompletion(kind, request.body);
  if (!completion) return tl::make_unexpected(badRequest(completion.error()));
  // Another tenant's model and one that does not exist look the same.
  const config::Template* rules = snapshot->templateFor(*tenant, completion->model);
  if (rules == nullptr) return tl::make_unexpected(notFound());
  if (completion->max_tokens == 0) {
    completion->max_tokens = std::min(kDefaultMaxTokens, rules->max_tokens);
  }
  if (completion->max_tokens > rules->max_tokens) {
    return tl::make_unexpected(
        badRequest("\"max_tokens\" is over your limit of " + std::to_string(rules->max_tokens)));
  }

  Admitted admitted;
  admitted.arrived = steadyNow();
  admitted.completion = *completion;
  admitted.body_hash = config::sha256Hex(request.body);
  daemon::RequestWork& work = admitted.work;
  work.id = id;
  work.tenant = tenant->name;
  work.model = completion->model;
  work.prompt = completion->prompt;
  work.max_tokens = completion->max_tokens;
  work.priority = rules->priority;
  work.weight = rules->weight;
  work.max_in_flight = rules->max_in_flight;
  work.max_queued = rules->max_queued;
  long deadline_ms = rules->default_deadline_ms;
  if (request.has_header(kPriorityHeader)) {
    const auto priority =
        integerHeader(request, kPriorityHeader, kLowestPriority, kHighestPriority);
    if (!priority) return tl::make_unexpected(badRequest("X-Priority must be from -10 to 10."));
    // Callers may step back, but not ahead of what their template gives them.
    work.priority = std::min(work.priority, static_cast<int>(*priority));
  }
  if (request.has_header(kDeadlineHeader)) {
    const auto limit = integerHeader(request, kDeadlineHeader, 1, kMaxDeadlineMs);
    if (!limit) return tl::make_unexpected(badRequest("X-Deadline-Ms must be from 1 to 3600000."));
    deadline_ms = *limit;
  }
  work.deadline = admitted.arrived + std::chrono::milliseconds(deadline_ms);
  const std::string mark = request.get_header_value(kNotRepeatableHeader);
  if (!mark.empty() && mark != "true" && mark != "false") {
    return tl::make_unexpected(badRequest("X-Not-Repeatable must be true or false."));
  }
  if (mark == "true") {
    work.repeatable = false;
    admitted.idempotency_key = request.get_header_value(kIdempotencyHeader);
    const std::size_t length = admitted.idempotency_key.size();
    if (length == 0 || length > kMaxKey) {
      return tl::make_unexpected(
          badRequest("A not-repeatable request needs an Idempotency-Key of 1 to 256 characters."));
    }
  }
  return admitted;
}

void CallerRoutes::answerWhole(const Admitted& admitted, httplib::Response& response) {
  const RequestReport report = runWhole(admitted);
  if (!report.complete) return answerProblem(response, problemOf(report), admitted.work.id);
  const CompletionRequest& completion = admitted.completion;
  answerJson(
      response, 200,
      wholeAnswer(completion.kind, admitted.work.id, completion.model, report.text, report.pieces));
}

RequestReport CallerRoutes::runWhole(const Admitted& admitted) {
  const auto decision = runner_.admit(admitted.work);
  RequestReport report = runner_.run(admitted.work, decision, [](const Piece&) { return true; });
  count(admitted, report);
  return report;
}

void CallerRoutes::answerStream(const Admitted& admitted, httplib::Response& response) {
  // The first admission comes before the status line, so that a refusal has its own status.
  const auto decision = runner_.admit(admitted.work);
  if (!decision || std::holds_alternative<admission::Refusal>(decision->verdict)) {
    const RequestReport report =
        runner_.run(admitted.work, decision, [](const Piece&) { return false; });
    count(admitted, report);
    --context_.open_requests;
    return answerProblem(response, problemOf(report), admitted.work.id);
  }
  auto used = std::make_shared<bool>(false);
  response.set_header("Cache-Control", "no-store");
  response.set_chunked_content_provider(
      kEventStream,
      [this, admitted, decision, used](std::size_t, httplib::DataSink& sink) {
        *used = true;
        const CompletionRequest& completion = admitted.completion;
        const RequestId& id = admitted.work.id;
        const auto write = [&sink](const std::string& text) {
          return sink.write(text.data(), text.size());
        };
        const RequestReport report = runner_.run(admitted.work, decision, [&](const Piece& piece) {
          return write(pieceEvent(completion.kind, id, completion.model, piece));
        });
        count(admitted, report);
        if (report.complete) {
          write(endEvents(completion.kind, id, completion.model, report.pieces));
        } else {
          write("event: error\ndata: " + problemJson(problemOf(report), id) + "\n\n");
        }
        sink.done();
        return true;
      },
      [this, admitted, decision, used](bool /*success*/) {
        if (!*used) runner_.release(admitted.work, *decision);
        --context_.open_requests;
      });
}

void CallerRoutes::answerNotRepeatable(const Admitted& admitted, httplib::Response& response) {
  const RequestId& id = admitted.work.id;
  const std::string row_key = intent::intentRowKey(admitted.work.tenant, admitted.idempotency_key);
  const AttemptId attempt(id.str());
  const auto decision = intents_.acquire(row_key, attempt, admitted.body_hash);
  switch (decision.verdict) {
    case IntentVerdict::kSend:
      break;
    case IntentVerdict::kReplay:
      response.set_header("X-Replayed", "true");
      return answerJson(response, 200, decision.answer);
    case IntentVerdict::kKeyReused:
      return answerProblem(
          response,
          {422, "key-reused", "The key belongs to a different request.", RunState::kNotRun, {}},
          id);
    case IntentVerdict::kElsewhere:
    case IntentVerdict::kTakeOver:
      return answerProblem(
          response,
          {409, "outcome-unknown", "An earlier try with this key is running or may have run.",
           RunState::kUnknown, std::chrono::seconds(2)},
          id);
    case IntentVerdict::kNotRun:
      return answerProblem(response, tableUnavailable(), id);
  }
  const RequestReport report = runWhole(admitted);
  if (!report.complete) {
    if (report.run_state == RunState::kNotRun) {
      intents_.abandon(row_key, attempt, admitted.body_hash);
    }
    return answerProblem(response, problemOf(report), id);
  }
  const std::string answer = wholeAnswer(admitted.completion.kind, id, admitted.completion.model,
                                         report.text, report.pieces);
  answerJson(response, 200, answer);
  context_.effects.enqueue([this, row_key, revision = decision.revision, attempt,
                            hash = admitted.body_hash,
                            answer] { intents_.finish(row_key, revision, attempt, hash, answer); });
}

Problem CallerRoutes::problemOf(const RequestReport& report) const {
  if (report.refusal) return fromRefusal(*report.refusal, report.run_state);
  if (report.deadline_passed) {
    return {504, "deadline", "The deadline has passed.", report.run_state, std::chrono::seconds(2)};
  }
  return {502, "engine-failed", "The engine failed.", report.run_state, std::chrono::seconds(1)};
}

void CallerRoutes::count(const Admitted& admitted, const RequestReport& report) {
  const std::string outcome = report.complete ? "complete" : problemOf(report).code;
  context_.metrics.countRequest(admitted.work.tenant.str(), outcome);
  context_.metrics.observeLatency(toSeconds(steadyNow() - admitted.arrived));
  context_.metrics.countTries(report.tries);
}

}  // namespace linenpier::api
