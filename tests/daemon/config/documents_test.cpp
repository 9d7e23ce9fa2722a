#include "daemon/config/documents.h"

#include <criterion/criterion.h>

using namespace linenpier;

namespace {

bool mentions(const Findings& findings, const std::string& place) {
  for (const Finding& finding : findings) {
    if (finding.place == place) return true;
  }
  return false;
}

}  // namespace

Test(documents, a_template_is_read_with_its_defaults) {
  const auto parsed = config::parseTemplate("t", R"({"name":"lookup","kind":"serving"})");
  cr_assert(parsed.has_value());
  cr_assert_eq(parsed->max_queued, 256U);
}

Test(documents, all_findings_of_a_template_come_together) {
  const auto parsed = config::parseTemplate(
      "t", R"({"name":"BAD NAME","kind":"other","priority":99,"weight":"x","surprise":1})");
  cr_assert_not(parsed.has_value());
  for (const char* key : {"t.name", "t.kind", "t.priority", "t.weight", "t.surprise"}) {
    cr_assert(mentions(parsed.error(), key), "%s", key);
  }
}

Test(documents, a_tenant_must_list_the_models_of_its_trainers) {
  const auto parsed =
      config::parseTenant("t", R"({"name":"firm","trainers":[{"trainer":"w","model":"missing"}]})");
  cr_assert_not(parsed.has_value());
  cr_assert(mentions(parsed.error(), "t.trainers"));
}

Test(documents, key_hashes_must_be_sha256) {
  const auto parsed = config::parseTenant("t", R"({"name":"firm","key_hashes":["plain-key"]})");
  cr_assert(mentions(parsed.error(), "t.key_hashes"));
}

Test(documents, text_that_is_not_json_is_one_finding) {
  cr_assert_eq(config::parseTenant("t", "{").error().size(), 1U);
  cr_assert_eq(config::parseTemplate("t", "[]").error().size(), 1U);
}
