#pragma once

/** @file
 * A soak test: a client and a trainer send requests through gateway processes to a stand-in store
 * and stand-in engines, with a fault proxy on every link. Everything but the gateways, which the
 * caller starts, runs in this process. Test code.
 */

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "common/random.h"
#include "gateway/http/client_exchange.h"
#include "soak/fault_proxy.h"
#include "soak/soak_checker.h"
#include "support/standin_sampler.h"
#include "support/standin_store.h"

namespace linenpier::soak {

struct soak_options {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(20);  ///< Duration of the fault phase.
  std::size_t gateways = 3;
  std::string directory;  ///< Receives the gateways' settings files.
  /** Guarantee to violate on purpose, to test the checker: "answer", "refusal", "text", "job",
   * "ends" or "entry"; empty: none.
   */
  std::string broken;
};

/** Loop thread only. */
class soak_run {
 public:
  /** @param out receives a line "signal NAME INDEX" for each signal that the caller must send to a
   *     gateway process, and the summary.
   */
  soak_run(boost::asio::io_context& loop, const soak_options& options, std::ostream& out);

  /** Writes the gateways' settings and starts the test. */
  void start();
  /** @return the number of violations found. Valid once the loop has stopped. */
  std::size_t violations() const { return this->checker_.violations().size(); }

 private:
  /** Proxies on a gateway's links. */
  struct gateway_links {
    std::unique_ptr<fault_proxy> front;
    std::unique_ptr<fault_proxy> store;
  };
  struct sent_request {
    std::string id;
    std::string path;
    std::string body;
    bool at_most_once = false;  ///< Not idempotent.
  };
  struct job {
    std::string id;
    std::vector<std::string> items;
    Instant accepted_at{};
  };

  void makeEngines();
  void putConfiguration();
  void makeGateways();
  Task<void> run();
  Task<bool> waitForGateways();
  Task<void> callLoop();
  /** Repeatedly sends the same request, which crashes the engines that run it. */
  Task<void> fatalLoop();
  Task<void> sendFatal(std::string id, std::string body);
  /** @return the response status; 0 if there was no response. */
  Task<unsigned> send(sent_request each, std::size_t gateway);
  Task<void> sendLookup(std::string id, bool at_most_once);
  Task<void> jobLoop();
  Task<void> runJob(job each);
  Task<bool> submitJob(job* each);
  Task<bool> readAllResults(job each, std::size_t gateway);
  /** @return the next position to read; nothing if the page could not be read. */
  Task<std::optional<std::size_t>> readPage(job each, std::size_t position, std::size_t gateway);
  Task<void> versionLoop();
  /** Publishes the engines' weights in their entries with a delay. */
  Task<void> engineEntryLoop();
  /** Writes malformed entries beside those of the engines. */
  Task<void> malformedEntryLoop();
  Task<void> endJob(std::string id);
  Task<void> faultLoop();
  Task<void> injectLinkFault();
  Task<void> injectProcessFault();
  Task<void> injectStoreFault();
  Task<void> injectEngineFault();
  void violateGuarantee();
  void recordRuns();
  Task<http::CallOutcome> call(std::size_t gateway, http::Request request, Duration limit);
  void print(const std::string& line);

  boost::asio::io_context& loop_;
  soak_options options_;
  std::ostream& out_;
  Random random_;  ///< For faults only, so that calls do not change their sequence.
  Random call_random_;
  Random fatal_random_;  ///< Selects the gateways that get the fatal request.
  http::ConnectionPool pool_;
  test::StandinStore store_;
  std::vector<std::unique_ptr<test::StandinSampler>> lookup_engines_;
  std::vector<std::unique_ptr<test::StandinSampler>> model_engines_;
  /** Its address is only listed in malformed entries. */
  std::unique_ptr<test::StandinSampler> unregistered_engine_;
  std::vector<std::unique_ptr<fault_proxy>> engine_links_;
  std::vector<gateway_links> gateways_;
  soak_checker checker_;
  std::size_t open_jobs_ = 0;
  std::size_t faults_ = 0;
  std::size_t succeeded_ = 0;  ///< Successful requests since the last reset of the counters.
  std::size_t sent_ = 0;
  bool traffic_enabled_ = true;
  bool faults_enabled_ = true;
};

}  // namespace linenpier::soak
