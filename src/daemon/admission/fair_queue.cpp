#include "daemon/admission/fair_queue.h"

#include <algorithm>
#include <utility>

namespace linenpier::admission {

bool FairQueue::push(Ticket ticket, std::uint32_t tenant_bound) {
  std::uint32_t& waiting = waiting_[ticket.tenant];
  if (waiting >= tenant_bound) {
    if (waiting == 0) waiting_.erase(ticket.tenant);
    return false;
  }
  if (waiting == 0) {
    double& virtual_time = virtual_time_[ticket.tenant];
    virtual_time = std::max(virtual_time, floor_);
  }
  ++waiting;
  ++size_;
  const LaneKey key{-ticket.priority, ticket.tenant, ticket.model};
  lanes_[key].tickets.push_back(std::move(ticket));
  return true;
}

std::vector<Ticket> FairQueue::takeExpired(Instant now) {
  return takeIf([now](const Ticket& ticket) { return ticket.deadline <= now; });
}

std::vector<Ticket> FairQueue::takeHandOvers() {
  return takeIf([](const Ticket& ticket) { return ticket.hand_over; });
}

template <typename Predicate>
std::vector<Ticket> FairQueue::takeIf(Predicate predicate) {
  std::vector<Ticket> taken;
  for (auto lane = lanes_.begin(); lane != lanes_.end();) {
    std::deque<Ticket> kept;
    for (Ticket& ticket : lane->second.tickets) {
      if (predicate(ticket)) {
        taken.push_back(std::move(ticket));
      } else {
        kept.push_back(std::move(ticket));
      }
    }
    lane->second.tickets = std::move(kept);
    lane = lane->second.tickets.empty() ? lanes_.erase(lane) : std::next(lane);
  }
  size_ -= taken.size();
  for (const Ticket& ticket : taken) {
    if (--waiting_[ticket.tenant] == 0) waiting_.erase(ticket.tenant);
  }
  return taken;
}

bool FairQueue::remove(const RequestId& request) {
  for (auto lane = lanes_.begin(); lane != lanes_.end(); ++lane) {
    auto& tickets = lane->second.tickets;
    const auto found = std::find_if(tickets.begin(), tickets.end(), [&](const Ticket& ticket) {
      return ticket.request == request;
    });
    if (found == tickets.end()) continue;
    if (--waiting_[found->tenant] == 0) waiting_.erase(found->tenant);
    tickets.erase(found);
    --size_;
    if (tickets.empty()) lanes_.erase(lane);
    return true;
  }
  return false;
}

std::vector<FairQueue::LaneKey> FairQueue::fairOrder() const {
  std::vector<LaneKey> order;
  for (const auto& [key, lane] : lanes_) order.push_back(key);
  std::stable_sort(order.begin(), order.end(), [this](const LaneKey& a, const LaneKey& b) {
    if (a.negative_priority != b.negative_priority) {
      return a.negative_priority < b.negative_priority;
    }
    return virtual_time_.at(a.tenant) < virtual_time_.at(b.tenant);
  });
  return order;
}

}  // namespace linenpier::admission
