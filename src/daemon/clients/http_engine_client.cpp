#include "daemon/clients/http_engine_client.h"

#include "daemon/clients/server_sent_events.h"

namespace linenpier::platform {

using engine::OrderOutcome;
using engine::Piece;
using engine::StreamEnd;
using nlohmann::json;

namespace {

/// Engines that make a stream wait still send a comment twice a second, so a second without any
/// byte means that the engine is frozen or cut off.
const CallTimeouts kGenerateTimeouts{std::chrono::milliseconds(500),
                                     std::chrono::milliseconds(1000)};
const CallTimeouts kControlTimeouts{std::chrono::milliseconds(300),
                                    std::chrono::milliseconds(1000)};
/// A flip answers once the engine has swapped its weights.
const CallTimeouts kOrderTimeouts{std::chrono::milliseconds(300), std::chrono::seconds(30)};

/// Follows one stream and remembers how it stands.
class StreamFollower {
 public:
  StreamFollower(const AttemptId& attempt, const engine::PieceSink& sink)
      : attempt_(attempt), sink_(sink) {}

  bool onBytes(std::string_view bytes) {
    return events_.feed(bytes, [this](std::string_view data) { return onData(data); });
  }
  bool complete() const { return complete_; }
  bool cancelled() const { return cancelled_; }
  bool mismatched() const { return mismatched_; }

 private:
  bool onData(std::string_view data) {
    if (data == "[DONE]") {
      complete_ = finished_;
      return true;
    }
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object() || event.value("id", "") != attempt_.str()) {
      mismatched_ = true;
      return false;
    }
    const json& choice = event["choices"][0];
    finished_ = choice.contains("finish_reason") && choice["finish_reason"].is_string();
    Piece piece{choice.value("text", ""), event.value("tokens", 0U),
                event.value("weight_version", WeightVersion{0})};
    if (piece.tokens > 0 && !sink_(piece)) {
      cancelled_ = true;
      return false;
    }
    return true;
  }

  AttemptId attempt_;
  const engine::PieceSink& sink_;
  ServerSentEvents events_;
  bool finished_ = false;  ///< The last piece carried a finish reason.
  bool complete_ = false;  ///< The end mark followed it.
  bool cancelled_ = false;
  bool mismatched_ = false;
};

const char* orderName(engine::FencedOrder::Kind kind) {
  return kind == engine::FencedOrder::Kind::kFlip ? "flip" : "prefetch";
}

}  // namespace

StreamEnd HttpEngineClient::generate(const std::string& url, const engine::GenerateRequest& request,
                                     const engine::PieceSink& sink) {
  const ServiceUrl service = parseServiceUrl(url);
  auto client = makeClient(service, kGenerateTimeouts);
  const json body = {
      {"model", request.model.str()},        {"prompt", request.prompt},
      {"resume_text", request.resume_text},  {"resume_tokens", request.resume_tokens},
      {"max_tokens", request.max_tokens},    {"priority", request.priority},
      {"request_id", request.attempt.str()}, {"stream", true}};
  StreamFollower follower(request.attempt, sink);
  int status = 0;
  httplib::Request call;
  call.method = "POST";
  call.path = service.path + "/v1/completions";
  call.headers = {{"X-Caller", caller_}, {"Content-Type", "application/json"}};
  call.body = body.dump();
  call.response_handler = [&status](const httplib::Response& response) {
    if (isValid(response)) status = response.status;
    return status != 0;
  };
  std::size_t ignored = 0;
  call.content_receiver = [&](const char* data, std::size_t length, std::uint64_t, std::uint64_t) {
    if (status == 200) return follower.onBytes({data, length});
    ignored += length;
    return ignored <= kMaxBodyBytes;
  };
  const httplib::Result result = client.send(call);
  if (follower.mismatched()) return StreamEnd::kMismatched;
  if (follower.cancelled()) return StreamEnd::kCancelled;
  if (follower.complete()) return StreamEnd::kComplete;
  // A response that is cut does not tell what the engine did.
  const bool refused = result && ((status >= 400 && status <= 499) || status == 503);
  if (refused) return StreamEnd::kNotStarted;
  if (!result && failureOf(result.error()) == CallFailure::kUnreachable) {
    return StreamEnd::kNotStarted;
  }
  return StreamEnd::kBroken;
}

void HttpEngineClient::cancel(const std::string& url, const AttemptId& attempt) {
  const ServiceUrl service = parseServiceUrl(url);
  auto client = makeClient(service, kControlTimeouts);
  const json body = {{"request_id", attempt.str()}};
  sendBounded(client, makeRequest("POST", service.path + "/abort", {{"X-Caller", caller_}},
                                  body.dump(), "application/json"));
}

CallResult<wire::EngineReport> HttpEngineClient::load(const std::string& url) {
  const ServiceUrl service = parseServiceUrl(url);
  auto client = makeClient(service, kControlTimeouts);
  const auto response = classify(
      sendBounded(client, withoutBody("GET", service.path + "/load", {{"X-Caller", caller_}})));
  return parseAnswer<wire::EngineReport>(response, [](const json& answer) {
    wire::EngineReport report;
    report.engine = EngineId(answer.at("engine").get<std::string>());
    report.running = answer.at("running").get<std::uint32_t>();
    report.waiting = answer.at("waiting").get<std::uint32_t>();
    report.slots = answer.at("slots").get<std::uint32_t>();
    report.version = answer.at("version").get<WeightVersion>();
    report.prefetched = answer.at("prefetched").get<WeightVersion>();
    report.leaving = answer.at("leaving").get<bool>();
    return report;
  });
}

CallResult<OrderOutcome> HttpEngineClient::order(const std::string& url,
                                                 const engine::FencedOrder& order) {
  const ServiceUrl service = parseServiceUrl(url);
  auto client = makeClient(service, kOrderTimeouts);
  const json body = {{"kind", orderName(order.kind)},
                     {"token", order.token},
                     {"model", order.model.str()},
                     {"version", order.version}};
  const auto response = classify(
      sendBounded(client, makeRequest("POST", service.path + "/orders", {{"X-Caller", caller_}},
                                      body.dump(), "application/json")));
  if (!response) return tl::make_unexpected(response.error());
  return response->status == 409 ? OrderOutcome::kFenced : OrderOutcome::kDone;
}

}  // namespace linenpier::platform
