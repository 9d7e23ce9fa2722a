#include "gateway/routing/weighted_round_robin.h"

#include <criterion/criterion.h>

using namespace linenpier;

Test(weighted_round_robin, each_round_matches_the_weights) {
  routing::Route split;
  split.name = RouteName("split");
  split.services = {{ServiceName("big"), 9}, {ServiceName("small"), 1}};
  for (std::uint64_t start = 0; start < 20; ++start) {
    routing::weighted_round_robin round_robin(start);
    int small = 0;
    for (int i = 0; i < 100; ++i) small += round_robin.next(split).str() == "small" ? 1 : 0;
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
    first_a += round_robin.next(split).str() == "a" ? 1 : 0;
  }
  cr_assert(first_a > 5 && first_a < 35, "%d of 40", first_a);
}
