#include "gateway/suspects/suspect_registry.h"

#include <algorithm>

namespace linenpier::suspects {

namespace {

std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** @return `at_ms` converted from the store's clock to local time; not later than `now`.
 * @param clock_ms the store's current time. If either time is 0 (unknown), `now` is returned.
 */
Instant pastInstant(Instant now, std::int64_t clock_ms, std::int64_t at_ms) {
  if (clock_ms == 0 || at_ms == 0) return now;
  return now - std::chrono::milliseconds(std::max<std::int64_t>(0, clock_ms - at_ms));
}

}  // namespace

bool suspect_registry::isBarred(const request_key& key, int crashes) const {
  return sourceOf(key) == RequestSource::kCaller && crashes >= this->rules_.crash_threshold;
}

Duration suspect_registry::retryDelay(const request_key& key, int crashes) const {
  if (this->isBarred(key, crashes)) return this->barDuration(key, crashes);
  return crashes <= 1 ? Duration::zero() : this->rules_.retry_backoff;
}

Duration suspect_registry::barDuration(const request_key& key, int crashes) const {
  if (!this->isBarred(key, crashes)) return Duration::zero();
  const int doublings =
      std::min(crashes - this->rules_.crash_threshold, this->rules_.max_bar_doublings);
  return this->rules_.initial_bar * (1 << doublings);
}

Instant suspect_registry::expiresAt(const request_key& key, const entry& suspect) const {
  return suspect.last_crash_at + this->barDuration(key, suspect.crashes) + this->rules_.retention;
}

std::size_t suspect_registry::barredCount(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(this->entries_.begin(), this->entries_.end(), [&](const auto& each) {
        const auto& [key, suspect] = each;
        return now < suspect.last_crash_at + this->barDuration(key, suspect.crashes);
      }));
}

int suspect_registry::crashesOf(const request_key& key) const {
  const auto at = this->entries_.find(key);
  return at == this->entries_.end() ? 0 : at->second.crashes;
}

suspect_admission suspect_registry::admissionOf(Instant now, const request_key& key) const {
  suspect_admission admission;
  const auto at = this->entries_.find(key);
  if (at == this->entries_.end() || at->second.crashes == 0) return admission;
  const entry& known = at->second;
  if (now >= this->expiresAt(key, known)) return admission;
  admission.crashes = known.crashes;
  admission.since_last_crash = now - known.last_crash_at;
  const Instant allowed_at = known.last_crash_at + this->retryDelay(key, known.crashes);
  if (now < allowed_at) {
    const bool barred = this->isBarred(key, known.crashes);
    admission.state = barred ? AdmissionState::kBarred : AdmissionState::kBackingOff;
    admission.retry_after = allowed_at - now;
    return admission;
  }
  const bool running = !known.isolated_by.empty() && now < known.isolated_until;
  admission.state = running ? AdmissionState::kRunning : AdmissionState::kMayRunAlone;
  if (running) admission.retry_after = known.isolated_until - now;
  return admission;
}

void suspect_registry::addEngines(entry& into, const std::vector<EngineId>& engines) const {
  for (const EngineId& each : engines) {
    if (into.engines.size() >= kMaxEnginesKept) return;
    const bool known =
        std::find(into.engines.begin(), into.engines.end(), each) != into.engines.end();
    if (!known) into.engines.push_back(each);
  }
}

void suspect_registry::evictOne() {
  const auto least = std::min_element(
      this->entries_.begin(), this->entries_.end(), [](const auto& one, const auto& other) {
        return std::pair(one.second.crashes, one.second.last_crash_at) <
               std::pair(other.second.crashes, other.second.last_crash_at);
      });
  if (least != this->entries_.end()) this->entries_.erase(least);
}

bool suspect_registry::onEngineCrashed(Instant now, const request_key& key, const EngineId& engine,
                                       int known) {
  const bool is_new = !this->entries_.contains(key);
  if (is_new && this->entries_.size() >= this->rules_.max_entries) this->evictOne();
  entry& each = this->entries_[key];
  // Crashes that were cleared after the attempt was sent no longer count.
  const int counted = std::min(known, each.crashes) + 1;
  const bool grew = counted > each.crashes;
  each.crashes = std::max(each.crashes, counted);
  this->addEngines(each, {engine});
  if (grew) {
    each.last_crash_at = now;
    each.written = false;
  }
  return grew;
}

Revision suspect_registry::onCleared(const request_key& key) {
  const auto at = this->entries_.find(key);
  if (at == this->entries_.end()) return 0;
  const Revision revision = at->second.revision;
  this->entries_.erase(at);
  return revision;
}

void suspect_registry::onIsolatedRun(Instant now, const request_key& key, const std::string& self) {
  const auto at = this->entries_.find(key);
  if (at == this->entries_.end()) return;
  at->second.isolated_by = self;
  at->second.isolated_until = now + this->rules_.isolated_run_timeout;
}

void suspect_registry::onIsolatedRunEnded(const request_key& key, const std::string& self) {
  const auto at = this->entries_.find(key);
  if (at == this->entries_.end() || at->second.isolated_by != self) return;
  at->second.isolated_by.clear();
  if (at->second.shared) at->second.written = false;
}

void suspect_registry::onRow(Instant now, std::int64_t clock_ms, const request_key& key,
                             Revision revision, const suspect_record& record) {
  entry& each = this->entries_[key];
  if (revision <= each.revision) return;
  const bool knew_more = each.crashes > record.crashes;
  if (record.crashes >= each.crashes)
    each.last_crash_at = pastInstant(now, clock_ms, record.last_crash_ms);
  each.crashes = std::max(each.crashes, record.crashes);
  this->addEngines(each, record.engines);
  each.isolated_by = record.isolated_by;
  each.isolated_until = now + this->rules_.isolated_run_timeout;
  if (clock_ms != 0) {
    const auto left = std::chrono::milliseconds(record.isolated_until_ms - clock_ms);
    each.isolated_until = now + std::min<Duration>(left, this->rules_.isolated_run_timeout);
  }
  each.revision = revision;
  each.shared = true;
  each.written = !knew_more;
}

void suspect_registry::onPeerRow(Instant now, std::int64_t clock_ms, const request_key& key,
                                 Revision revision, const suspect_record& record) {
  const auto at = this->entries_.find(key);
  if (at == this->entries_.end() || revision > at->second.revision) {
    this->onRow(now, clock_ms, key, revision, record);
    return;
  }
  at->second.crashes = std::max(at->second.crashes, record.crashes);
  this->addEngines(at->second, record.engines);
}

void suspect_registry::onTableRead(const std::set<request_key>& present, Revision as_of) {
  std::vector<request_key> absent;
  for (const auto& [key, each] : this->entries_) {
    if (each.revision == 0 || each.revision > as_of || present.contains(key)) continue;
    absent.push_back(key);
  }
  for (const request_key& key : absent) this->onRowGone(key, as_of + 1);
}

void suspect_registry::onRowGone(const request_key& key, Revision revision) {
  const auto at = this->entries_.find(key);
  if (at == this->entries_.end() || revision <= at->second.revision) return;
  if (at->second.written) {
    this->entries_.erase(at);
    return;
  }
  // Another daemon cleared the request. A later crash on this daemon is not stored yet but counts.
  at->second.crashes = 1;
  at->second.revision = 0;
}

void suspect_registry::onWritten(const request_key& key, Revision revision,
                                 const suspect_record& written) {
  const auto at = this->entries_.find(key);
  if (at == this->entries_.end() || revision <= at->second.revision) return;
  at->second.revision = revision;
  at->second.written =
      at->second.crashes == written.crashes && at->second.isolated_by == written.isolated_by;
}

std::string suspect_registry::isolatedBy(const request_key& key) const {
  const auto at = this->entries_.find(key);
  return at == this->entries_.end() ? std::string() : at->second.isolated_by;
}

suspect_record suspect_registry::record(Instant now, std::int64_t clock_ms,
                                        const request_key& key) const {
  suspect_record record;
  const auto at = this->entries_.find(key);
  if (at == this->entries_.end()) return record;
  const entry& each = at->second;
  record.crashes = each.crashes;
  record.engines = each.engines;
  record.last_crash_ms = clock_ms - toMilliseconds(now - each.last_crash_at);
  record.isolated_by = each.isolated_by;
  if (!each.isolated_by.empty()) {
    record.isolated_until_ms = clock_ms + toMilliseconds(each.isolated_until - now);
  }
  return record;
}

Revision suspect_registry::revisionOf(const request_key& key) const {
  const auto at = this->entries_.find(key);
  return at == this->entries_.end() ? 0 : at->second.revision;
}

template <typename Predicate>
std::vector<request_key> suspect_registry::withMostCrashes(std::size_t max_count,
                                                           Predicate matches) const {
  std::vector<std::pair<int, request_key>> found;
  for (const auto& [key, each] : this->entries_) {
    if (matches(each)) found.emplace_back(-each.crashes, key);
  }
  std::sort(found.begin(), found.end());
  if (found.size() > max_count) found.resize(max_count);
  std::vector<request_key> keys;
  keys.reserve(found.size());
  for (auto& [crashes, key] : found) keys.push_back(std::move(key));
  return keys;
}

std::vector<request_key> suspect_registry::unwritten(std::size_t max_count) const {
  return this->withMostCrashes(max_count,
                               [](const entry& each) { return each.shared && !each.written; });
}

void suspect_registry::setShared(const request_key& key) {
  const auto at = this->entries_.find(key);
  if (at != this->entries_.end()) at->second.shared = true;
}

std::vector<table::Row> suspect_registry::rows(Instant now, std::int64_t clock_ms,
                                               const std::string& prefix,
                                               std::size_t max_count) const {
  const auto keys =
      this->withMostCrashes(max_count, [](const entry& each) { return each.revision != 0; });
  std::vector<table::Row> rows;
  rows.reserve(keys.size());
  for (const request_key& key : keys) {
    rows.push_back({prefix + key.str(), this->revisionOf(key),
                    encodeSuspect(this->record(now, clock_ms, key))});
  }
  return rows;
}

std::vector<std::pair<request_key, Revision>> suspect_registry::sweep(Instant now,
                                                                      Duration removal_delay,
                                                                      std::size_t max_count) {
  std::vector<std::pair<request_key, Revision>> removable;
  for (auto at = this->entries_.begin(); at != this->entries_.end();) {
    const entry& each = at->second;
    const Instant expires_at = this->expiresAt(at->first, each);
    const bool old = now >= expires_at;
    if (old && each.revision == 0) {
      at = this->entries_.erase(at);
      continue;
    }
    const bool due = old && now >= expires_at + removal_delay;
    if (due && removable.size() < max_count) removable.emplace_back(at->first, each.revision);
    ++at;
  }
  return removable;
}

}  // namespace linenpier::suspects
