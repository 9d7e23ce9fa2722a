#pragma once

/// @file
/// The daemon's HTTP server: all routes, size bounds, health and metrics.

#include <httplib.h>

#include <thread>

#include "daemon/api/caller_routes.h"
#include "daemon/api/operator_routes.h"
#include "daemon/api/trainer_routes.h"

namespace linenpier::api {

class HttpServer {
 public:
  explicit HttpServer(ApiContext& context);
  ~HttpServer();

  /// Binds and serves on a thread of its own.
  tl::expected<void, Findings> start();
  /// Stops accepting; open answers are finished first.
  void stop();

 private:
  void registerHealth();
  void registerErrors();

  ApiContext& context_;
  IdSource ids_;
  CallerRoutes callers_;
  TrainerRoutes trainers_;
  OperatorRoutes operators_;
  httplib::Server server_;
  std::thread thread_;
};

}  // namespace linenpier::api
