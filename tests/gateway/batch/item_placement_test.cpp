#include "gateway/batch/item_placement.h"

#include <criterion/criterion.h>

#include "support/engine_lists.h"

using namespace linenpier;
using batch::batch_run;
using engines::engine_record;
using engines::engine_registry;

namespace {

const ModelName kModel("m");
const ServiceName kService("s");
constexpr Instant kStart{std::chrono::seconds(100)};

engine_record record(const std::string& id, WeightVersion version) {
  engine_record made;
  made.id = EngineId(id);
  made.service = kService;
  made.slots = 4;
  made.models[kModel] = version;
  return made;
}

batch_run oneItem() {
  batch::batch_job job;
  job.minimum_version = 2;
  batch::batch_item item;
  item.model = kModel;
  item.tokens = 5000;
  item.length_hint = 900;
  job.items = {item};
  return batch_run(job, {});
}

routing::Route route(bool single_version) {
  routing::Route made;
  made.services = {{kService, 1}};
  made.single_version = single_version;
  return made;
}

}  // namespace

Test(item_placement, the_request_has_the_items_model_version_and_expected_memory) {
  routing::Configuration table;
  table.services[kService].memory_tokens = 30000;
  const auto wanted =
      batch::engineRequirementsFor(oneItem(), 0, route(false), kService, table, 1.0);
  cr_assert_eq(wanted.model.str(), "m");
  cr_assert_eq(wanted.minimum_version, 2U);
  cr_assert_eq(wanted.tokens, 1200, "length hint plus a typical prompt");
  cr_assert_eq(wanted.memory_tokens, 30000);
  cr_assert_not(wanted.exact_version.has_value());
}

Test(item_placement, the_engine_of_the_last_failure_is_selected_only_without_alternatives) {
  engine_registry registry(ZoneName("z"), {}, 1);
  test::listEngines(registry, kStart, {record("a", 2), record("b", 2)});
  batch::item_progress progress;
  progress.failures = 1;
  progress.last_engine = EngineId("a");
  const auto wanted = batch::engineRequirementsFor(oneItem(), 0, route(false), kService, {}, 1.0);
  cr_assert_eq(batch::placeItem(kStart, registry, progress, {wanted}).engine->record.id.str(), "b");
  registry.onRemoved(kStart, EngineId("b"));
  cr_assert_eq(batch::placeItem(kStart, registry, progress, {wanted}).engine->record.id.str(), "a");
}

Test(item_placement, a_single_version_text_is_discarded_if_its_version_is_gone) {
  engine_registry registry(ZoneName("z"), {}, 1);
  test::listEngines(registry, kStart, {record("a", 3)});
  batch_run run = oneItem();
  run.onStarted(kStart, 0, EngineId("a"));
  run.onEvent(kStart, 0, 1, "text", 2);
  const auto wanted = batch::engineRequirementsFor(run, 0, route(true), kService, {}, 1.0);
  const auto placement = batch::placeItem(kStart, registry, run.progress(0), {wanted});
  cr_assert_not_null(placement.engine);
  cr_assert(placement.discard_text);
}

// Guards against items that wait for a service of a split route while another one could run them.
Test(item_placement, the_next_service_is_tried_if_the_first_has_no_engine_for_the_item) {
  engine_registry registry(ZoneName("z"), {}, 1);
  engine_record other = record("b", 2);
  other.service = ServiceName("t");
  engine_record without_model = record("a", 2);
  without_model.models = {{ModelName("n"), 2}};
  const std::vector<engines::engine_request> wanted = {
      batch::engineRequirementsFor(oneItem(), 0, route(false), kService, {}, 1.0),
      batch::engineRequirementsFor(oneItem(), 0, route(false), other.service, {}, 1.0)};
  test::listEngines(registry, kStart, {other});
  cr_assert_eq(batch::placeItem(kStart, registry, {}, wanted).engine->record.id.str(), "b",
               "the first service has no engine");
  test::listEngines(registry, kStart, {other, without_model});
  cr_assert_eq(batch::placeItem(kStart, registry, {}, wanted).engine->record.id.str(), "b",
               "the first service has the model on no engine");
  test::listEngines(registry, kStart, {other, without_model, record("c", 2)});
  cr_assert_eq(batch::placeItem(kStart, registry, {}, wanted).engine->record.id.str(), "c");
}
