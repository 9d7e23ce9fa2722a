#include "daemon/config/config_state.h"

#include <criterion/criterion.h>

using namespace linenpier;
using config::ConfigState;

namespace {

wire::ConfigItem templateItem(const std::string& name, Revision revision, int priority) {
  return {
      "template/" + name, revision,
      R"({"name":")" + name + R"(","kind":"serving","priority":)" + std::to_string(priority) + "}"};
}

}  // namespace

Test(config_state, an_older_item_never_replaces_a_newer_one) {
  ConfigState state;
  state.apply({templateItem("a", 5, 5)}, 5);
  state.apply({templateItem("a", 3, 3)}, 3);
  cr_assert_eq(state.revision(), 5U);
  cr_assert_eq(state.snapshot()->templates.at("a").priority, 5);
}

Test(config_state, items_come_in_parts_and_each_part_says_how_far_it_reaches) {
  ConfigState source;
  for (int i = 1; i <= 20; ++i) {
    source.apply({templateItem("t" + std::to_string(i), static_cast<Revision>(i), 0)},
                 static_cast<Revision>(i));
  }
  ConfigState target;
  int parts = 0;
  while (target.revision() < source.revision()) {
    const auto part = source.itemsSince(target.revision(), 200);
    cr_assert_leq(part.since, target.revision());
    target.apply(part.items, part.complete_to);
    cr_assert_lt(++parts, 30);
  }
  cr_assert_gt(parts, 3);
  cr_assert_eq(target.snapshot()->templates.size(), 20U);
}

Test(config_state, a_tenant_is_found_by_its_key_and_by_no_other) {
  ConfigState state;
  const std::string document = R"({"name":"firm","key_hashes":[")" + config::sha256Hex("secret") +
                               R"("],"models":[{"model":"m","template":"a"}]})";
  state.apply({templateItem("a", 1, 0), {"tenant/firm", 2, document}}, 2);
  const auto snapshot = state.snapshot();
  cr_assert_not_null(snapshot->findTenantByKey("secret"));
  cr_assert_null(snapshot->findTenantByKey("Secret"));
  cr_assert_null(snapshot->findTenantByKey(""));
  const auto* tenant = snapshot->findTenantByKey("secret");
  cr_assert_not_null(snapshot->templateFor(*tenant, ModelName("m")));
  cr_assert_null(snapshot->templateFor(*tenant, ModelName("other")));
}
