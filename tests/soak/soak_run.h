#pragma once

/** @file
 * A soak test: a client and a trainer send requests through gateway processes to a stand-in store
 * and stand-in engines, with a fault proxy on every link. Everything but the gateways, which the
 * caller starts, runs in this process. Test code.
 */

#include <ostream>
#include <string>

#include "soak/soak_connections.h"
#include "soak/soak_faults.h"
#include "soak/soak_jobs.h"
#include "soak/soak_responses.h"
#include "soak/soak_world.h"

namespace linenpier::soak {

/** Loop thread only. */
class soak_run {
 public:
  /** @param out receives a line "signal NAME INDEX" for each signal that the caller must send to a
   *     gateway process, and the summary. A gateway that ends after KILL or TERM must be restarted.
   */
  soak_run(boost::asio::io_context& loop, const soak_options& options, std::ostream& out);

  /** Writes the gateways' settings and starts the test. */
  void start();
  /** @return the number of violations found. Valid once the loop has stopped. */
  std::size_t violations() const { return this->world_.checker.violations().size(); }

 private:
  struct sent_request {
    std::string id;
    std::string path;
    std::string body;
    bool at_most_once = false;  ///< Not idempotent.
  };

  Task<void> run();
  Task<bool> waitForGateways();
  Task<void> callLoop();
  /** Repeatedly sends the same request, which crashes the engines that run it. */
  Task<void> fatalLoop();
  Task<void> sendFatal(std::string id, std::string body);
  /** @return the response status; 0 if there was no response. */
  Task<unsigned> send(sent_request each, std::size_t gateway);
  Task<void> sendLookup(std::string id, bool at_most_once);
  Task<void> versionLoop();
  /** Publishes the engines' weights in their entries with a delay. */
  Task<void> engineEntryLoop();
  /** Writes malformed entries beside those of the engines. */
  Task<void> malformedEntryLoop();

  soak_world world_;
  Random fatal_random_;  ///< Selects the gateways that get the fatal request.
  soak_jobs jobs_;
  soak_connections connections_;
  soak_faults faults_;
  soak_responses responses_;
  std::size_t succeeded_ = 0;  ///< Successful requests since the last reset of the counters.
  std::size_t sent_ = 0;
};

}  // namespace linenpier::soak
