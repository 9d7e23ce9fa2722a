#pragma once

/** @file
 * The suspects known to one daemon, and their admission. Performs no I/O.
 *
 * When an engine crashes, all requests that it was running become suspects, since the one that
 * caused the crash is unknown. A suspect runs isolated: on one engine at a time in the whole fleet.
 * The first complete response clears it; consecutive crashes bar it.
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

/** Suspects known to one daemon. To be used on the event loop thread only; the caller supplies the
 * time.
 */
class suspect_registry {
 public:
  explicit suspect_registry(suspect_rules rules = {}) : rules_(rules) {}

  bool empty() const { return this->entries_.empty(); }
  std::size_t size() const { return this->entries_.size(); }
  /** @return the number of callers' requests that are barred. */
  std::size_t barredCount(Instant now) const;
  const suspect_rules& rules() const { return this->rules_; }

  suspect_admission admissionOf(Instant now, const request_key& key) const;
  /** @return the number of crashes of the request. Senders store it in `sent_attempt::crashes`. */
  int crashesOf(const request_key& key) const;

  /** Records that an engine crashed during an attempt.
   * @param known number of crashes known when the attempt was sent. Attempts with the same number
   * ran concurrently, possibly on several daemons, and count once.
   * @return whether the number of crashes increased.
   */
  bool onEngineCrashed(Instant now, const request_key& key, const EngineId& engine, int known);
  /** Removes a suspect whose request was completed by an engine.
   * @return the revision of the suspect's row in the store; 0 if the suspect has no row.
   */
  Revision onCleared(const request_key& key);
  /** Records that the daemon `self` starts or ends an isolated run of the request. */
  void onIsolatedRun(Instant now, const request_key& key, const std::string& self);
  void onIsolatedRunEnded(const request_key& key, const std::string& self);

  /** Merges a row read from the store.
   * @param clock_ms the store's current time; 0 if unknown.
   */
  void onRow(Instant now, std::int64_t clock_ms, const request_key& key, Revision revision,
             const suspect_record& record);
  void onRowGone(const request_key& key, Revision revision);
  /** Handles a read of the whole table: rows not in `present` were removed before `as_of`. */
  void onTableRead(const std::set<request_key>& present, Revision as_of);
  /** Merges a peer's record, which may be newer than the suspect's row in the store. */
  void onPeerRow(Instant now, std::int64_t clock_ms, const request_key& key, Revision revision,
                 const suspect_record& record);
  /** Records that the store committed the record `written`. */
  void onWritten(const request_key& key, Revision revision, const suspect_record& written);

  /** @return the suspect's record to be stored. */
  suspect_record record(Instant now, std::int64_t clock_ms, const request_key& key) const;
  Revision revisionOf(const request_key& key) const;
  /** @return the lease id of the daemon that runs the request isolated; empty if none. */
  std::string isolatedBy(const request_key& key) const;
  /** @return up to `max_count` requests whose rows must be written, most crashes first. */
  std::vector<request_key> unwritten(std::size_t max_count) const;
  /** Marks the suspect to be stored, so that other daemons learn of the suspect. */
  void setShared(const request_key& key);
  /** @return up to `max_count` rows for a daemon that cannot reach the store, most crashes first.
   * @param prefix prefix of the row keys.
   */
  std::vector<table::Row> rows(Instant now, std::int64_t clock_ms, const std::string& prefix,
                               std::size_t max_count) const;
  /** Removes expired suspects. @return up to `max_count` rows that may be deleted from the store.
   * @param removal_delay time after expiry during which this daemon leaves deletion to others.
   */
  std::vector<std::pair<request_key, Revision>> sweep(Instant now, Duration removal_delay,
                                                      std::size_t max_count);

 private:
  struct entry {
    int crashes = 0;
    std::vector<EngineId> engines;
    Instant last_crash_at{};
    std::string isolated_by;  ///< Lease id of the daemon that runs the request isolated; or empty.
    Instant isolated_until{};
    Revision revision = 0;  ///< Revision of the stored row; 0 if unknown.
    bool shared = false;    ///< Whether the suspect must be stored.
    bool written = false;   ///< Whether the stored row is up to date.
  };

  bool isBarred(const request_key& key, int crashes) const;
  /** @return how long after its last crash a request must not run. */
  Duration retryDelay(const request_key& key, int crashes) const;
  Duration barDuration(const request_key& key, int crashes) const;
  Instant expiresAt(const request_key& key, const entry& suspect) const;
  void addEngines(entry& into, const std::vector<EngineId>& engines) const;
  /** Evicts the suspect with the fewest crashes. */
  void evictOne();
  /** @return up to `max_count` requests that match the predicate, most crashes first. */
  template <typename Predicate>
  std::vector<request_key> withMostCrashes(std::size_t max_count, Predicate matches) const;

  suspect_rules rules_;
  std::map<request_key, entry> entries_;
};

}  // namespace linenpier::suspects
