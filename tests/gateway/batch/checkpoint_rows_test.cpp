#include "gateway/batch/checkpoint_rows.h"

#include <criterion/criterion.h>

using namespace linenpier;
using namespace linenpier::batch;

namespace {

const item_checkpoints kLarge = {{0, 9, {2}, std::string(5000, 'x'), false}};
const item_checkpoints kSmall = {{1, 3, {2}, "a\nb\nc", true}};
constexpr std::size_t kRowBytes = 1024;

std::vector<std::string> rowsOf(const item_checkpoints& part) {
  return toRows(part, kRowBytes);
}

}  // namespace

Test(checkpoint_rows, parts_of_any_size_are_restored_in_order) {
  std::vector<std::string> rows = rowsOf(kLarge);
  cr_assert_gt(rows.size(), 4U);
  for (const std::string& row : rows) cr_assert_leq(row.size(), kRowBytes);
  for (std::string& row : rowsOf(kSmall)) rows.push_back(std::move(row));
  const std::vector<item_checkpoints> parts = partsFromRows(rows);
  cr_assert_eq(parts.size(), 2U);
  cr_assert(parts[0] == kLarge);
  cr_assert(parts[1] == kSmall);
}

Test(checkpoint_rows, a_part_with_a_missing_row_is_skipped) {
  for (std::size_t missing = 0; missing < rowsOf(kLarge).size(); ++missing) {
    std::vector<std::string> rows = rowsOf(kLarge);
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(missing));
    rows.push_back(rowsOf(kSmall).front());
    const std::vector<item_checkpoints> parts = partsFromRows(rows);
    cr_assert_eq(parts.size(), 1U);
    cr_assert(parts[0] == kSmall);
  }
}

Test(checkpoint_rows, malformed_rows_are_skipped) {
  cr_assert(partsFromRows({"nonsense", "", "1/1:", "2:3/4", "0/0:x"}).empty());
}
