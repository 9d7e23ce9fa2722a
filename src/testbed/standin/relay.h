#pragma once

/// @file
/// Passes datagrams on between daemons, except between zones that are cut from each other.

#include <atomic>
#include <thread>
#include <vector>

#include "testbed/standin/faults.h"
#include "testbed/standin/topology.h"

namespace linenpier::standin {

/// One socket per daemon that has a relay address, all served by one thread.
class Relay {
 public:
  Relay(const std::vector<ListedDaemon>& daemons, Faults& faults);
  ~Relay();
  tl::expected<void, Findings> start();
  void stop();

 private:
  void loop();
  void pass(std::size_t receiver);

  std::vector<ListedDaemon> daemons_;
  Faults& faults_;
  std::vector<int> sockets_;  ///< By position in `daemons_`.
  std::thread thread_;
  std::atomic<bool> stopping_{false};
};

}  // namespace linenpier::standin
