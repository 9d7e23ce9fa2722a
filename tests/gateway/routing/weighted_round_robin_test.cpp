#include "gateway/routing/weighted_round_robin.h"

#include <criterion/criterion.h>

#include <set>

using namespace linenpier;

namespace {

/// Takes one turn. @return the service whose turn it was.
ServiceName takeTurn(routing::weighted_round_robin& round_robin, const routing::Route& route) {
  ServiceName first = round_robin.order(route).front();
  round_robin.advance(route);
  return first;
}

}  // namespace

Test(weighted_round_robin, each_round_matches_the_weights) {
  routing::Route split;
  split.name = RouteName("split");
  split.services = {{ServiceName("big"), 9}, {ServiceName("small"), 1}};
  for (std::uint64_t start = 0; start < 20; ++start) {
    routing::weighted_round_robin round_robin(start);
    int small = 0;
    for (int i = 0; i < 100; ++i) small += takeTurn(round_robin, split).str() == "small" ? 1 : 0;
    cr_assert_eq(small, 10, "%d of 100 with start %d", small, static_cast<int>(start));
  }
}

Test(weighted_round_robin, daemons_start_with_different_services) {
  routing::Route split;
  split.name = RouteName("split");
  split.services = {{ServiceName("a"), 1}, {ServiceName("b"), 1}};
  int first_a = 0;
  for (std::uint64_t start = 0; start < 40; ++start) {
    routing::weighted_round_robin round_robin(start);
    first_a += takeTurn(round_robin, split).str() == "a" ? 1 : 0;
  }
  cr_assert(first_a > 5 && first_a < 35, "%d of 40", first_a);
}

Test(weighted_round_robin, the_order_names_each_service_once_and_changes_only_with_the_turn) {
  routing::Route split;
  split.name = RouteName("split");
  split.services = {{ServiceName("a"), 1}, {ServiceName("b"), 5}, {ServiceName("c"), 4}};
  routing::weighted_round_robin round_robin(3);
  for (int i = 0; i < 20; ++i) {
    const std::vector<ServiceName> order = round_robin.order(split);
    cr_assert_eq(std::set<ServiceName>(order.begin(), order.end()).size(), 3U);
    cr_assert(round_robin.order(split) == order);
    round_robin.advance(split);
  }
}
