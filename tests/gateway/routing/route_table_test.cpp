#include "gateway/routing/route_table.h"

#include <criterion/criterion.h>

using namespace linenpier;
using routing::Route;
using routing::RouteTable;

namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix) {
  Route made;
  made.name = RouteName(name);
  made.host = host;
  made.path_prefix = prefix;
  made.services = {{ServiceName("only"), 1}};
  return made;
}

}  // namespace

Test(route_table, the_longest_prefix_of_the_host_wins) {
  RouteTable table;
  table.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                  route("other", "b.example", "/x/y/z/")};
  cr_assert_eq(table.find("a.example", "/x/y/z/1")->name.str(), "long");
  cr_assert_eq(table.find("a.example", "/x/1")->name.str(), "short");
  cr_assert_eq(table.find("a.example:8080", "/x/1")->name.str(), "short", "a port is ignored");
  cr_assert_null(table.find("a.example", "/xy/1"), "a prefix ends at its slash");
  cr_assert_null(table.find("c.example", "/x/1"));
}

Test(route_table, only_idempotent_and_resumable_requests_are_repeatable) {
  Route each = route("r", "h", "/");
  each.kind = routing::RequestKind::kIdempotent;
  cr_assert(each.repeatable());
  each.kind = routing::RequestKind::kNonIdempotent;
  each.resumable = true;
  cr_assert_not(each.repeatable());
  each.kind = routing::RequestKind::kStreaming;
  cr_assert(each.repeatable());
  each.resumable = false;
  cr_assert_not(each.repeatable());
}

Test(weighted_dealer, every_round_gives_each_service_its_weight) {
  Route split = route("split", "h", "/");
  split.services = {{ServiceName("big"), 9}, {ServiceName("small"), 1}};
  for (std::uint64_t start = 0; start < 20; ++start) {
    routing::weighted_round_robin round_robin(start);
    int small = 0;
    for (int i = 0; i < 100; ++i) small += round_robin.next(split).str() == "small" ? 1 : 0;
    cr_assert_eq(small, 10, "%d of 100 with start %d", small, static_cast<int>(start));
  }
}

Test(weighted_dealer, daemons_do_not_all_begin_with_the_same_service) {
  Route split = route("split", "h", "/");
  split.services = {{ServiceName("a"), 1}, {ServiceName("b"), 1}};
  int first_a = 0;
  for (std::uint64_t start = 0; start < 40; ++start) {
    routing::weighted_round_robin round_robin(start);
    first_a += round_robin.next(split).str() == "a" ? 1 : 0;
  }
  cr_assert(first_a > 5 && first_a < 35, "%d of 40", first_a);
}
