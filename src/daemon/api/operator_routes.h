#pragma once

/// @file
/// Routes for operators: templates, tenant parameters, status and explanations.

#include <httplib.h>

#include <string>

#include "daemon/api/api_context.h"
#include "daemon/process/config_store.h"

namespace linenpier::api {

/// Registers its routes on a server; must outlive it.
class OperatorRoutes {
 public:
  OperatorRoutes(ApiContext& context, IdSource& ids);
  void registerOn(httplib::Server& server);

 private:
  /// Wraps a handler so that it only runs for an operator's key.
  httplib::Server::Handler guarded(void (OperatorRoutes::*handler)(const httplib::Request&,
                                                                   httplib::Response&));
  void handleList(const httplib::Request& request, httplib::Response& response);
  void handleGet(const httplib::Request& request, httplib::Response& response);
  void handlePut(const httplib::Request& request, httplib::Response& response);
  void handleStatus(const httplib::Request& request, httplib::Response& response);
  void handleExplain(const httplib::Request& request, httplib::Response& response);
  /// Waits until an accepted edit is in force at this daemon, so that the operator's next edit may
  /// build on it. Gives up after a moment: the edit is accepted all the same.
  void waitInForce(Revision revision) const;
  /// @return what is wrong with a document under `key`, by itself and with what is in force.
  Findings check(const std::string& key, const std::string& document) const;

  ApiContext& context_;
  IdSource& ids_;
  daemon::ConfigStore store_;
};

}  // namespace linenpier::api
