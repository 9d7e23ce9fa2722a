#pragma once

/// @file
/// Orders the engines of services while this daemon holds the right to: one daemon a service at a
/// time.

#include <functional>
#include <map>
#include <memory>

#include "gateway/lease/leader_lock.h"
#include "gateway/versions/version_rollout.h"

namespace linenpier::versions {

/// Sends orders in the platform's form.
class EngineOrders {
 public:
  virtual ~EngineOrders() = default;

  /// @param send_by the order is sent until then or not at all.
  virtual Task<OrderAnswer> send(VersionOrder order, std::string holder, FencingToken token,
                                 Instant send_by) = 0;
  /// @return nothing if the engine gave no answer.
  virtual Task<std::optional<OrderReport>> report(EngineId engine, Address address) = 0;
};

struct OrderOptions {
  lease::handover_rules handover;
  RolloutOptions rollout;
};

struct OrderCounts {
  std::uint64_t sent = 0;
  std::uint64_t under_way = 0;
  std::uint64_t unanswered = 0;
};

/// Loop thread only.
class OrderService {
 public:
  struct Dependencies {
    boost::asio::io_context& loop;
    engines::EngineRegistry& registry;
    table::AsyncTable& table;
    lease::lease_table& leases;
    lease::lease_keeper& keeper;
    const lease::owner_pool& pool;
    EngineOrders& orders;
    std::function<routing::RouteTablePtr()> routes;
    std::function<open_work_by_model()> open_work;  ///< Of jobs under way.
    std::string holder;                             ///< Name that orders carry.
    /// Engines with a run that a step waits for. Not set: none is known.
    std::function<std::set<EngineId>(Instant now)> awaited;
  };
  OrderService(Dependencies dependencies, OrderOptions options)
      : deps_(std::move(dependencies)), options_(options) {}

  void start();
  /// Rights that are held now go on under the options of before.
  void setOptions(const OrderOptions& options) { options_ = options; }
  void onNamed(const ModelName& model, WeightVersion version);
  /// The row of a service's right, as the feed tells it.
  void onRightRow(const ServiceName& service, const table::Row& row);
  void onRightGone(const ServiceName& service);
  /// The table was read and other rows of it are about to be told: unless told, there is no row.
  void onTableRead() { table_read_ = true; }
  bool holdsAny() const { return rightsHeld() > 0; }
  std::size_t rightsHeld() const;
  /// Gives up every right.
  Task<void> handOver();
  const OrderCounts& counts() const { return counts_; }

 private:
  /// A service's right, and what its holder does.
  struct Right {
    Right(const lease::leader_lock::dependencies& deps, const ServiceName& service,
          const OrderOptions& options);

    VersionRollout rollout;
    lease::leader_lock right;
  };
  Right& rightOf(const ServiceName& service);
  Task<void> tickLoop();
  void tickService(Instant now, const ServiceName& service);
  Task<void> askReport(ServiceName service, EngineId engine, Address address);
  Task<void> sendOrder(ServiceName service, VersionOrder order);

  Dependencies deps_;
  OrderOptions options_;
  std::map<ServiceName, std::unique_ptr<Right>> rights_;
  std::map<ModelName, WeightVersion> named_;
  OrderCounts counts_;
  bool table_read_ = false;  ///< Whether an unknown right means that there is no row.
  bool stopping_ = false;
};

}  // namespace linenpier::versions
