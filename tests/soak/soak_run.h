#pragma once

/** @file
 * A soak: real gateways, as processes that somebody else starts, between a caller and a trainer on
 * one side and a stand-in store and stand-in engines on the other, with a proxy on every link.
 * Everything but the gateways runs here, in one process. Test code.
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
  Duration length = std::chrono::seconds(20);  ///< Of the time with faults.
  std::size_t gateways = 3;
  std::string directory;  ///< Where the gateways' settings are written.
  /** Breaks a promise on purpose: "answer", "refusal", "text", "job", "ends"; empty: none. */
  std::string broken;
};

/** Loop thread only. */
class soak_run {
 public:
  /** @param out takes a line for each signal that a gateway's process is to be sent, as
   *     "signal NAME INDEX", and the last line.
   */
  soak_run(boost::asio::io_context& loop, const soak_options& options, std::ostream& out);

  /** Writes the gateways' settings and begins. */
  void start();
  /** @return the violations found; the loop has stopped by then. */
  std::size_t violations() const { return this->checker_.violations().size(); }

 private:
  /** A gateway's links. */
  struct gateway_links {
    std::unique_ptr<fault_proxy> front;
    std::unique_ptr<fault_proxy> store;
  };
  struct sent_request {
    std::string id;
    std::string path;
    std::string body;
    bool once = false;  ///< It may run once at most.
  };
  struct job {
    std::string id;
    std::vector<std::string> items;
    Instant accepted_at{};
  };

  void makeEngines();
  void putConfiguration();
  void makeGateways();
  Task<void> direct();
  Task<bool> waitServed();
  Task<void> callLoop();
  /** Sends one and the same request, which ends the engines that run it, again and again. */
  Task<void> fatalLoop();
  Task<void> sendFatal(std::string id, std::string body);
  /** @return the status of the answer; 0: there was none. */
  Task<unsigned> send(sent_request each, std::size_t gateway);
  Task<void> callOnce(std::string id, bool once);
  Task<void> trainLoop();
  Task<void> runJob(job each);
  Task<bool> handIn(job* each);
  Task<bool> readWhole(job each, std::size_t gateway);
  /** @return the next position to read; nothing if the page did not come. */
  Task<std::optional<std::size_t>> readPage(job each, std::size_t position, std::size_t gateway);
  Task<void> versionLoop();
  /** Engines tell of their weights in their entries, a little late. */
  Task<void> entryLoop();
  /** Another writer leaves entries that name no engine beside those of the engines. */
  Task<void> strayLoop();
  Task<void> endJob(std::string id);
  Task<void> faultLoop();
  Task<void> strikeLink();
  Task<void> strikeProcess();
  Task<void> strikeStore();
  Task<void> strikeEngine();
  void breakPromise();
  void noteRuns();
  Task<http::CallOutcome> call(std::size_t gateway, http::Request request, Duration limit);
  void say(const std::string& line);

  boost::asio::io_context& loop_;
  soak_options options_;
  std::ostream& out_;
  Random random_;  ///< Of faults; calls have a generator of their own.
  Random choice_;
  Random fatal_choice_;  ///< Of the gateways that get the request which ends its engines.
  http::ConnectionPool pool_;
  test::StandinStore store_;
  std::vector<std::unique_ptr<test::StandinSampler>> desks_;
  std::vector<std::unique_ptr<test::StandinSampler>> models_;
  std::unique_ptr<test::StandinSampler> stray_;  ///< Only spoilt entries give its address.
  std::vector<std::unique_ptr<fault_proxy>> engine_links_;
  std::vector<gateway_links> gateways_;
  soak_checker checker_;
  std::size_t open_jobs_ = 0;
  std::size_t faults_ = 0;
  std::size_t served_ = 0;  ///< Requests since the count was last set back.
  std::size_t sent_ = 0;
  bool traffic_ = true;
  bool striking_ = true;
};

}  // namespace linenpier::soak
