#pragma once

/** @file
 * Suspects as the whole fleet knows them: rows in the store, one a request, that every daemon
 * follows, and the right to try a suspect, which one daemon has at a time.
 *
 * What may be relied on:
 * - whoever reaches the store knows of an ended engine within a write and a feed's answer, also
 *   after all daemons have started anew;
 * - a daemon that does not reach it tells its peers, and asks them;
 * - while nobody reaches anybody, each daemon still keeps to the rules by what it saw itself.
 */

#include <functional>
#include <memory>
#include <optional>

#include "common/success_sampler.h"
#include "common/task.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/lease/lease_table.h"
#include "gateway/suspects/suspect_gate.h"
#include "gateway/table/async_table.h"

namespace linenpier::suspects {

/** Lines about refused suspects that a daemon writes in full each second, and one in how many then.
 */
inline constexpr std::uint32_t kRefusalLinesPerSecond = 20;
inline constexpr std::uint32_t kSampleOneIn = 50;

struct suspect_totals {
  std::uint64_t engines_ended = 0;  ///< Under attempts of this daemon.
  std::uint64_t refused = 0;        ///< Times a request was not let run.
  std::uint64_t cleared = 0;        ///< Suspects that an engine answered here.
};

/** Loop thread only. */
class suspect_service : public suspect_gate {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    table::AsyncTable& table;
    lease::lease_table& leases;
    lease::lease_keeper& keeper;
    /** Lets other daemons do a write. */
    std::function<Task<std::optional<table::TransactionAnswer>>(table::Write)> write_by_peer;
  };

  explicit suspect_service(dependencies deps) : deps_(std::move(deps)), changed_(deps_.loop) {}

  void start();

  bool any() const override { return !this->book_.empty(); }
  verdict ask(const request_key& key, Asker who) const override;
  Task<verdict> beginTrial(request_key key, Asker who, std::string id) override;
  verdict beginOwnTrial(const request_key& key, Asker who, const std::string& id) override;
  void onEngineEnded(const sent_attempt& attempt, const request_key& key, const EngineId& engine,
                     Instant sent_at, Asker who, const std::string& id) override;
  void onAnswered(const request_key& key) override;
  void onUnproved(const request_key& key) override;

  /** Rows as the feed tells them. */
  void onRow(const request_key& key, const table::Row& row);
  void onRowGone(const request_key& key, Revision revision);
  void onTableRead(const std::set<request_key>& present, Revision as_of);
  /** What another daemon tells while this one does not reach the store. */
  void onTold(const std::vector<table::Row>& rows);
  /** @return whether what earlier lives knew was read, from the store or a peer. */
  bool known() const { return this->known_; }
  std::vector<table::Row> rows() const;

  const suspect_book& book() const { return this->book_; }
  const suspect_totals& totals() const { return this->totals_; }

 private:
  enum class WriteOutcome { kDone, kOvertaken, kNoAnswer };

  Task<void> writeLoop();
  Task<void> sweepLoop();
  table::Write writeOf(const request_key& key, const suspect_record& record) const;
  /** Writes one row as the book has it, by a peer where the store does not answer this daemon. */
  Task<WriteOutcome> writeRow(request_key key);
  /** The same, waiting for a moment only. */
  Task<WriteOutcome> claim(request_key key);
  Task<void> removeRow(request_key key, Revision revision);
  /** Takes over what the store said in place of a write. */
  void onConflict(const request_key& key, const std::vector<table::Row>& rows);
  std::int64_t clock() const { return this->deps_.keeper.storeClock(steadyNow()); }
  std::string self() const { return this->deps_.leases.own().str(); }
  void onRefused(const verdict& told, const request_key& key, const std::string& id);

  dependencies deps_;
  suspect_book book_;
  suspect_totals totals_;
  Signal changed_;  ///< Something is to be written.
  bool known_ = false;
  logging::SuccessSampler refusal_lines_{kRefusalLinesPerSecond, kSampleOneIn};
};

}  // namespace linenpier::suspects
