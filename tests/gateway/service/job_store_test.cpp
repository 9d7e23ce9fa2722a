/// @file
/// Tests of the job store against a stand-in of the metadata store.

#include "gateway/batch/job_store.h"

#include "store_client.h"
#include "support/gateway_fixture.h"

using namespace linenpier;

namespace {

constexpr std::size_t kRowBytes = 1000;
constexpr std::size_t kTooLargeForRows = 700 * 1024;

batch::job_record makeRecord(const std::string& id) {
  batch::job_record record;
  record.id = JobId(id);
  record.owner = LeaseId("d0#1");
  record.total = 3;
  return record;
}

/// @return binary data that covers all byte values.
std::string makeBytes(std::size_t size) {
  std::string bytes;
  for (std::size_t i = 0; i < size; ++i) bytes.push_back(static_cast<char>(i * 7 % 256));
  return bytes;
}

}  // namespace

GATEWAY_TEST(job_store, a_job_is_stored_in_rows_or_as_an_object, test::FixtureOptions{}) {
  http::ConnectionPool pool(fixture.loop(), {});
  platform_adapter::StoreClient client(pool, fixture.store().address(), {});
  batch::job_store store(client, client, kRowBytes);
  batch::job_record record = makeRecord("small");
  const std::string small = makeBytes(4 * kRowBytes + 1);
  const auto rows = store.bodyRows(record.id, small);
  record.body_rows = rows.size();
  cr_assert_eq(record.body_rows, 5U);
  const batch::fenced_write_result put = co_await store.putRecord(record, 0, rows);
  cr_assert(put.outcome == batch::FencedWriteOutcome::kCommitted);
  const auto read = co_await store.getJob(record);
  cr_assert(read.has_value() && *read == small);
  const std::string large = makeBytes(kTooLargeForRows);
  const batch::job_record other = makeRecord("large");
  cr_assert(store.bodyRows(other.id, large).empty());
  const auto stored = co_await store.putJob(other.id, large);
  cr_assert(stored.has_value());
  const auto read_large = co_await store.getJob(other);
  cr_assert(read_large.has_value() && *read_large == large);
}

GATEWAY_TEST(job_store, a_truncated_large_checkpoint_is_ignored, test::FixtureOptions{}) {
  http::ConnectionPool pool(fixture.loop(), {});
  platform_adapter::StoreClient client(pool, fixture.store().address(), {});
  batch::job_store store(client, client, kRowBytes);
  const batch::job_record record = makeRecord("job");
  const batch::fenced_write_result put = co_await store.putRecord(record, 0, {});
  const batch::checkpoint_write first{{"1/2:"}, 0, 0};
  const auto begun = co_await store.putCheckpoint(record.id, put.revision, first);
  cr_assert(begun.outcome == batch::FencedWriteOutcome::kCommitted);
  const auto nothing = co_await store.getCheckpoint(record.id);
  cr_assert(nothing.has_value() && nothing->texts.empty());
  cr_assert_eq(nothing->next_row, 1U);
  const batch::checkpoint_write lost{{"x"}, 1, 0};
  const auto fenced = co_await store.putCheckpoint(record.id, put.revision + 1, lost);
  cr_assert(fenced.outcome == batch::FencedWriteOutcome::kFenceLost);
}
