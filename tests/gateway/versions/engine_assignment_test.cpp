#include "gateway/versions/engine_assignment.h"

#include <criterion/criterion.h>

using namespace linenpier;
using engines::engine_state;

namespace {

const ModelName kModel("m");
const ModelName kOtherModel("n");

/// Engines of one service that hold the first version of two models.
struct Fixture {
  std::vector<engine_state> states;

  explicit Fixture(int count) {
    for (int i = 0; i < count; ++i) {
      engine_state state;
      state.record.id = EngineId("e" + std::to_string(i));
      state.record.slots = 4;
      state.record.models[kModel] = 1;
      state.record.models[kOtherModel] = 1;
      states.push_back(state);
    }
  }
  engines::engine_list list() const {
    engines::engine_list engines;
    for (const engine_state& state : states) engines[state.record.id] = &state;
    return engines;
  }
};

}  // namespace

Test(engine_assignment, engines_are_shared_evenly_and_assignments_are_stable) {
  Fixture fixture(9);
  versions::engine_assignment assignment;
  engines::engine_list engines = fixture.list();
  const versions::engines_wanted all = {{kModel, 9}, {kOtherModel, 9}};
  assignment.update(engines, all, {});
  cr_assert_eq(assignment.sizeOf(kModel) + assignment.sizeOf(kOtherModel), 9U);
  cr_assert(assignment.sizeOf(kModel) >= 4 && assignment.sizeOf(kModel) <= 5);
  std::vector<bool> before;
  for (const engine_state& state : fixture.states)
    before.push_back(assignment.enginesFor(kModel).contains(state.record.id));
  engines.erase(fixture.states.back().record.id);
  assignment.update(engines, all, {});
  int moved = 0;
  for (std::size_t i = 0; i + 1 < fixture.states.size(); ++i) {
    moved +=
        assignment.enginesFor(kModel).contains(fixture.states[i].record.id) != before[i] ? 1 : 0;
  }
  cr_assert(moved <= 1, "%d moved", moved);
}

Test(engine_assignment, a_new_leader_adopts_the_loaded_models) {
  Fixture fixture(4);
  for (int i = 0; i < 2; ++i) fixture.states[static_cast<std::size_t>(i)].record.models[kModel] = 7;
  for (int i = 2; i < 4; ++i) {
    fixture.states[static_cast<std::size_t>(i)].record.models[kOtherModel] = 6;
  }
  versions::engine_assignment assignment;
  assignment.update(fixture.list(), {{kModel, 4}, {kOtherModel, 4}},
                    {{kModel, 7}, {kOtherModel, 6}});
  cr_assert(assignment.enginesFor(kModel).contains(EngineId("e0")));
  cr_assert(assignment.enginesFor(kOtherModel).contains(EngineId("e3")));
}

Test(engine_assignment, models_get_the_wanted_engines_in_a_service_of_any_size) {
  for (const int size : {500, 1000, 10000}) {
    Fixture fixture(size);
    versions::engine_assignment assignment;
    assignment.update(fixture.list(), {{kModel, 120}, {kOtherModel, 72}}, {});
    cr_assert_eq(assignment.sizeOf(kModel), 120U);
    cr_assert_eq(assignment.all().size(), 192U, "%zu of %d", assignment.all().size(), size);
  }
}

Test(engine_assignment, engines_of_a_model_are_spread_over_the_zones) {
  Fixture fixture(600);
  for (std::size_t i = 0; i < fixture.states.size(); ++i) {
    fixture.states[i].record.zone = ZoneName("z" + std::to_string(i / 200));
  }
  versions::engine_assignment assignment;
  assignment.update(fixture.list(), {{kModel, 60}}, {});
  std::map<ZoneName, int> zones;
  for (const engine_state& state : fixture.states) {
    if (assignment.enginesFor(kModel).contains(state.record.id)) ++zones[state.record.zone];
  }
  for (const auto& [zone, count] : zones) cr_assert_eq(count, 20, "%s", zone.str().c_str());
}

Test(engine_assignment, lost_engines_are_replaced_and_a_surplus_is_released) {
  Fixture fixture(500);
  versions::engine_assignment assignment;
  engines::engine_list engines = fixture.list();
  assignment.update(engines, {{kModel, 60}}, {});
  const std::set<EngineId> before = assignment.enginesFor(kModel);
  for (const EngineId& id : before) engines.erase(id);
  assignment.update(engines, {{kModel, 60}}, {});
  cr_assert_eq(assignment.sizeOf(kModel), 60U);
  for (const EngineId& id : assignment.enginesFor(kModel)) cr_assert_not(before.contains(id));
  assignment.update(engines, {{kModel, 29}}, {});
  cr_assert_eq(assignment.sizeOf(kModel), 29U);
}
