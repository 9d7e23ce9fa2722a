#pragma once

/** @file
 * A stand-in for the platform's usage and scaling service, with fault injection. Test code.
 */

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gateway/http/server.h"

namespace linenpier::test {

/** A call as received by the service. */
struct DutyCall {
  std::string path;
  std::string holder;
  std::uint64_t token = 0;
  std::string body;
  unsigned status = 0;  ///< Result of the call, also if no response was sent.
};

struct DutyFaults {
  bool refuse = false;  ///< 429 without any effect.
  int lose = 0;         ///< Number of calls to execute without a response.
  int delay = 0;        ///< Number of calls to execute two seconds later, without a response.
  /// Zone without capacity: orders of engines in it get 409.
  std::string scarce_zone;
};

class StandinDuties {
 public:
  explicit StandinDuties(boost::asio::io_context& loop);

  Address address() const { return server_.address(); }
  DutyFaults& faults() { return faults_; }
  const std::vector<DutyCall>& calls() const { return calls_; }
  /** Sets a callback for executed calls. */
  void setOnDone(std::function<void(const DutyCall&)> callback) { callback_ = std::move(callback); }
  /** @return the accepted bodies by window number. */
  std::map<std::int64_t, std::vector<std::string>> reports() const;

 private:
  Task<void> handle(http::Request& request, http::ResponseWriter& writer);
  /** Checks the token, executes and records the call. @return its status. */
  unsigned execute(DutyCall call);
  /** @return the scope of the token: one for all windows, one for each service and zone. */
  static std::string tokenScope(const DutyCall& call);

  boost::asio::io_context& loop_;
  http::Server server_;
  DutyFaults faults_;
  std::vector<DutyCall> calls_;
  std::map<std::string, std::uint64_t> highest_token_;  ///< By scope.
  std::function<void(const DutyCall&)> callback_;
};

}  // namespace linenpier::test
