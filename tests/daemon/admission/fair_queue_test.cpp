#include "daemon/admission/fair_queue.h"

#include <criterion/criterion.h>

#include <map>

using namespace linenpier;
using admission::FairQueue;
using admission::Ticket;

namespace {

Ticket ticket(const std::string& tenant, int number, double weight = 1, int priority = 0) {
  Ticket result;
  result.request = RequestId(tenant + std::to_string(number));
  result.tenant = TenantId(tenant);
  result.model = ModelName("m");
  result.weight = weight;
  result.priority = priority;
  result.deadline = Instant{std::chrono::seconds(10)};
  return result;
}

/// Lets `count` tickets through. @return how many each tenant got.
std::map<std::string, int> drain(FairQueue& queue, int count) {
  std::map<std::string, int> served;
  queue.drain([&](const Ticket& head) {
    if (count == 0) return false;
    --count;
    ++served[head.tenant.str()];
    return true;
  });
  return served;
}

}  // namespace

Test(fair_queue, a_tenant_at_ten_times_the_load_gets_only_its_share) {
  FairQueue queue;
  for (int i = 0; i < 200; ++i) queue.push(ticket("greedy", i), 1000);
  for (int i = 0; i < 20; ++i) queue.push(ticket("modest", i), 1000);
  const auto served = drain(queue, 40);
  cr_assert_eq(served.at("modest"), 20);
}

Test(fair_queue, shares_follow_weights) {
  FairQueue queue;
  for (int i = 0; i < 100; ++i) {
    queue.push(ticket("heavy", i, 3), 1000);
    queue.push(ticket("light", i, 1), 1000);
  }
  const auto served = drain(queue, 80);
  cr_assert_geq(served.at("heavy"), 58);
  cr_assert_leq(served.at("heavy"), 62);
}

Test(fair_queue, a_higher_priority_goes_first) {
  FairQueue queue;
  queue.push(ticket("a", 1, 1, -5), 10);
  queue.push(ticket("b", 1, 1, 5), 10);
  cr_assert_eq(drain(queue, 1).count("b"), 1U);
}

Test(fair_queue, a_tenants_bound_refuses_only_that_tenant) {
  FairQueue queue;
  cr_assert(queue.push(ticket("a", 1), 1));
  cr_assert_not(queue.push(ticket("a", 2), 1));
  cr_assert(queue.push(ticket("b", 1), 1));
  cr_assert_eq(queue.size(), 2U);
}

Test(fair_queue, expired_and_withdrawn_tickets_leave_no_trace) {
  FairQueue queue;
  queue.push(ticket("a", 1), 2);
  queue.push(ticket("a", 2), 2);
  cr_assert(queue.remove(RequestId("a1")));
  cr_assert_not(queue.remove(RequestId("a1")));
  cr_assert_eq(queue.takeExpired(Instant{std::chrono::seconds(11)}).size(), 1U);
  cr_assert_eq(queue.size(), 0U);
  cr_assert(queue.push(ticket("a", 3), 1));
}
