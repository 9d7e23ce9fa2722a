#include "gateway/batch/planned_moves.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::planned_moves;

Test(planned_moves, an_engine_gets_no_more_moves_than_it_has_free_slots) {
  planned_moves moves(6);
  const EngineId engine("e");
  moves.add(engine, 2);
  cr_assert(moves.fullEngines().empty(), "room for one more");
  moves.add(engine, 2);
  cr_assert(moves.fullEngines().contains(engine));
  cr_assert_not(moves.exhausted());
}

Test(planned_moves, the_number_of_moves_is_bounded) {
  planned_moves moves(1);
  moves.add(EngineId("e"), 10);
  cr_assert(moves.exhausted());
}
