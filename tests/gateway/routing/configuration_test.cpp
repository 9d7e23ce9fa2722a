#include "gateway/routing/configuration.h"

#include <criterion/criterion.h>

using namespace linenpier;
using routing::Configuration;
using routing::Route;

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

Test(configuration, longest_prefix_of_the_host_wins) {
  Configuration configuration;
  configuration.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                          route("other", "b.example", "/x/y/z/")};
  cr_assert_eq(configuration.find("a.example", "/x/y/z/1")->name.str(), "long");
  cr_assert_eq(configuration.find("a.example", "/x/1")->name.str(), "short");
  cr_assert_eq(configuration.find("a.example:8080", "/x/1")->name.str(), "short",
               "the port is ignored");
  cr_assert_null(configuration.find("a.example", "/xy/1"), "a prefix matches whole segments");
  cr_assert_null(configuration.find("c.example", "/x/1"));
}

Test(configuration, only_idempotent_and_resumable_requests_are_repeatable) {
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
