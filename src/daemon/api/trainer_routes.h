#pragma once

/// @file
/// Routes for trainers: submit a step, pull its batch, acknowledge it.

#include <httplib.h>

#include <nlohmann/json_fwd.hpp>

#include "daemon/api/api_context.h"
#include "daemon/process/step_store.h"

namespace linenpier::api {

/// Registers its routes on a server; must outlive it.
class TrainerRoutes {
 public:
  TrainerRoutes(ApiContext& context, IdSource& ids);
  void registerOn(httplib::Server& server);

 private:
  /// A trainer's request after its key and names were checked.
  struct Caller {
    rollout::StepKey step;
    config::TenantTrainer trainer;
    std::uint32_t max_tokens = 0;  ///< Most tokens that the tenant's template allows.
  };
  tl::expected<Caller, Problem> readCaller(const httplib::Request& request,
                                           const nlohmann::json& body) const;

  void handleSubmit(const httplib::Request& request, httplib::Response& response);
  void handlePull(const httplib::Request& request, httplib::Response& response);
  void handleAcknowledge(const httplib::Request& request, httplib::Response& response);
  /// @return whether the request was answered.
  bool answerCommitted(const Caller& caller, WeightVersion version, httplib::Response& response);

  ApiContext& context_;
  IdSource& ids_;
  daemon::StepStore steps_;
};

}  // namespace linenpier::api
