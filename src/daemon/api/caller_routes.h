#pragma once

/// @file
/// Routes for callers: completions, chat completions and the models they may use.

#include <httplib.h>

#include "daemon/api/api_context.h"
#include "daemon/api/completion_request.h"
#include "daemon/api/intent_guard.h"

namespace linenpier::api {

/// Registers its routes on a server; must outlive it.
class CallerRoutes {
 public:
  CallerRoutes(ApiContext& context, IdSource& ids);
  void registerOn(httplib::Server& server);

 private:
  /// One request with everything that is known before it is admitted.
  struct Admitted {
    CompletionRequest completion;
    daemon::RequestWork work;
    std::string idempotency_key;  ///< Empty for a repeatable request.
    std::string body_hash;
    Instant arrived{};
  };

  void handleCompletion(CompletionKind kind, const httplib::Request& request,
                        httplib::Response& response);
  void handleModels(const httplib::Request& request, httplib::Response& response);
  /// @return the request, or why it is refused before anything was done.
  tl::expected<Admitted, Problem> read(CompletionKind kind, const httplib::Request& request,
                                       const RequestId& id) const;
  void answerWhole(const Admitted& admitted, httplib::Response& response);
  daemon::RequestReport runWhole(const Admitted& admitted);
  void answerStream(const Admitted& admitted, httplib::Response& response);
  void answerNotRepeatable(const Admitted& admitted, httplib::Response& response);
  Problem problemOf(const daemon::RequestReport& report) const;
  void count(const Admitted& admitted, const daemon::RequestReport& report);

  ApiContext& context_;
  IdSource& ids_;
  daemon::RequestRunner runner_;
  IntentGuard intents_;
};

}  // namespace linenpier::api
