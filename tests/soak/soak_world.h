#pragma once

/** @file
 * What surrounds the gateways in a soak test: the stand-in store, the stand-in engines, a fault
 * proxy on every link, and the checker of the guarantees. Test code.
 */

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

/** Time between the events of an item. */
constexpr Duration kEventInterval = std::chrono::milliseconds(15);
/** Body of the request that crashes the engines that run it. */
constexpr char kFatalMark[] = "ends its engine";
/** Mark in the body of a sound item under which engines crash several times, and then no more. */
constexpr char kUnluckyMark[] = "unlucky";

/** Size of an upload: larger than what the buffers between a gateway and an engine hold. */
constexpr std::size_t kUploadBytes = 6 * 1024 * 1024;

struct soak_options {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(20);  ///< Duration of the fault phase.
  std::size_t gateways = 3;
  std::string directory;  ///< Receives the gateways' settings files.
  /** Guarantee to violate on purpose, to test the checker: "answer", "refusal", "text", "job",
   * "ends", "entry" or "refused_job"; empty: none.
   */
  std::string broken;
};

/** Proxies on a gateway's links. */
struct gateway_links {
  std::unique_ptr<fault_proxy> front;
  Address front_address;  ///< The gateway's own address, without the proxy.
  std::unique_ptr<fault_proxy> store;
  std::unique_ptr<fault_proxy> other_store;  ///< Another address of the store.
  std::string fixed_settings;                ///< Settings that stay the same.
  bool use_other_store = false;
  Instant killed_at{};         ///< When the process was last killed.
  Instant frozen_at{};         ///< When the process was last suspended.
  std::vector<Instant> stops;  ///< When the process was told to stop.
};

/** @return the zone of a gateway or engine, by its number: "z" in region "near", "y" in "far". */
std::string zoneOf(std::size_t number);

/** The part of the operator's configuration that changes during a run. */
struct job_routing {
  std::string regions = "\"near\",\"far\"";  ///< Regions where jobs may be owned and run, as JSON.
  /// Services of the job route, as JSON fields.
  std::string services = "\"service\":\"models\"";
};

/** Shared by the clients, the trainer and the faults of a run. Loop thread only. */
struct soak_world {
  soak_world(boost::asio::io_context& event_loop, const soak_options& run_options,
             std::ostream& output);

  void makeEngines();
  /** Puts the next version of the configuration. */
  void putConfiguration(const job_routing& jobs);
  /** Lets engines crash the next few times that they run an item with `kUnluckyMark`. */
  void beginUnluckyItem();
  /** Makes the links of the gateways and writes their settings. */
  void makeGateways();
  void writeSettings(std::size_t gateway);
  void violateGuarantee();
  Task<http::CallOutcome> call(std::size_t gateway, http::Request request, Duration limit);
  /** Passes the requests that the engines ran to the checker. */
  void recordRuns();
  void print(const std::string& line);
  /** Lets `scripts/soak` send a signal, such as "TERM", to the process of a gateway. */
  void sendSignal(const std::string& name, std::size_t gateway);

  boost::asio::io_context& loop;
  soak_options options;
  std::ostream& out;
  Random call_random;
  http::ConnectionPool pool;
  test::StandinStore store;
  std::vector<std::unique_ptr<test::StandinSampler>> lookup_engines;
  std::vector<std::unique_ptr<test::StandinSampler>> model_engines;
  /** Its address is only listed in malformed entries. */
  std::unique_ptr<test::StandinSampler> unregistered_engine;
  std::vector<std::unique_ptr<fault_proxy>> engine_links;
  std::vector<gateway_links> gateways;
  soak_checker checker;
  std::size_t open_jobs = 0;
  bool traffic_enabled = true;
  bool faults_enabled = true;
  bool overloaded = false;  ///< An overload phase is under way.

 private:
  void addEngine(std::vector<std::unique_ptr<test::StandinSampler>>& engines, const std::string& id,
                 const std::string& service, int events);
  void onEngineCrashed(bool runs_items);

  std::uint64_t configuration_version_ = 2;
  int unlucky_crashes_left_ = 0;
};

}  // namespace linenpier::soak
