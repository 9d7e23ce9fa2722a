#pragma once

/// @file
/// The stand-in platform over HTTP: stores, machine list, engines, faults and the record of what
/// engines saw.

#include <httplib.h>

#include <atomic>
#include <memory>
#include <thread>

#include "testbed/standin/engine_sim.h"
#include "testbed/standin/relay.h"
#include "testbed/standin/store.h"

namespace linenpier::standin {

class PlatformServer {
 public:
  PlatformServer(Topology topology, std::uint64_t seed);
  ~PlatformServer();
  tl::expected<void, Findings> start();
  void stop();

 private:
  using Request = httplib::Request;
  using Response = httplib::Response;

  void registerTable();
  void registerObjects();
  void registerDirectory();
  void registerEngines();
  void registerControl();

  /// Runs a store call under its rate and faults.
  template <typename Work>
  void storeCall(const std::string& service, RateLimit& rate, double usual_ms,
                 const Request& request, Response& response, Work work);
  void generate(EngineSim& engine, const Request& request, Response& response);
  void orderEngine(EngineSim& engine, const Request& request, Response& response);
  /// @return the engine named in the path, unless a cut hides it from the caller.
  EngineSim* reachable(const Request& request, Response& response);
  std::string machineList(const std::string& zone);
  std::string record() const;
  void advanceLoop();

  Topology topology_;
  Faults faults_;
  TableStore table_;
  ObjectStore objects_;
  WeightStore weights_;
  RateLimit table_rate_;
  RateLimit object_rate_;
  std::map<std::string, std::unique_ptr<EngineSim>> engines_;
  Relay relay_;
  /// The machine list lags: what an engine's leaving state was, by time.
  std::mutex leaving_mutex_;
  std::map<std::string, Instant> leaving_noticed_;
  httplib::Server server_;
  std::thread server_thread_;
  std::thread advance_thread_;
  std::atomic<bool> stopping_{false};
};

}  // namespace linenpier::standin
