#pragma once

/// @file
/// Model engines over HTTP: OpenAI-style completions with server-sent events, and fenced orders.

#include "daemon/clients/http_call.h"
#include "daemon/ports/engine_client.h"

namespace linenpier::platform {

/// Engines that make a stream wait still send a comment twice a second, so a second without any
/// byte means that the engine is frozen or cut off.
struct EngineTimeouts {
  CallTimeouts generate{std::chrono::milliseconds(500), std::chrono::milliseconds(1000)};
  CallTimeouts control{std::chrono::milliseconds(300), std::chrono::milliseconds(1000)};
  CallTimeouts order{std::chrono::milliseconds(300), std::chrono::seconds(30)};
};

class HttpEngineClient : public engine::EngineClient {
 public:
  HttpEngineClient(std::string caller, EngineTimeouts timeouts);
  engine::StreamEnd generate(const std::string& url, const engine::GenerateRequest& request,
                             const engine::PieceSink& sink) override;
  void cancel(const std::string& url, const AttemptId& attempt) override;
  CallResult<wire::EngineReport> load(const std::string& url) override;
  CallResult<engine::OrderOutcome> order(const std::string& url,
                                         const engine::FencedOrder& order) override;

 private:
  std::string caller_;
  EngineTimeouts timeouts_;
};

}  // namespace linenpier::platform
