#include "gateway/batch/checkpoint.h"

#include <criterion/criterion.h>

using namespace linenpier;
using namespace linenpier::batch;

Test(checkpoint, decoding_reverses_encoding) {
  const item_checkpoints checkpoint = {
      {0, 2, {3, 4}, "one\ntwo", false},
      {3, 1, {4}, "one", true},
      {5, 1, {4}, "one", true, reward_score{"request", "signature"}},
  };
  const auto decoded = decodeCheckpoint(encodeCheckpoint(checkpoint));
  cr_assert(decoded.has_value());
  cr_assert(*decoded == checkpoint);
}

Test(checkpoint, malformed_bytes_are_rejected) {
  cr_assert_not(decodeCheckpoint("nonsense").has_value());
  cr_assert_not(decodeCheckpoint("").has_value());
}

Test(checkpoint, increments_extend_the_text_of_earlier_parts) {
  item_checkpoint increment{0, 4, {3, 4}, "\nthree\nfour", true};
  increment.after_event = 2;
  const auto decoded = decodeCheckpoint(encodeCheckpoint({increment}));
  cr_assert(decoded.has_value());
  const item_checkpoints merged = mergeParts({{{0, 2, {3}, "one\ntwo", false}}, *decoded});
  cr_assert_eq(merged.size(), 1U);
  cr_assert(merged[0] == (item_checkpoint{0, 4, {3, 4}, "one\ntwo\nthree\nfour", true}));
}

Test(checkpoint, an_increment_without_its_predecessor_is_skipped) {
  item_checkpoint increment{0, 4, {3}, "\nfour", false};
  increment.after_event = 3;
  const item_checkpoints before = {{0, 2, {3}, "one\ntwo", false}};
  cr_assert(mergeParts({before, {increment}}) == before, "events between are missing");
  cr_assert(mergeParts({{increment}}).empty());
  const item_checkpoints whole = {{0, 5, {3}, "1\n2\n3\n4\n5", false}};
  cr_assert(mergeParts({before, {increment}, whole}) == whole, "a later part has the full text");
}
