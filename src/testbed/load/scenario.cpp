#include "testbed/load/scenario.h"

#include "common/toml_table_reader.h"

namespace linenpier::load {

namespace {

using settings::readArray;
using settings::TableReader;

CallerPlan readCaller(TableReader& reader) {
  CallerPlan plan;
  plan.name = reader.text("name");
  plan.key = reader.text("key");
  plan.model = ModelName(reader.text("model"));
  plan.rate = reader.number("rate", plan.rate);
  plan.tokens = reader.number("tokens", plan.tokens);
  plan.deadline_ms = reader.number("deadline_ms", plan.deadline_ms);
  plan.once_share = reader.number("once_share", plan.once_share);
  return plan;
}

TrainerPlan readTrainer(TableReader& reader) {
  TrainerPlan plan;
  plan.trainer = TrainerId(reader.text("trainer"));
  plan.key = reader.text("key");
  plan.model = ModelName(reader.text("model"));
  plan.staleness_bound = reader.number("staleness_bound", plan.staleness_bound);
  plan.ahead = reader.number("ahead", plan.ahead);
  plan.groups = reader.number("groups", plan.groups);
  plan.samples_per_group = reader.number("samples_per_group", plan.samples_per_group);
  plan.train_ms = reader.number("train_ms", plan.train_ms);
  plan.mean_tokens = reader.number("mean_tokens", plan.mean_tokens);
  plan.tail_share = reader.number("tail_share", plan.tail_share);
  plan.tail_tokens = reader.number("tail_tokens", plan.tail_tokens);
  return plan;
}

void readTargets(const toml::table& root, TableReader& reader, Scenario& scenario) {
  const toml::array* targets = root["targets"].as_array();
  if (targets == nullptr || targets->empty()) return reader.report("targets", "is missing");
  for (const toml::node& node : *targets) {
    const auto address = parseAddress(node.value<std::string>().value_or(""));
    if (address) {
      scenario.targets.push_back(*address);
    } else {
      reader.report("targets", "must hold IP numbers with ports");
    }
  }
}

}  // namespace

tl::expected<Scenario, Findings> readScenario(const std::string& file) {
  return settings::readTomlFile<Scenario>(file, [&file](const toml::table& root, TableReader& top,
                                                        Scenario& scenario, Findings& findings) {
    readTargets(root, top, scenario);
    scenario.platform = top.address("platform", true);
    scenario.duration_s = top.number("duration_s", scenario.duration_s);
    scenario.seed = top.number("seed", scenario.seed);
    readArray(root, "caller", file, findings,
              [&scenario](TableReader& reader) { scenario.callers.push_back(readCaller(reader)); });
    readArray(root, "trainer", file, findings, [&scenario](TableReader& reader) {
      scenario.trainers.push_back(readTrainer(reader));
    });
  });
}

}  // namespace linenpier::load
