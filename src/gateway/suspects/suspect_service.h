#pragma once

/** @file
 * Suspects as the whole fleet knows them: one row each in the store, which every daemon follows,
 * and the right to run a suspect, which one daemon has at a time.
 *
 * Guarantees:
 * - A daemon that reaches the store knows of a crash within a write and an answer of the feed, also
 *   after all daemons were restarted.
 * - A daemon that does not reach the store exchanges suspects with its peers.
 * - A daemon that reaches nobody keeps to the rules by what it saw itself.
 */

#include <functional>
#include <memory>
#include <optional>

#include "common/success_sampler.h"
#include "common/task.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/lease/lease_table.h"
#include "gateway/suspects/suspect_tracker.h"
#include "gateway/table/async_table.h"

namespace linenpier::suspects {

/** Lines about refusals that are all written each second; of more, one in `kSampleInterval` is. */
inline constexpr std::uint32_t kUnsampledRefusalsPerSecond = 20;
inline constexpr std::uint32_t kSampleInterval = 50;

struct suspect_totals {
  std::uint64_t engine_crashes = 0;  ///< Under attempts of this daemon; those that count.
  std::uint64_t refused = 0;         ///< Times a request was not let run.
  std::uint64_t cleared = 0;         ///< Suspects that an engine answered here.
};

/** Loop thread only. */
class suspect_service : public suspect_tracker {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    table::AsyncTable& table;
    lease::lease_table& leases;
    lease::lease_keeper& keeper;
    /** Has a peer do a write. */
    std::function<Task<std::optional<table::TransactionAnswer>>(table::Write)> write_by_peer;
  };

  explicit suspect_service(dependencies deps) : deps_(std::move(deps)), changed_(deps_.loop) {}

  void start();

  bool hasSuspects() const override { return !this->registry_.empty(); }
  suspect_admission admissionOf(const request_key& key, RequestSource source) const override;
  Task<suspect_admission> beginIsolatedRun(request_key key, RequestSource source,
                                           std::string id) override;
  suspect_admission beginLocalIsolatedRun(const request_key& key, RequestSource source,
                                          const std::string& id) override;
  void onEngineCrashed(const sent_attempt& attempt, const request_key& key, const EngineId& engine,
                       Instant sent_at, RequestSource source, const std::string& id) override;
  void onAnswered(const request_key& key) override;
  void onInconclusive(const request_key& key) override;

  /** Rows as the feed of the store has them. */
  void onRow(const request_key& key, const table::Row& row);
  void onRowGone(const request_key& key, Revision revision);
  void onTableRead(const std::set<request_key>& present, Revision as_of);
  /** What a peer knows, while this daemon does not reach the store. */
  void onPeerRows(const std::vector<table::Row>& rows);
  /** @return whether the suspects of earlier lives were read, from the store or a peer. The daemon
   * is not ready before: its first requests could crash engines that are known to crash.
   */
  bool loaded() const { return this->loaded_; }
  /** @return the worst suspects, for a peer that does not reach the store. */
  std::vector<table::Row> rows() const;

  const suspect_registry& registry() const { return this->registry_; }
  const suspect_totals& totals() const { return this->totals_; }

 private:
  enum class WriteOutcome { kCommitted, kConflict, kNoResponse };

  Task<void> writeLoop();
  Task<void> sweepLoop();
  table::Write writeOf(const request_key& key, const suspect_record& record) const;
  /** Writes one row as the book has it; by a peer if the store does not answer this daemon. */
  Task<WriteOutcome> writeRow(request_key key);
  /** The same, waiting for at most `kClaimTimeout`; the write goes on. */
  Task<WriteOutcome> claim(request_key key);
  Task<void> removeRow(request_key key, Revision revision);
  /** Takes over what the store has, after it rejected a write. */
  void onConflict(const request_key& key, const std::vector<table::Row>& rows);
  std::int64_t clock() const { return this->deps_.keeper.storeClock(steadyNow()); }
  std::string self() const { return this->deps_.leases.own().str(); }
  void onRefused(const suspect_admission& admission, const request_key& key, const std::string& id);

  dependencies deps_;
  suspect_registry registry_;
  suspect_totals totals_;
  Signal changed_;  ///< There may be a row to write.
  bool loaded_ = false;
  logging::SuccessSampler refusal_sampler_{kUnsampledRefusalsPerSecond, kSampleInterval};
};

}  // namespace linenpier::suspects
