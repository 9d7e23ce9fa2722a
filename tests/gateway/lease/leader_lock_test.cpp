#include "gateway/lease/leader_lock.h"

#include <deque>

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using lease::encodeLockRow;
using lease::leader_lock;
using lease::makeLeaseId;

namespace {

constexpr char kKey[] = "linenpier/lock";
constexpr Duration kPause = std::chrono::milliseconds(300);
const LeaseId kOwn = makeLeaseId("d1", "b");
const LeaseId kOther = makeLeaseId("d2", "a");

/// The response to one write.
struct scripted_answer {
  std::optional<CallFailure> failure = {};  ///< Absent: the write is committed.
  Duration delay{};
};

/// A table without rows that gives scripted responses to writes, and commits those after them.
class scripted_table : public table::AsyncTable {
 public:
  explicit scripted_table(boost::asio::io_context& loop) : loop_(loop) {}

  std::deque<scripted_answer> answers;
  std::size_t writes = 0;
  Revision revision = 5;  ///< Revision of the last write, committed or not.

  Task<CallResult<table::TransactionAnswer>> write(table::Write) override {
    table::TransactionAnswer answer;
    answer.committed = true;
    answer.revision = ++this->revision;
    ++this->writes;
    scripted_answer scripted;
    if (!this->answers.empty()) {
      scripted = this->answers.front();
      this->answers.pop_front();
    }
    co_await sleepFor(this->loop_, scripted.delay);
    if (scripted.failure) co_return tl::make_unexpected(CallError{*scripted.failure, "scripted"});
    co_return answer;
  }
  Task<CallResult<table::RowPage>> read(table::RowRange) override { co_return table::RowPage{}; }
  Task<CallResult<table::ChangeBatch>> watch(std::string, Revision, Duration) override {
    co_return table::ChangeBatch{};
  }
  void cancelOlderThan(Duration) override {}

 private:
  boost::asio::io_context& loop_;
};

/// A lock that another daemon has released at revision 5, with the notifications of its changes.
struct Fixture {
  boost::asio::io_context loop{1};
  scripted_table rows{loop};
  lease::lease_table leases{kOwn, {}, steadyNow()};
  lease::owner_pool pool{leases, {}};
  lease::lease_keeper keeper{loop, rows, leases, pool};
  std::vector<bool> changes;
  leader_lock lock;

  explicit Fixture(bool tokens_checked = false)
      : lock({loop, rows, leases, keeper, pool}, "test", kKey, {kPause, tokens_checked},
             [this](bool held) { changes.push_back(held); }) {
    this->leases.onStoreRegained(steadyNow());
    this->onRow(5, LeaseId());
  }
  void onRow(Revision revision, const LeaseId& owner) {
    this->lock.onRow({kKey, revision, encodeLockRow({owner, 0})});
  }
  void run(Duration time) {
    this->loop.restart();
    this->loop.run_for(time);
  }
  /// Lets the lock be acquired. The write takes the next scripted response.
  void acquire(Duration time = std::chrono::milliseconds(20)) {
    this->lock.onTick(steadyNow(), true);
    this->lock.onTick(steadyNow() + std::chrono::seconds(1), true);
    this->run(time);
  }
  void confirm() {
    this->lock.onTick(steadyNow(), true);
    this->run(std::chrono::milliseconds(20));
  }
  void release() { this->lock.handOver(); }
  /// Asserts that the leader was notified once and that it waits for the handover pause.
  void assertWaitsForPause() {
    cr_assert(this->lock.held());
    this->confirm();
    cr_assert_not(this->lock.mayAct(steadyNow()), "the handover pause is skipped");
    cr_assert(this->changes == std::vector<bool>{true}, "%zu notifications", this->changes.size());
    cr_assert(this->lock.mayAct(steadyNow() + kPause), "a confirmed leader never acts");
  }
};

}  // namespace

Test(leader_lock, a_new_leader_waits_for_the_handover_pause) {
  Fixture fixture;
  fixture.acquire();
  fixture.assertWaitsForPause();
}

// Guards against a leader that acts at once because the response to its acquisition was lost.
Test(leader_lock, a_lock_acquired_without_a_response_has_the_handover_pause) {
  Fixture fixture;
  fixture.rows.answers = {{CallFailure::kAnswerLost}};
  fixture.acquire();
  cr_assert_not(fixture.lock.held());
  fixture.onRow(6, kOwn);
  fixture.assertWaitsForPause();
}

// Guards against the same if the acquisition was repeated and its repetition was refused.
Test(leader_lock, a_lock_acquired_before_a_refused_attempt_has_the_handover_pause) {
  Fixture fixture;
  fixture.rows.answers = {{CallFailure::kAnswerLost}, {CallFailure::kUnavailable}};
  fixture.acquire();
  fixture.acquire();
  fixture.onRow(6, kOwn);
  fixture.assertWaitsForPause();
}

// Guards against a leader that acts before the response to its acquisition arrives.
Test(leader_lock, a_lock_whose_row_precedes_the_response_has_the_handover_pause) {
  Fixture fixture;
  fixture.rows.answers = {{std::nullopt, std::chrono::milliseconds(60)}};
  fixture.acquire();
  fixture.onRow(6, kOwn);
  fixture.confirm();
  cr_assert_not(fixture.lock.mayAct(steadyNow()), "the handover pause is skipped");
  fixture.run(std::chrono::milliseconds(60));
  fixture.assertWaitsForPause();
}

// Guards against a leader that acts after its restart while calls of its previous life are pending.
Test(leader_lock, with_checked_tokens_a_lock_acquired_without_a_response_waits_after_the_start) {
  Fixture fixture(true);
  fixture.rows.answers = {{CallFailure::kAnswerLost}};
  fixture.acquire();
  fixture.onRow(6, kOwn);
  fixture.assertWaitsForPause();
}

// Guards against users of a lock that count it as acquired after it was lost.
Test(leader_lock, a_lock_lost_before_the_response_is_not_reported_as_acquired) {
  Fixture fixture;
  fixture.rows.answers = {{std::nullopt, std::chrono::milliseconds(60)}};
  fixture.acquire();
  fixture.onRow(7, kOther);
  fixture.run(std::chrono::milliseconds(60));
  cr_assert_not(fixture.lock.held());
  cr_assert(fixture.changes.empty());
}

// Guards against a lock that stays with a daemon that has ended, because the store did not respond
// to its only attempt to release it.
Test(leader_lock, a_release_without_a_response_is_repeated) {
  Fixture fixture;
  fixture.acquire();
  cr_assert(fixture.lock.held());
  const std::size_t before = fixture.rows.writes;
  fixture.rows.answers = {{CallFailure::kAnswerLost}, {CallFailure::kUnavailable}};
  fixture.release();
  fixture.run(std::chrono::milliseconds(500));
  cr_assert_eq(fixture.rows.writes - before, 3U, "%zu writes", fixture.rows.writes - before);
  cr_assert_not(fixture.lock.held());
}

// Guards against a lock that a daemon acquires by a write that was in progress when it was told to
// release the lock, and then keeps.
Test(leader_lock, a_lock_acquired_after_the_release_began_is_released) {
  Fixture fixture;
  fixture.rows.answers = {{std::nullopt, std::chrono::milliseconds(60)}};
  fixture.acquire();
  fixture.release();
  fixture.run(std::chrono::milliseconds(500));
  cr_assert_not(fixture.lock.held());
  cr_assert_eq(fixture.rows.writes, 2U, "%zu writes", fixture.rows.writes);
}
