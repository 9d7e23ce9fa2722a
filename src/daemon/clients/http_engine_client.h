#pragma once

/// @file
/// Model engines over HTTP: OpenAI-style completions with server-sent events, and fenced orders.

#include "daemon/clients/http_call.h"
#include "daemon/ports/engine_client.h"

namespace linenpier::platform {

class HttpEngineClient : public engine::EngineClient {
 public:
  explicit HttpEngineClient(std::string caller) : caller_(std::move(caller)) {}
  engine::StreamEnd generate(const std::string& url, const engine::GenerateRequest& request,
                             const engine::PieceSink& sink) override;
  void cancel(const std::string& url, const AttemptId& attempt) override;
  CallResult<wire::EngineReport> load(const std::string& url) override;
  CallResult<engine::OrderOutcome> order(const std::string& url,
                                         const engine::FencedOrder& order) override;

 private:
  std::string caller_;
};

}  // namespace linenpier::platform
