#include "gateway/batch/checkpoint.h"

#include <criterion/criterion.h>

using namespace linenpier;
using namespace linenpier::batch;

Test(checkpoint, what_is_encoded_is_decoded) {
  const checkpoint_texts checkpoint = {
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

Test(checkpoint, additions_are_put_behind_what_earlier_parts_have) {
  item_checkpoint addition{0, 4, {3, 4}, "\nthree\nfour", true};
  addition.after_event = 2;
  const auto decoded = decodeCheckpoint(encodeCheckpoint({addition}));
  cr_assert(decoded.has_value());
  const checkpoint_texts merged = mergeParts({{{0, 2, {3}, "one\ntwo", false}}, *decoded});
  cr_assert_eq(merged.size(), 1U);
  cr_assert(merged[0] == (item_checkpoint{0, 4, {3, 4}, "one\ntwo\nthree\nfour", true}));
}

Test(checkpoint, an_addition_to_a_text_that_is_missing_is_left_out) {
  item_checkpoint addition{0, 4, {3}, "\nfour", false};
  addition.after_event = 3;
  const checkpoint_texts before = {{0, 2, {3}, "one\ntwo", false}};
  cr_assert(mergeParts({before, {addition}}) == before, "events between are missing");
  cr_assert(mergeParts({{addition}}).empty());
  const checkpoint_texts whole = {{0, 5, {3}, "1\n2\n3\n4\n5", false}};
  cr_assert(mergeParts({before, {addition}, whole}) == whole, "a later part has all");
}
