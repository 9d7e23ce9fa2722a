#pragma once

/// @file
/// Many daemons in one process and in virtual time: the real decision code and the real message
/// codec, with a hollow network, hollow engines and a hollow platform around them.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "daemon/config_store.h"
#include "node/node_core.h"
#include "platform/platform_directory.h"
#include "standin/store.h"
#include "wire/frame_codec.h"

namespace linenpier::sim {

struct FleetOptions {
  std::uint32_t daemons = 40;
  std::uint32_t engines = 400;
  std::uint32_t zones = 4;
  std::uint32_t regions = 2;
  std::uint32_t models = 6;  ///< Engines are spread over them evenly in each zone.
  std::uint32_t tenants = 100;
  std::uint32_t slots = 16;  ///< Per engine.
  std::uint64_t seed = 1;
  double load_change = 0.5;    ///< Share of the engines whose load differs at each poll.
  double prefetch_rate = 400;  ///< Versions that the weight store serves per second, to all.
  double flip_s = 1.0;         ///< Pause of a flip.
  Duration zone_latency = std::chrono::microseconds(500);
  Duration region_latency = std::chrono::milliseconds(30);
};

/// What daemons cost, since the last reset.
struct FleetCost {
  double virtual_s = 0;
  double cpu_s = 0;         ///< Processor time of decisions and codec, all daemons.
  std::uint64_t bytes = 0;  ///< Datagram bytes sent, headers of IP and UDP included.
  std::uint64_t datagrams = 0;
  std::uint64_t table_reads = 0;
  std::uint64_t table_writes = 0;
  std::uint64_t engine_polls = 0;
  std::map<std::string, std::uint64_t> bytes_by_message;
};

class HollowFleet {
 public:
  explicit HollowFleet(FleetOptions options);
  ~HollowFleet();

  /// Moves virtual time on.
  void run(Duration duration);
  void resetCost();
  FleetCost cost() const;

  /// Stops a daemon at once, as a crash would.
  void kill(std::size_t daemon);
  /// Cuts datagrams between the zone and all others, or heals the cut.
  void cutZone(std::uint32_t zone, bool cut);
  void setTableUp(bool up) { table_up_ = up; }
  /// Commits a change of a tenant through a daemon. @return its revision, or 0 if not accepted.
  Revision changeConfig(std::size_t daemon);
  /// Publishes new weights of a model.
  void publish(std::uint32_t model, WeightVersion version);

  /// @return live daemons whose configuration is older than `revision`.
  std::size_t daemonsBehind(Revision revision) const;
  /// @return engines of the model that hold an older version.
  std::size_t enginesBehind(std::uint32_t model, WeightVersion version) const;
  /// @return engines that no live daemon has a token for.
  std::size_t enginesWithoutOwner() const;
  /// @return live daemons that do not see exactly the live daemons.
  std::size_t daemonsWithWrongView() const;
  Instant now() const { return now_; }

 private:
  struct Daemon;
  struct Engine;
  struct Later {
    Instant when{};
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Later& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  class LocalTable;

  void at(Instant when, std::function<void()> action);
  void feed(std::size_t daemon, const node::Event& event);
  void tick(std::size_t daemon);
  void perform(std::size_t daemon, const node::Effect& effect);
  void sendDatagram(std::size_t daemon, const wire::Outgoing& outgoing);
  void claim(std::size_t daemon, const EngineId& engine);
  void order(std::size_t daemon, const node::SendOrder& effect);
  void answerLater(std::size_t daemon, Duration delay, node::Event event);
  platform::MachineList machineListFor(const ZoneName& zone) const;

  FleetOptions options_;
  Random random_;
  wire::FrameCodec codec_{"hollow fleet secret"};
  Instant now_{std::chrono::seconds(1000)};
  std::priority_queue<Later, std::vector<Later>, std::greater<>> later_;
  std::uint64_t next_order_ = 1;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::map<EngineId, std::unique_ptr<Engine>> engines_;
  std::set<ZoneName> cut_zones_;
  std::shared_ptr<standin::TableStore> table_store_;
  std::shared_ptr<LocalTable> table_;
  std::map<ModelName, WeightVersion> heads_;
  Instant weight_store_free_{};  ///< When the weight store can begin the next load.
  bool table_up_ = true;
  FleetCost cost_;
  Instant cost_since_{};
};

}  // namespace linenpier::sim
