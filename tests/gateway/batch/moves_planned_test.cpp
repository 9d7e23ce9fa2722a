#include "gateway/batch/moves_planned.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::moves_planned;

Test(moves_planned, an_engine_gets_no_more_moves_than_it_has_room) {
  moves_planned moves(6);
  const EngineId engine("e");
  moves.onMove(engine, 2);
  cr_assert(moves.full().empty(), "room for one more");
  moves.onMove(engine, 2);
  cr_assert(moves.full().contains(engine));
  cr_assert_not(moves.exhausted());
}

Test(moves_planned, the_number_of_moves_is_bounded) {
  moves_planned moves(1);
  moves.onMove(EngineId("e"), 10);
  cr_assert(moves.exhausted());
}
