#include "batch/checkpoint.h"

#include <criterion/criterion.h>

using namespace linenpier;
using namespace linenpier::batch;

Test(checkpoint, what_is_encoded_is_decoded) {
  const Checkpoint checkpoint = {
      {0, 2, {3, 4}, "one\ntwo", false},
      {3, 1, {4}, "one", true},
      {5, 1, {4}, "one", true, reward_score{"request", "signature"}},
  };
  const auto decoded = decodeCheckpoint(encodeCheckpoint(checkpoint));
  cr_assert(decoded.has_value());
  cr_assert(*decoded == checkpoint);
}

Test(checkpoint, bytes_that_are_none_are_refused) {
  cr_assert_not(decodeCheckpoint("nonsense").has_value());
  cr_assert_not(decodeCheckpoint("").has_value());
}
