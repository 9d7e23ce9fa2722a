#pragma once

/// @file
/// Holds the right to order the engines of services, and uses it: one daemon a service at a time.
///
/// The right is a row whose revision is the fencing token. It is taken by a conditional write when
/// its owner's lease has run out; the new holder first waits until the old one can no longer order.
///
/// A holder orders only for a short while after a write that the store took under the condition
/// that the right's row is still the holder's. Nothing else, such as a renewal of its lease, tells
/// a holder that was cut off or frozen that it still holds the right.

#include <functional>
#include <map>
#include <memory>

#include "lease/lease_keeper.h"
#include "versions/version_rollout.h"

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
  Duration handover_pause = std::chrono::milliseconds(3100);  ///< Between two holders' orders.
  RolloutOptions rollout;
};

struct OrderCounts {
  std::uint64_t sent = 0;
  std::uint64_t under_way = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t acquired = 0;
};

/// Loop thread only.
class OrderService {
 public:
  struct Dependencies {
    boost::asio::io_context& loop;
    engines::EngineRegistry& registry;
    table::AsyncTable& table;
    lease::LeaseTable& leases;
    lease::LeaseKeeper& keeper;
    const lease::OwnerPool& pool;
    EngineOrders& orders;
    std::function<routing::RouteTablePtr()> routes;
    std::function<open_work_by_model()> open_work;  ///< Of jobs under way.
    std::string holder;                             ///< Name that orders carry.
  };
  OrderService(Dependencies dependencies, OrderOptions options)
      : deps_(std::move(dependencies)), options_(options) {}

  void start();
  /// Rights that are held now go on under the options of before.
  void setOptions(const OrderOptions& options) { options_ = options; }
  void onNamed(const ModelName& model, WeightVersion version);
  /// The row of a service's right, as the feed tells it.
  void onRightRow(const routing::ServiceName& service, const table::Row& row);
  void onRightGone(const routing::ServiceName& service);
  /// The table was read and other rows of it are about to be told: unless told, there is no row.
  void onTableRead() { table_read_ = true; }
  bool holdsAny() const { return rightsHeld() > 0; }
  std::size_t rightsHeld() const;
  /// Gives up every right.
  Task<void> handOver();
  const OrderCounts& counts() const { return counts_; }

 private:
  /// A service's right as this daemon knows it.
  struct Right {
    explicit Right(const RolloutOptions& rollout_options) : rollout(rollout_options) {}

    Revision revision = 0;  ///< The fencing token, if `owner` is this daemon.
    lease::LeaseId owner;
    bool acquiring = false;
    bool confirming = false;
    Instant confirmed_at{};  ///< When the last write that proved the right was sent.
    Instant vacant_since{};
    Instant may_order_at{};
    std::int64_t last_order_ms = 0;  ///< Of an earlier holder, by the store's clock; 0: not known.
    Instant last_order_at{};         ///< Of this daemon.
    VersionRollout rollout;
  };
  Right& rightOf(const routing::ServiceName& service);
  bool held(const Right& right) const;
  /// @return until when the holder may order without another proof of its right.
  Instant mayOrderUntil(const Right& right) const;
  /// Proves the right by a write under its row's revision; renews the lease with it.
  Task<void> confirm(routing::ServiceName service);
  Task<void> tickLoop();
  void tickService(Instant now, const routing::ServiceName& service);
  /// @return how long to wait after another holder before the first order.
  Duration pauseAfter(const lease::LeaseId& from, std::int64_t last_order_ms) const;
  Task<void> acquire(routing::ServiceName service);
  Task<void> askReport(routing::ServiceName service, EngineId engine, Address address);
  Task<void> sendOrder(routing::ServiceName service, VersionOrder order);

  Dependencies deps_;
  OrderOptions options_;
  std::map<routing::ServiceName, std::unique_ptr<Right>> rights_;
  std::map<ModelName, WeightVersion> named_;
  OrderCounts counts_;
  bool table_read_ = false;  ///< Whether an unknown right means that there is no row.
  bool stopping_ = false;
};

}  // namespace linenpier::versions
