#include "gateway/batch/partial_results.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::batch_item;
using batch::batch_job;

namespace {

batch_job jobOf(const std::vector<std::string>& items) {
  batch_job job;
  for (const std::string& id : items) {
    batch_item item;
    item.id = ItemId(id);
    job.items.push_back(item);
  }
  return job;
}

}  // namespace

Test(partial_results, the_longest_text_of_several_jobs_is_kept) {
  batch::partial_results results;
  cr_assert(results.empty());
  results.addJob(jobOf({"a", "b"}), {{1, 7, {2}, "seven"}});
  results.addJob(jobOf({"b", "c"}), {{0, 3, {3}, "three"}});
  cr_assert(results.contains(ItemId("a")));
  cr_assert(results.contains(ItemId("c")));
  cr_assert_not(results.contains(ItemId("d")));
  cr_assert_eq(results.textOf(ItemId("a")), nullptr);
  cr_assert_eq(results.textOf(ItemId("b"))->last_event, 7U);
}

Test(partial_results, text_of_an_item_that_the_job_lacks_is_skipped) {
  batch::partial_results results;
  results.addJob(jobOf({"a"}), {{5, 7, {2}, "seven"}});
  cr_assert_eq(results.textOf(ItemId("a")), nullptr);
}
