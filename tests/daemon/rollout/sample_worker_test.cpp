#include "daemon/rollout/sample_worker.h"

#include <criterion/criterion.h>

using namespace linenpier;
using rollout::SampleWorker;

namespace {

const wire::SampleKey kKey{{TenantId("t"), TrainerId("r"), 1}, 0, 0};
constexpr Instant kStart{std::chrono::seconds(10)};

wire::SampleOrder order(const wire::SampleKey& key) {
  return {key, ModelName("m"), 0, 10, "p"};
}

}  // namespace

Test(sample_worker, a_repeated_order_starts_nothing) {
  SampleWorker worker({});
  cr_assert(worker.onOrder(kStart, order(kKey)) == SampleWorker::Acceptance::kStart);
  cr_assert(worker.onOrder(kStart, order(kKey)) == SampleWorker::Acceptance::kAlreadyKnown);
}

Test(sample_worker, a_result_is_repeated_until_acknowledged) {
  SampleWorker worker({});
  worker.onOrder(kStart, order(kKey));
  worker.onFinished(kStart, {kKey, true, "x", {}});
  cr_assert_eq(worker.onTick(kStart).size(), 1U);
  cr_assert_eq(worker.onTick(kStart).size(), 0U);
  cr_assert_eq(worker.onTick(kStart + std::chrono::seconds(1)).size(), 1U);
  worker.onAck(kKey);
  cr_assert_eq(worker.onTick(kStart + std::chrono::seconds(2)).size(), 0U);
}

Test(sample_worker, capacity_is_bounded_and_cancellation_frees_it) {
  rollout::WorkerOptions options;
  options.capacity = 1;
  SampleWorker worker(options);
  worker.onOrder(kStart, order(kKey));
  wire::SampleKey other = kKey;
  other.index = 1;
  cr_assert(worker.onOrder(kStart, order(other)) == SampleWorker::Acceptance::kFull);
  cr_assert_eq(worker.onCancel({{kKey}}).size(), 1U);
  cr_assert(worker.onOrder(kStart, order(other)) == SampleWorker::Acceptance::kStart);
}
