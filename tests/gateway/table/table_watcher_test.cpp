#include "gateway/table/table_watcher.h"

#include <deque>

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using table::RowPage;

namespace {

/// A table with scripted read results and an empty change feed.
class scripted_table : public table::AsyncTable {
 public:
  explicit scripted_table(boost::asio::io_context& loop) : loop_(loop) {}

  std::deque<CallResult<RowPage>> answers;
  std::vector<std::string> reads_from;
  std::vector<Duration> waits;
  std::size_t failing_watch = 0;  ///< Index of the watch call that fails, from 1; 0: none.

  Task<CallResult<table::TransactionAnswer>> write(table::Write) override {
    co_return tl::make_unexpected(CallError{CallFailure::kUnavailable, "no writes"});
  }
  Task<CallResult<RowPage>> read(table::RowRange range) override {
    this->reads_from.push_back(range.from);
    CallResult<RowPage> answer = this->answers.front();
    this->answers.pop_front();
    co_return answer;
  }
  Task<CallResult<table::ChangeBatch>> watch(std::string, Revision after, Duration wait) override {
    this->waits.push_back(wait);
    if (this->waits.size() == this->failing_watch) {
      co_return tl::make_unexpected(CallError{CallFailure::kUnavailable, "scripted"});
    }
    co_await sleepFor(this->loop_, wait);
    table::ChangeBatch batch;
    batch.revision = after;
    co_return batch;
  }

  void cancelOlderThan(Duration) override {}

 private:
  boost::asio::io_context& loop_;
};

RowPage pageWith(const std::string& key, bool has_more) {
  RowPage page;
  page.rows.push_back({"t/" + key, 1, "v"});
  page.revision = 1;
  page.has_more = has_more;
  return page;
}

CallResult<RowPage> failure(CallFailure kind) {
  return tl::make_unexpected(CallError{kind, "scripted"});
}

/// A watcher of a scripted table that records its notifications.
struct Fixture {
  boost::asio::io_context loop{1};
  scripted_table rows{loop};
  std::vector<std::size_t> snapshots;
  std::vector<bool> health;
  table::TableWatcher watcher;

  explicit Fixture(Duration retry_pause = std::chrono::milliseconds(5))
      : watcher(loop, rows, "t", options(retry_pause), listener()) {}

  static table::WatcherOptions options(Duration retry_pause) {
    table::WatcherOptions options;
    options.retry_pause = retry_pause;
    return options;
  }
  table::TableWatcher::Listener listener() {
    table::TableWatcher::Listener listener;
    listener.on_snapshot = [this](const std::vector<table::Row>& rows_read) {
      snapshots.push_back(rows_read.size());
    };
    listener.on_change = [](const table::RowChange&) {};
    listener.on_health = [this](bool healthy) { health.push_back(healthy); };
    return listener;
  }
  void run() {
    watcher.start();
    loop.run_for(std::chrono::milliseconds(150));
  }
};

}  // namespace

Test(table_watcher, a_rate_limited_page_is_retried_without_restarting_the_read) {
  Fixture fixture;
  fixture.rows.answers = {pageWith("a", true), failure(CallFailure::kRateLimited),
                          failure(CallFailure::kRateLimited), pageWith("b", false)};
  fixture.run();
  const std::vector<std::string> expected = {"", "a\x01", "a\x01", "a\x01"};
  cr_assert(fixture.rows.reads_from == expected);
  cr_assert_eq(fixture.snapshots.size(), 1U);
  cr_assert_eq(fixture.snapshots[0], 2U);
  cr_assert(fixture.health == std::vector<bool>{true},
            "rate limiting does not make the watcher unhealthy");
}

Test(table_watcher, an_unavailable_store_restarts_the_read) {
  Fixture fixture;
  fixture.rows.answers = {pageWith("a", true), failure(CallFailure::kUnavailable),
                          pageWith("a", true), pageWith("b", false)};
  fixture.run();
  const std::vector<std::string> expected = {"", "a\x01", "", "a\x01"};
  cr_assert(fixture.rows.reads_from == expected);
  cr_assert_eq(fixture.snapshots.size(), 1U);
}

Test(table_watcher, a_failed_watch_is_followed_by_a_short_one) {
  Fixture fixture;
  fixture.rows.answers = {pageWith("a", false)};
  fixture.rows.failing_watch = 1;
  fixture.run();
  const std::vector<bool> expected = {true, false, true};
  cr_assert(fixture.health == expected);
  cr_assert(fixture.rows.waits.at(0) == std::chrono::seconds(2));
  cr_assert(fixture.rows.waits.at(1) < std::chrono::milliseconds(100));
  cr_assert(fixture.rows.waits.at(2) == std::chrono::seconds(2));
}

Test(table_watcher, retry_now_skips_the_backoff) {
  Fixture fixture(std::chrono::seconds(10));
  fixture.rows.answers = {failure(CallFailure::kUnavailable), pageWith("a", false)};
  fixture.run();
  cr_assert_eq(fixture.rows.reads_from.size(), 1U, "the backoff is long");
  fixture.watcher.retryNow();
  fixture.loop.restart();
  fixture.loop.run_for(std::chrono::milliseconds(50));
  cr_assert_eq(fixture.rows.reads_from.size(), 2U);
  cr_assert(fixture.watcher.healthy());
}
