#include "gateway/usage/usage_counter.h"

#include <criterion/criterion.h>

using namespace linenpier;
using usage::clock_sample;
using usage::usage_counter;
using usage::usage_windows;

namespace {
constexpr Instant kStart{std::chrono::seconds(100)};
const TenantId kAda("ada");
const TenantId kBob("bob");
}  // namespace

Test(cluster_time, the_median_tolerates_a_minority_of_wrong_clocks) {
  const std::vector<clock_sample> samples = {
      {5000, 100}, {5003, 100}, {4998, 100}, {7000, 100}, {3000, 100}};
  cr_assert_eq(*usage::medianOffset(samples, 0), 5000);
  cr_assert_not(usage::medianOffset({}, 0).has_value());
}

Test(cluster_time, old_samples_are_ignored) {
  cr_assert_eq(*usage::medianOffset({{900, 10}, {900, 10}, {5000, 100}}, 50), 5000);
  cr_assert_not(usage::medianOffset({{900, 10}}, 50).has_value());
}

Test(cluster_time, samples_round_trip) {
  const clock_sample sample{1796231995545, 4123};
  cr_assert(usage::decodeSample(usage::encodeSample(sample)) == sample);
  cr_assert_not(usage::decodeSample("soon").has_value());
}

Test(cluster_time, a_window_ends_where_the_next_begins) {
  const usage_windows all(std::chrono::seconds(5), 1796231995545);
  const auto window = all.at(4123);
  const std::int64_t end = all.endOf(window);
  cr_assert_eq(all.at(end - 1), window);
  cr_assert_eq(all.at(end), window + 1);
  cr_assert_eq((end + 1796231995545) % 5000, 0);
}

Test(usage_counter, requests_wait_until_their_window_is_known) {
  usage_counter counter;
  counter.onRequestStarted(kStart, kAda);
  counter.assign([](Instant) { return std::nullopt; });
  cr_assert(counter.unsaved().empty());
  cr_assert_not(counter.idle());
  counter.assign([](Instant) { return 7; });
  cr_assert_eq(counter.unsaved(), std::vector<usage::window_number>{7});
  cr_assert_eq(counter.of(7).counts.at(kAda), 1U);
}

Test(usage_counter, a_window_is_unsaved_until_all_its_counts_are_stored) {
  usage_counter counter;
  counter.onRequestStarted(kStart, kAda);
  counter.assign([](Instant) { return 7; });
  const std::uint64_t sent = counter.of(7).total;
  counter.onRequestStarted(kStart, kBob);
  counter.assign([](Instant) { return 7; });
  counter.of(7).stored = sent;
  cr_assert_not(counter.idle(), "a request was counted during the write");
  counter.discardBefore(9);
  cr_assert_eq(counter.unsaved().size(), 1U);
  counter.of(7).stored = counter.of(7).total;
  counter.discardBefore(9);
  cr_assert(counter.idle());
  cr_assert(counter.of(7).counts.empty());
}

Test(usage_counter, counts_round_trip_and_reject_malformed_text) {
  const usage::tenant_counts counts = {{kAda, 3}, {kBob, 1}};
  cr_assert(usage::decodeCounts(usage::encodeCounts(counts)) == counts);
  cr_assert_not(usage::decodeCounts("[]").has_value());
  cr_assert_not(usage::decodeCounts("{\"ada\":-1}").has_value());
}

Test(usage_counter, too_many_waiting_requests_are_rejected) {
  usage_counter counter;
  bool counted = true;
  for (int i = 0; i < 30000 && counted; ++i) counted = counter.onRequestStarted(kStart, kAda);
  cr_assert_not(counted);
}
