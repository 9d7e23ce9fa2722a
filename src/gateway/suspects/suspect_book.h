#pragma once

/** @file
 * The requests under which engines ended, and what each of them is allowed. Pure.
 *
 * An engine that ends takes everything with it that it ran: one guilty request and up to all its
 * slots of innocent ones. What tells them apart is what follows. All become suspects; a suspect
 * runs alone, on one engine at a time in the whole fleet; the first whole answer of an engine
 * clears it, and ended engines in a row bar it. Innocent requests pay one write to the store, once.
 */

#include <map>
#include <set>
#include <vector>

#include "common/table_row.h"
#include "common/time.h"
#include "gateway/suspects/request_key.h"
#include "gateway/suspects/suspect_record.h"

namespace linenpier::suspects {

struct suspect_rules {
  /** Ends in a row after which a request is barred: what the users take as proof. */
  int crash_threshold = 3;
  /** An engine that ran a request for longer did not end of beginning it. Ends were seen 40 to 120
   * ms after the sending; an engine that is slow and full takes a second more.
   */
  Duration max_run_before_crash = std::chrono::seconds(3);
  /** From the second end to the next trial: until engines that ended are back, so that one request
   * does not hold more than two at a time.
   */
  Duration retry_backoff = std::chrono::seconds(5);
  /** A trial that takes longer keeps nobody else from trying. */
  Duration isolated_run_timeout = std::chrono::seconds(3);
  /** Suspicion is forgotten this long after the last end, or after the bar is over. */
  Duration memory = std::chrono::minutes(10);
  Duration first_bar = std::chrono::minutes(10);  ///< Doubled with each end after the proof.
  int max_doublings = 6;
  /** Items must not lie still: a job waits for them. One that is barred is tried so often more … */
  int item_trials = 2;
  /** … at such distances: less than the 5 s after which an item counts as lost. */
  Duration item_pause = std::chrono::seconds(4);
  /** Requests that are remembered; 0.5 KB each. Those with least against them go first. */
  std::size_t max_entries = 4096;
};

enum class AdmissionState {
  kNotSuspect,   ///< Nothing is known against it.
  kMayRunAlone,  ///< It may run, alone.
  kRunning,      ///< It runs somewhere; its turn may come when that is over.
  kMustWait,     ///< It ended two engines lately.
  kBarred,       ///< It ended as many as prove what it does.
};

const char* toText(AdmissionState value);

/** What a request that wants to run is told. */
struct suspect_admission {
  AdmissionState state = AdmissionState::kNotSuspect;
  int crashes = 0;
  Duration wait{};      ///< Until asking again may help; zero if it may run.
  Duration evidence{};  ///< The age of the last end.
};

/** Who asks. An item is asked for again by its owner until it is listed, a caller's request is not.
 */
enum class RequestSource { kCaller, kItem };

/** Loop thread only; times are passed in. */
class suspect_book {
 public:
  explicit suspect_book(suspect_rules rules = {}) : rules_(rules) {}

  bool empty() const { return this->entries_.empty(); }
  std::size_t size() const { return this->entries_.size(); }
  std::size_t barred(Instant now) const;
  const suspect_rules& rules() const { return this->rules_; }

  suspect_admission admissionOf(Instant now, const request_key& key, RequestSource who) const;
  /** @return ends known of the request: what an attempt knows when it is sent. */
  int crashesOf(const request_key& key) const;

  /** An engine ended under an attempt.
   * @param known ends known when the attempt was sent. Attempts that knew of the same ends ran side
   *     by side, wherever they were sent.
   * @return whether that was news.
   */
  bool onEngineCrashed(Instant now, const request_key& key, const EngineId& engine, int known);
  /** An engine answered it whole. @return the revision of its row, 0 if it has none. */
  Revision onCleared(const request_key& key);
  /** This daemon begins to run it alone, or has ended doing so. */
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
  /** What another daemon knows, which may be more than its row. */
  void onPeerRow(Instant now, std::int64_t clock_ms, const request_key& key, Revision revision,
                 const suspect_record& record);
  /** A write of the record was done. @param written what was written. */
  void onWritten(const request_key& key, Revision revision, const suspect_record& written);

  /** @return the record as it should stand in the store. */
  suspect_record record(Instant now, std::int64_t clock_ms, const request_key& key) const;
  Revision revisionOf(const request_key& key) const;
  /** @return the daemon's life that runs it alone; empty: none. */
  std::string isolatedBy(const request_key& key) const;
  /** @return requests whose rows must be written, those with most against them first. */
  std::vector<request_key> unwritten(std::size_t most) const;
  /** Other daemons are to know of it. */
  void setShared(const request_key& key);
  /** @return rows for a daemon that does not reach the store, those with most against them first.
   * @param prefix of their keys.
   */
  std::vector<table::Row> rows(Instant now, std::int64_t clock_ms, const std::string& prefix,
                               std::size_t most) const;
  /** Forgets what is too old. @return rows that may be removed now, at most `most`.
   * @param removal_delay how much longer this daemon leaves that to others.
   */
  std::vector<std::pair<request_key, Revision>> sweep(Instant now, Duration removal_delay,
                                                      std::size_t most);

 private:
  struct entry {
    int crashes = 0;
    std::vector<EngineId> engines;
    Instant last_at{};
    std::string tried_by;
    Instant tried_until{};
    Revision revision = 0;  ///< Of its row; 0: none is known.
    bool shared = false;    ///< Other daemons are to know of it.
    bool written = false;   ///< Its row has all of the above.
  };

  Duration barFor(int crashes) const;
  Instant forgottenAt(const entry& each) const;
  void addEngines(entry& into, const std::vector<EngineId>& engines) const;
  /** Makes room for one more. */
  void dropOne();
  /** @return the requests that fit, those with most against them first. */
  template <typename Fits>
  std::vector<request_key> worst(std::size_t most, Fits fits) const;

  suspect_rules rules_;
  std::map<request_key, entry> entries_;
};

}  // namespace linenpier::suspects
