#include "gateway/suspects/suspect_service.h"

#include "common/event_log.h"
#include "common/hash.h"
#include "gateway/table/store_keys.h"

namespace linenpier::suspects {

using logging::LogEvent;

namespace {

/** Maximum wait for a claim. A slow store must not delay requests that do not crash engines. */
constexpr Duration kClaimTimeout = std::chrono::milliseconds(100);
constexpr int kMaxClaimAttempts = 3;
/** Interval of checks for rows to write if no change was notified. */
constexpr Duration kWritePollInterval = std::chrono::seconds(1);
/** Delay between writes; limits the load of all daemons on a small store. */
constexpr Duration kWriteInterval = std::chrono::milliseconds(25);
/** Delay before writing again if the store did not respond. */
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(200);
constexpr int kMaxRemoveAttempts = 3;
/** Number of rows that are selected and written at a time, most crashes first. */
constexpr std::size_t kWriteBatchSize = 32;
/** Maximum number of rows in a response to a peer, which limits the response to about 80 KB. */
constexpr std::size_t kMaxPeerRows = 256;
constexpr Duration kSweepInterval = std::chrono::seconds(10);
constexpr std::size_t kMaxRemovedPerSweep = 20;
/** Upper bound of the per-daemon delay before expired rows are removed, so that usually one daemon
 * removes a row.
 */
constexpr std::uint64_t kRemovalJitterSeconds = 60;

}  // namespace

void suspect_service::start() {
  spawn(this->deps_.loop, [this] { return this->writeLoop(); });
  spawn(this->deps_.loop, [this] { return this->sweepLoop(); });
}

suspect_admission suspect_service::admissionOf(const request_key& key) const {
  return this->registry_.admissionOf(steadyNow(), key);
}

// --- Admission -----------------------------------------------------------------------------------

suspect_admission suspect_service::beginLocally(const request_key& key, const std::string& id) {
  const Instant now = steadyNow();
  const suspect_admission admission = this->registry_.admissionOf(now, key);
  if (admission.state == AdmissionState::kMayRunAlone) {
    this->registry_.onIsolatedRun(now, key, this->self());
  } else if (admission.state != AdmissionState::kNotSuspect) {
    this->onRefused(admission, key, id);
  }
  return admission;
}

Task<suspect_admission> suspect_service::beginIsolatedRun(request_key key, std::string id) {
  suspect_admission admission;
  for (int attempt = 0; attempt < kMaxClaimAttempts; ++attempt) {
    admission = this->beginLocally(key, id);
    // Without the store, the decision of this daemon is final.
    if (admission.state != AdmissionState::kMayRunAlone || !this->deps_.leases.storeHealthy())
      co_return admission;
    this->registry_.setShared(key);
    const WriteOutcome outcome = co_await this->claim(key);
    const bool own = this->registry_.isolatedBy(key) == this->self();
    if (outcome != WriteOutcome::kConflict || own) co_return admission;
  }
  admission = this->admissionOf(key);
  if (admission.state == AdmissionState::kMayRunAlone) admission.state = AdmissionState::kRunning;
  this->onRefused(admission, key, id);
  co_return admission;
}

Task<suspect_service::WriteOutcome> suspect_service::claim(request_key key) {
  struct pending_claim {
    explicit pending_claim(boost::asio::io_context& loop) : completed(loop) {}
    Signal completed;
    std::optional<WriteOutcome> outcome;
  };
  const auto pending = std::make_shared<pending_claim>(this->deps_.loop);
  spawn(this->deps_.loop, [this, key, pending]() -> Task<void> {
    pending->outcome = co_await this->writeRow(key);
    pending->completed.notifyAll();
  });
  if (!pending->outcome) {
    co_await pending->completed.waitFor(kClaimTimeout);
  }
  co_return pending->outcome.value_or(WriteOutcome::kNoResponse);
}

void suspect_service::onRefused(const suspect_admission& admission, const request_key& key,
                                const std::string& id) {
  ++this->totals_.refused;
  if (!this->refusal_sampler_.admit(steadyNow())) return;
  LogEvent event("suspects", "refused");
  event.text("request", id)
      .text("key", key.str())
      .text("standing", toText(admission.state))
      .number("ends", admission.crashes)
      .milliseconds("evidence_age_ms", admission.since_last_crash)
      .milliseconds("wait_ms", admission.retry_after);
  if (const auto skipped = this->refusal_sampler_.takeSkipped()) {
    event.number("refusals_not_written", static_cast<std::int64_t>(skipped));
  }
}

// --- Attempt outcomes ----------------------------------------------------------------------------

void suspect_service::onEngineCrashed(const sent_attempt& attempt, const request_key& key,
                                      const EngineId& engine, Instant sent_at,
                                      const std::string& id) {
  const Instant now = steadyNow();
  const Duration ran = now - sent_at;
  if (attempt.isolated) this->registry_.onIsolatedRunEnded(key, this->self());
  const bool counts = ran <= this->registry_.rules().max_run_before_crash;
  if (counts) {
    ++this->totals_.engine_crashes;
    this->registry_.onEngineCrashed(now, key, engine, attempt.crashes);
    this->registry_.setShared(key);
  }
  this->changed_.notifyAll();
  LogEvent("suspects", "engine_ended")
      .text("request", id)
      .text("key", key.str())
      .text("engine", engine.str())
      .milliseconds("ran_ms", ran)
      .text("counts", counts ? "yes" : "ran_too_long")
      .number("known_when_sent", attempt.crashes)
      .number("ends", this->registry_.crashesOf(key))
      .text("standing", toText(this->admissionOf(key).state));
}

void suspect_service::onAnswered(const request_key& key) {
  const int crashes = this->registry_.crashesOf(key);
  if (crashes == 0) return;
  const Revision revision = this->registry_.onCleared(key);
  ++this->totals_.cleared;
  LogEvent("suspects", "cleared").text("key", key.str()).number("ends", crashes);
  if (revision == 0) return;
  spawn(this->deps_.loop, [this, key, revision] { return this->removeRow(key, revision); });
}

void suspect_service::onInconclusive(const request_key& key) {
  this->registry_.onIsolatedRunEnded(key, this->self());
  this->changed_.notifyAll();
}

// --- Rows and peers ------------------------------------------------------------------------------

void suspect_service::onRow(const request_key& key, const table::Row& row) {
  const auto record = decodeSuspect(row.value);
  if (!record) {
    LogEvent("suspects", "bad_record").text("key", key.str());
    return;
  }
  const int before = this->registry_.crashesOf(key);
  this->registry_.onRow(steadyNow(), this->clock(), key, row.revision, *record);
  const int crash_threshold = this->registry_.rules().crash_threshold;
  if (sourceOf(key) != RequestSource::kCaller) return;
  if (before >= crash_threshold || this->registry_.crashesOf(key) < crash_threshold) return;
  LogEvent("suspects", "barred")
      .text("key", key.str())
      .number("ends", record->crashes)
      .number("revision", static_cast<std::int64_t>(row.revision));
}

void suspect_service::onRowGone(const request_key& key, Revision revision) {
  this->registry_.onRowGone(key, revision);
}

void suspect_service::onTableRead(const std::set<request_key>& present, Revision as_of) {
  this->registry_.onTableRead(present, as_of);
  this->loaded_ = true;
}

void suspect_service::onPeerRows(const std::vector<table::Row>& rows) {
  for (const table::Row& row : rows) {
    const auto record = decodeSuspect(row.value);
    if (!record) continue;
    const request_key key(row.key.substr(table::suspectKey({}).size()));
    this->registry_.onPeerRow(steadyNow(), this->clock(), key, row.revision, *record);
  }
  this->loaded_ = true;
}

std::vector<table::Row> suspect_service::rows() const {
  return this->registry_.rows(steadyNow(), this->clock(), table::suspectKey({}), kMaxPeerRows);
}

// --- Writes --------------------------------------------------------------------------------------

void suspect_service::onConflict(const request_key& key, const std::vector<table::Row>& rows) {
  const std::string name = table::suspectKey(key.str());
  for (const table::Row& row : rows) {
    if (row.key != name) continue;
    this->onRow(key, row);
    return;
  }
  // The suspect's row was removed. Crashes that the row did not contain are written as a new row.
  this->registry_.onRowGone(key, this->registry_.revisionOf(key) + 1);
}

table::Write suspect_service::writeOf(const request_key& key, const suspect_record& record) const {
  const std::string name = table::suspectKey(key.str());
  table::Write write;
  write.transaction.checks.push_back({name, this->registry_.revisionOf(key)});
  write.transaction.puts.push_back({name, encodeSuspect(record)});
  return write;
}

Task<suspect_service::WriteOutcome> suspect_service::writeRow(request_key key) {
  suspect_record record = this->registry_.record(steadyNow(), this->clock(), key);
  std::optional<table::TransactionAnswer> answer;
  if (this->deps_.leases.storeHealthy()) {
    auto direct = co_await this->deps_.table.write(this->writeOf(key, record));
    if (direct) answer = std::move(*direct);
  }
  if (!answer) {
    // The row is written by way of a peer at once. Until it is written, other daemons could send
    // the request, so do not wait until the store counts as lost. Make the record again to include
    // newer crashes.
    record = this->registry_.record(steadyNow(), this->clock(), key);
    answer = co_await this->deps_.write_by_peer(this->writeOf(key, record));
  }
  if (!answer) co_return WriteOutcome::kNoResponse;
  if (!answer->committed) {
    this->onConflict(key, answer->conflicts);
    co_return WriteOutcome::kConflict;
  }
  this->registry_.onWritten(key, answer->revision, record);
  co_return WriteOutcome::kCommitted;
}

Task<void> suspect_service::writeLoop() {
  for (;;) {
    const std::vector<request_key> keys = this->registry_.unwritten(kWriteBatchSize);
    if (keys.empty()) {
      co_await this->changed_.waitFor(kWritePollInterval);
      continue;
    }
    // Rows contain the store's time and cannot be written while it is unknown.
    bool answered = this->clock() != 0;
    for (const request_key& key : keys) {
      if (!answered) break;
      const WriteOutcome outcome = co_await this->writeRow(key);
      answered = outcome != WriteOutcome::kNoResponse;
      co_await sleepFor(this->deps_.loop, kWriteInterval);
    }
    if (answered) continue;
    LogEvent("suspects", "not_stored").number("rows", static_cast<std::int64_t>(keys.size()));
    co_await sleepFor(this->deps_.loop, kStoreRetryDelay);
  }
}

Task<void> suspect_service::removeRow(request_key key, Revision revision) {
  const std::string name = table::suspectKey(key.str());
  for (int attempt = 0; attempt < kMaxRemoveAttempts && revision != 0; ++attempt) {
    table::Write write;
    write.transaction.checks.push_back({name, revision});
    write.removes.push_back(name);
    const auto answer = co_await this->deps_.table.write(std::move(write));
    if (answer && answer->committed) co_return;
    if (!answer) {
      co_await sleepFor(this->deps_.loop, kStoreRetryDelay);
      continue;
    }
    // A response of an engine overrides concurrent writes.
    revision = answer->conflicts.empty() ? 0 : answer->conflicts.front().revision;
  }
}

Task<void> suspect_service::sweepLoop() {
  const Duration removal_delay = std::chrono::seconds(hash64(this->self()) % kRemovalJitterSeconds);
  for (;;) {
    co_await sleepFor(this->deps_.loop, kSweepInterval);
    const auto removable = this->registry_.sweep(steadyNow(), removal_delay, kMaxRemovedPerSweep);
    for (const auto& [key, revision] : removable) {
      co_await this->removeRow(key, revision);
    }
  }
}

}  // namespace linenpier::suspects
