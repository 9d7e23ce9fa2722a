#pragma once

/** @file
 * The suspects that one daemon knows of, and what each of them is allowed. Pure.
 *
 * An engine that crashes takes everything with it that it ran: the request that made it crash and
 * up to all its slots of innocent ones. All of them become suspects. A suspect runs alone, on one
 * engine at a time in the whole fleet; the first complete answer of an engine clears it, and
 * crashes in a row bar it. An innocent request pays one write to the store, once.
 */

#include <map>
#include <set>
#include <vector>

#include "common/table_row.h"
#include "common/time.h"
#include "gateway/suspects/request_key.h"
#include "gateway/suspects/suspect_admission.h"
#include "gateway/suspects/suspect_record.h"

namespace linenpier::suspects {

/** Loop thread only; times are passed in. */
class suspect_registry {
 public:
  explicit suspect_registry(suspect_rules rules = {}) : rules_(rules) {}

  bool empty() const { return this->entries_.empty(); }
  std::size_t size() const { return this->entries_.size(); }
  /** @return how many callers' requests are barred now. */
  std::size_t barredCount(Instant now) const;
  const suspect_rules& rules() const { return this->rules_; }

  suspect_admission admissionOf(Instant now, const request_key& key, RequestSource source) const;
  /** @return the crashes known of the request. A sender notes them with its attempt. */
  int crashesOf(const request_key& key) const;

  /** An engine crashed under an attempt.
   * @param known crashes known when the attempt was sent. Attempts that knew of the same crashes
   * ran side by side, on whichever daemons, and count once.
   * @return whether the count of crashes grew.
   */
  bool onEngineCrashed(Instant now, const request_key& key, const EngineId& engine, int known);
  /** An engine answered it completely. @return the revision of its row, 0 if it has none. */
  Revision onCleared(const request_key& key);
  /** The daemon `self` begins to run it alone, or has ended doing so. */
  void onIsolatedRun(Instant now, const request_key& key, const std::string& self);
  void onIsolatedRunEnded(const request_key& key, const std::string& self);

  /** A row as the store has it.
   * @param clock_ms the store's clock now; 0: not known.
   */
  void onRow(Instant now, std::int64_t clock_ms, const request_key& key, Revision revision,
             const suspect_record& record);
  void onRowGone(const request_key& key, Revision revision);
  /** The whole table was read: what is not `present` was removed before `as_of`. */
  void onTableRead(const std::set<request_key>& present, Revision as_of);
  /** What another daemon knows, which may be more than the row has. */
  void onPeerRow(Instant now, std::int64_t clock_ms, const request_key& key, Revision revision,
                 const suspect_record& record);
  /** A write of the record was committed. @param written what was written. */
  void onWritten(const request_key& key, Revision revision, const suspect_record& written);

  /** @return the record as it should stand in the store. */
  suspect_record record(Instant now, std::int64_t clock_ms, const request_key& key) const;
  Revision revisionOf(const request_key& key) const;
  /** @return the daemon's life that runs it alone; empty: none. */
  std::string isolatedBy(const request_key& key) const;
  /** @return requests whose rows must be written, those with max_count crashes first. */
  std::vector<request_key> unwritten(std::size_t max_count) const;
  /** From now on the store must have its row, for the other daemons. */
  void setShared(const request_key& key);
  /** @return rows for a daemon that does not reach the store, those with max_count crashes first.
   * @param prefix of their keys.
   */
  std::vector<table::Row> rows(Instant now, std::int64_t clock_ms, const std::string& prefix,
                               std::size_t max_count) const;
  /** Forgets what is too old. @return rows that may be removed now, at max_count `max_count`.
   * @param removal_delay how much longer this daemon leaves that to others.
   */
  std::vector<std::pair<request_key, Revision>> sweep(Instant now, Duration removal_delay,
                                                      std::size_t max_count);

 private:
  struct entry {
    int crashes = 0;
    std::vector<EngineId> engines;
    Instant last_at{};
    std::string isolated_by;  ///< Daemon's life that runs it alone; empty: none.
    Instant isolated_until{};
    Revision revision = 0;  ///< Of its row; 0: none is known.
    bool shared = false;    ///< The store must have its row.
    bool written = false;   ///< The row has all of the above.
  };

  bool isBarred(int crashes, RequestSource source) const;
  /** @return how long after its last crash a request may not run. */
  Duration retryDelay(int crashes, RequestSource source) const;
  Duration barDuration(int crashes) const;
  Instant expiresAt(const entry& each) const;
  void addEngines(entry& into, const std::vector<EngineId>& engines) const;
  /** Makes room for one more. */
  void evictOne();
  /** @return the requests that fit, those with max_count crashes first. */
  template <typename Predicate>
  std::vector<request_key> withMostCrashes(std::size_t max_count, Predicate matches) const;

  suspect_rules rules_;
  std::map<request_key, entry> entries_;
};

}  // namespace linenpier::suspects
