#pragma once

/** @file
 * A stand-in of the platform's service for duties, with faults on order. Test code.
 */

#include <map>
#include <string>
#include <vector>

#include "http/server.h"

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
};

class StandinDuties {
 public:
  explicit StandinDuties(boost::asio::io_context& loop);

  Address address() const { return server_.address(); }
  DutyFaults& faults() { return faults_; }
  const std::vector<DutyCall>& calls() const { return calls_; }
  /** @return the bodies that were taken, by the number of their window. */
  std::map<std::int64_t, std::vector<std::string>> reports() const;

 private:
  Task<void> handle(http::Request& request, http::ResponseWriter& writer);

  boost::asio::io_context& loop_;
  http::Server server_;
  DutyFaults faults_;
  std::vector<DutyCall> calls_;
  std::map<std::string, std::uint64_t> highest_token_;  ///< By path.
};

}  // namespace linenpier::test
