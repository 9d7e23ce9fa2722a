#pragma once

/** @file
 * A stand-in of the platform's service for duties, with faults on order. Test code.
 */

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gateway/http/server.h"

namespace linenpier::test {

/** A call as the service got it. */
struct DutyCall {
  std::string path;
  std::string holder;
  std::uint64_t token = 0;
  std::string body;
  unsigned status = 0;  ///< As it was carried out; also where the answer was lost.
};

struct DutyFaults {
  bool refuse = false;  ///< 429: nothing is done.
  int lose = 0;         ///< So many calls are carried out and not answered.
  int delay = 0;        ///< So many calls are not answered, and carried out two seconds later.
  /// 409 for orders of engines in this zone, as where there are none to be had.
  std::string scarce_zone;
};

class StandinDuties {
 public:
  explicit StandinDuties(boost::asio::io_context& loop);

  Address address() const { return server_.address(); }
  DutyFaults& faults() { return faults_; }
  const std::vector<DutyCall>& calls() const { return calls_; }
  /** Told of each call when it is carried out. */
  void setOnDone(std::function<void(const DutyCall&)> callback) { on_done_ = std::move(callback); }
  /** @return the bodies that were taken, by the number of their window. */
  std::map<std::int64_t, std::vector<std::string>> reports() const;

 private:
  Task<void> handle(http::Request& request, http::ResponseWriter& writer);
  /** Looks at the token, carries the call out and notes it. @return its status. */
  unsigned carryOut(DutyCall call);
  /** @return what tokens are compared within: windows together, orders by service and zone. */
  static std::string subjectOf(const DutyCall& call);

  boost::asio::io_context& loop_;
  http::Server server_;
  DutyFaults faults_;
  std::vector<DutyCall> calls_;
  std::map<std::string, std::uint64_t> highest_token_;  ///< By subject.
  std::function<void(const DutyCall&)> on_done_;
};

}  // namespace linenpier::test
