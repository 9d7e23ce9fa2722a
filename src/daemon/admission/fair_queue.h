#pragma once

/// @file
/// Weighted fair queueing of waiting requests over tenants, with bounds and deadlines.
///
/// Start-time fair queueing: each tenant has a virtual time that advances by 1/weight for every
/// request let through, and the tenant with the least virtual time goes next within a priority.

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::admission {

/// A request that waits for an engine.
struct Ticket {
  RequestId request;
  TenantId tenant;
  ModelName model;
  WeightVersion minimum_version = 0;
  std::uint64_t prefix_hash = 0;
  int priority = 0;
  double weight = 1.0;              ///< Tenant's share.
  std::uint32_t max_in_flight = 1;  ///< Tenant's bound at this daemon.
  Instant enqueued{};
  Instant deadline{};           ///< Given up at this moment.
  std::vector<EngineId> avoid;  ///< Engines that already failed this request.
  bool hand_over = false;       ///< Given up at a planned stop, since another daemon takes it over.
};

/// Pure state; one owner.
class FairQueue {
 public:
  /// @param tenant_bound tickets of the tenant that may wait.
  /// @return false if the tenant's queue is full.
  bool push(Ticket ticket, std::uint32_t tenant_bound);
  /// Visits the tickets in fair order until `try_start` has refused each tenant's head once.
  /// @param try_start returns whether the ticket could be started; started tickets are removed.
  template <typename TryStart>
  void drain(TryStart try_start);
  /// Removes and returns the tickets whose deadline has passed.
  std::vector<Ticket> takeExpired(Instant now);
  /// Removes and returns the tickets that are given up at a planned stop.
  std::vector<Ticket> takeHandOvers();
  /// Removes a ticket whose caller has gone. @return whether it was waiting.
  bool remove(const RequestId& request);
  std::size_t size() const { return size_; }

 private:
  /// Queues are kept per tenant, model and priority, so that a model without room blocks no other.
  struct LaneKey {
    int negative_priority = 0;  ///< Ascending order puts high priorities first.
    TenantId tenant;
    ModelName model;
    auto operator<=>(const LaneKey&) const = default;
  };
  struct Lane {
    std::deque<Ticket> tickets;
  };
  std::vector<LaneKey> fairOrder() const;
  template <typename Predicate>
  std::vector<Ticket> takeIf(Predicate predicate);

  std::map<LaneKey, Lane> lanes_;            ///< Never holds an empty lane.
  std::map<TenantId, double> virtual_time_;  ///< Tenants with waiting tickets.
  std::map<TenantId, std::uint32_t> waiting_;
  double floor_ = 0;  ///< Virtual time that a newly active tenant starts at.
  std::size_t size_ = 0;
};

template <typename TryStart>
void FairQueue::drain(TryStart try_start) {
  bool progress = true;
  while (progress && size_ > 0) {
    progress = false;
    for (const LaneKey& key : fairOrder()) {
      Lane& lane = lanes_.at(key);
      if (!try_start(lane.tickets.front())) continue;
      const Ticket started = lane.tickets.front();
      lane.tickets.pop_front();
      --size_;
      floor_ = virtual_time_[key.tenant];
      virtual_time_[key.tenant] += 1.0 / started.weight;
      if (--waiting_[key.tenant] == 0) {
        waiting_.erase(key.tenant);
      }
      if (lane.tickets.empty()) lanes_.erase(key);
      progress = true;
      break;
    }
  }
  if (size_ == 0) virtual_time_.clear();
}

}  // namespace linenpier::admission
