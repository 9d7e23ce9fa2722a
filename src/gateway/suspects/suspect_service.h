#pragma once

/** @file
 * Shares suspects across the fleet: one row per suspect in the store, which all daemons watch. One
 * daemon at a time holds the right to run a suspect.
 *
 * Guarantees:
 * - A daemon that reaches the store learns of a crash after one write and one update of the watch.
 * Suspects in the store survive a restart of all daemons.
 * - A daemon that cannot reach the store exchanges suspects with its peers.
 * - A daemon that reaches neither the store nor a peer applies the rules to its own observations.
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

/** Number of refusals per second that are all logged. Of further refusals, one in
 * `kSampleInterval` is logged.
 */
inline constexpr std::uint32_t kUnsampledRefusalsPerSecond = 20;
inline constexpr std::uint32_t kSampleInterval = 50;

struct suspect_totals {
  std::uint64_t engine_crashes = 0;  ///< Counted crashes during this daemon's attempts.
  std::uint64_t refused = 0;
  std::uint64_t cleared = 0;  ///< Suspects cleared by a response to this daemon.
};

/** Service that shares suspects; to be used on the event loop thread only. */
class suspect_service : public suspect_tracker {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    table::AsyncTable& table;
    lease::lease_table& leases;
    lease::lease_keeper& keeper;
    /** Performs a write by way of a peer. */
    std::function<Task<std::optional<table::TransactionAnswer>>(table::Write)> write_by_peer;
  };

  explicit suspect_service(dependencies deps) : deps_(std::move(deps)), changed_(deps_.loop) {}

  void start();

  bool hasSuspects() const override { return !this->registry_.empty(); }
  suspect_admission admissionOf(const request_key& key) const override;
  Task<suspect_admission> beginIsolatedRun(request_key key, std::string id) override;
  void onEngineCrashed(const sent_attempt& attempt, const request_key& key, const EngineId& engine,
                       Instant sent_at, const std::string& id) override;
  void onAnswered(const request_key& key) override;
  void onInconclusive(const request_key& key) override;

  /** Handles a changed row read from the store. */
  void onRow(const request_key& key, const table::Row& row);
  void onRowGone(const request_key& key, Revision revision);
  void onTableRead(const std::set<request_key>& present, Revision as_of);
  /** Handles rows received from a peer while the store is unreachable. */
  void onPeerRows(const std::vector<table::Row>& rows);
  /** @return whether existing suspects were read from the store or a peer. Until then, the daemon
   * is not ready, since it could send known suspects without isolation.
   */
  bool loaded() const { return this->loaded_; }
  /** @return the suspects with the most crashes, for a peer that cannot reach the store. */
  std::vector<table::Row> rows() const;

  const suspect_registry& registry() const { return this->registry_; }
  const suspect_totals& totals() const { return this->totals_; }

 private:
  /** Begins an isolated run according to the suspects that this daemon knows. */
  suspect_admission beginLocally(const request_key& key, const std::string& id);

  enum class WriteOutcome { kCommitted, kConflict, kNoResponse };

  Task<void> writeLoop();
  Task<void> sweepLoop();
  table::Write writeOf(const request_key& key, const suspect_record& record) const;
  /** Writes a suspect's row to the store, by way of a peer if the store does not respond. */
  Task<WriteOutcome> writeRow(request_key key);
  /** Starts `writeRow` and waits for at most `kClaimTimeout`; the write continues afterwards. */
  Task<WriteOutcome> claim(request_key key);
  Task<void> removeRow(request_key key, Revision revision);
  /** Merges the row in the store after a write conflict. */
  void onConflict(const request_key& key, const std::vector<table::Row>& rows);
  std::int64_t clock() const { return this->deps_.keeper.storeClock(steadyNow()); }
  std::string self() const { return this->deps_.leases.own().str(); }
  void onRefused(const suspect_admission& admission, const request_key& key, const std::string& id);

  dependencies deps_;
  suspect_registry registry_;
  suspect_totals totals_;
  Signal changed_;  ///< Notified when a row may need to be written.
  bool loaded_ = false;
  logging::SuccessSampler refusal_sampler_{kUnsampledRefusalsPerSecond, kSampleInterval};
};

}  // namespace linenpier::suspects
