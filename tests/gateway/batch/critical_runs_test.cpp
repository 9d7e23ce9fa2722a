#include "gateway/batch/critical_runs.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::batch_run;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};

batch_run running(const std::vector<std::uint64_t>& hints) {
  batch::batch_job job;
  for (const std::uint64_t hint : hints) {
    batch::batch_item item;
    item.length_hint = hint;
    job.items.push_back(item);
  }
  batch_run run(job, {});
  for (std::size_t item = 0; item < hints.size(); ++item) {
    run.onStarted(kStart, item, EngineId("e" + std::to_string(item)));
  }
  return run;
}

batch::length_estimator oneEventPerTenTokens() {
  batch::length_estimator lengths;
  lengths.onFinished(100, 10);
  return lengths;
}

}  // namespace

Test(critical_runs, the_longest_runs_are_critical) {
  const auto critical =
      batch::criticalRuns(running({900, 1000, 800, 950, 990}), oneEventPerTenTokens());
  cr_assert(critical == std::vector<batch::ItemIndex>({1, 4, 3}));
}

Test(critical_runs, a_run_much_shorter_than_the_longest_is_not_critical) {
  const auto critical = batch::criticalRuns(running({400, 1000, 10}), oneEventPerTenTokens());
  cr_assert(critical == std::vector<batch::ItemIndex>({1}));
}

Test(critical_runs, no_run_is_critical_without_length_estimates) {
  cr_assert(batch::criticalRuns(running({0, 0}), {}).empty());
}
