#include "gateway/lease/leader_lock.h"

#include <algorithm>

#include "common/event_log.h"

namespace linenpier::lease {

using logging::LogEvent;

namespace {

/// The lock is confirmed this long before a lease renewal is due, so that one write serves as both.
constexpr Duration kConfirmLead = std::chrono::milliseconds(60);
/// Wait before the next confirmation if the store did not respond to the last one.
constexpr Duration kConfirmBackoff = std::chrono::milliseconds(120);
/// Wait before a failed release is repeated.
constexpr Duration kReleaseBackoff = std::chrono::milliseconds(120);
/// Time added to the published time of the leader's last action, because the estimate of the
/// store's clock may be too low.
constexpr std::int64_t kClockLagMs = 500;
/// Separates the leader's lease from the time of the last action in the lock's row.
constexpr char kActionSeparator = '|';

}  // namespace

std::string encodeLockRow(const leader_lock_row& value) {
  return value.owner.str() + kActionSeparator + std::to_string(value.last_action_ms);
}

leader_lock_row decodeLockRow(const std::string& text) {
  leader_lock_row value;
  const std::size_t separator = text.find(kActionSeparator);
  value.owner = LeaseId(text.substr(0, separator));
  if (separator != std::string::npos) {
    value.last_action_ms = std::strtoll(text.c_str() + separator + 1, nullptr, 10);
  }
  return value;
}

leader_lock::leader_lock(const dependencies& deps, std::string name, std::string key,
                         handover_options handover, on_change callback)
    : deps_(deps),
      name_(std::move(name)),
      key_(std::move(key)),
      handover_(handover),
      started_at_(steadyNow()),
      on_change_(std::move(callback)) {}

bool leader_lock::held() const {
  return this->revision_ > 0 && this->owner_ == this->deps_.leases.own();
}

Instant leader_lock::mayActUntil() const {
  return this->confirmed_at_ + this->deps_.leases.times().validity;
}

bool leader_lock::mayAct(Instant now) const {
  return this->held() && !this->stopping_ && now >= this->may_act_at_ && now < this->mayActUntil();
}

void leader_lock::onRow(const table::Row& row) {
  if (row.revision <= this->revision_) return;
  const bool was_held = this->held();
  const bool existed = this->revision_ > 0;
  const leader_lock_row before{this->owner_, this->previous_leader_action_ms_};
  const leader_lock_row value = decodeLockRow(row.value);
  this->revision_ = row.revision;
  this->owner_ = value.owner;
  this->previous_leader_action_ms_ = value.last_action_ms;
  this->vacant_since_ = Instant{};
  if (this->held() == was_held) return;
  if (this->held()) {
    this->onAcquired(existed ? std::optional(before) : std::nullopt);
    return;
  }
  LogEvent("lease", "right_lost")
      .text("right", this->name_)
      .text("to", row.value)
      .number("revision", static_cast<std::int64_t>(row.revision));
  this->on_change_(false);
}

void leader_lock::onAcquired(const std::optional<leader_lock_row>& before) {
  const bool other_leader = before && !this->deps_.leases.isPreviousIncarnation(before->owner);
  const Duration delay = other_leader
                             ? this->handoverDelayAfter(before->owner, before->last_action_ms)
                             : Duration::zero();
  this->may_act_at_ = steadyNow() + delay;
  // Nothing has been confirmed under the new token.
  this->confirmed_at_ = Instant{};
  LogEvent("lease", "right_acquired")
      .text("right", this->name_)
      .text("from", before ? before->owner.str() : std::string())
      .number("revision", static_cast<std::int64_t>(this->revision_))
      .milliseconds("acts_in_ms", delay);
  this->on_change_(true);
  if (this->stopping_) this->startRelease();
}

void leader_lock::onRowRemoved() {
  this->revision_ = 0;
  this->owner_ = LeaseId();
}

void leader_lock::onTick(Instant now, bool row_known) {
  if (this->stopping_) return;
  if (this->held()) {
    const Duration due_after = this->deps_.leases.times().renewal_interval - kConfirmLead;
    if (this->confirming_ || now - this->confirmed_at_ < due_after) return;
    this->confirming_ = true;
    spawn(this->deps_.loop, [this] { return this->confirm(); });
    return;
  }
  if (!row_known || this->acquiring_) return;
  if (!this->deps_.leases.storeHealthy()) return;
  const bool vacant = this->revision_ == 0 || this->deps_.leases.expired(this->owner_);
  if (!vacant) return;
  if (this->vacant_since_ == Instant{}) this->vacant_since_ = now;
  const bool own = this->deps_.leases.isPreviousIncarnation(this->owner_);
  if (!own && now - this->vacant_since_ < this->deps_.pool.takeoverDelay(now, this->name_)) return;
  this->acquiring_ = true;
  spawn(this->deps_.loop, [this] { return this->acquire(); });
}

Task<void> leader_lock::confirm() {
  const Revision token = this->revision_;
  const Instant sent_at = steadyNow();
  table::Write write;
  write.transaction.checks.push_back({this->key_, token});
  write.transaction.puts.push_back(this->deps_.keeper.renewal());
  const auto answer = co_await this->deps_.table.write(std::move(write));
  if (answer && answer->committed && this->revision_ == token) {
    this->confirmed_at_ = sent_at;
    this->deps_.keeper.onRenewed(sent_at);
  }
  if (answer && !answer->committed) this->onConflict(*answer);
  if (!answer) {
    co_await sleepFor(this->deps_.loop, kConfirmBackoff);
  }
  this->confirming_ = false;
}

Duration leader_lock::handoverDelayAfterOwnActions(Instant now) const {
  const Instant last = std::max(this->started_at_, this->own_last_action_at_);
  return std::max<Duration>(last + this->handover_.pause - now, Duration::zero());
}

Duration leader_lock::handoverDelayAfter(const LeaseId& from, std::int64_t last_action_ms) const {
  if (this->handover_.tokens_checked) return this->handoverDelayAfterOwnActions(steadyNow());
  if (!from.empty()) {
    // The previous leader stopped acting when the validity of its lease ended, and its lease has
    // expired since then.
    const lease_times& times = this->deps_.leases.times();
    return this->handover_.pause - (times.expiry - times.validity);
  }
  const std::int64_t clock_ms = this->deps_.keeper.storeClock(steadyNow());
  if (last_action_ms == 0 || clock_ms == 0) return this->handover_.pause;
  const Duration since = std::chrono::milliseconds(clock_ms - last_action_ms);
  return std::clamp(this->handover_.pause - since, Duration::zero(), this->handover_.pause);
}

Task<void> leader_lock::acquire() {
  const LeaseId from = this->owner_;
  const bool confirmed = co_await this->deps_.keeper.confirmNotRenewed(from);
  if (!confirmed || this->owner_ != from || this->stopping_) {
    this->acquiring_ = false;
    this->vacant_since_ = Instant{};
    co_return;
  }
  const Revision before = this->revision_;
  const std::int64_t last_action_ms = this->previous_leader_action_ms_;
  const std::string value = encodeLockRow({this->deps_.leases.own(), last_action_ms});
  table::Write write;
  write.transaction.checks.push_back({this->key_, before});
  write.transaction.puts.push_back({this->key_, value});
  write.transaction.puts.push_back(this->deps_.keeper.renewal());
  const Instant sent_at = steadyNow();
  const auto answer = co_await this->deps_.table.write(std::move(write));
  this->acquiring_ = false;
  const bool done = answer.has_value() && answer->committed;
  LogEvent("lease", "right_asked")
      .text("right", this->name_)
      .text("from", from.str())
      .number("before", static_cast<std::int64_t>(before))
      .text("outcome", done     ? "acquired"
                       : answer ? "taken_by_another"
                                : "no_answer");
  if (!done) {
    this->vacant_since_ = Instant{};
    co_return;
  }
  this->deps_.keeper.onRenewed(sent_at);
  // The feed may have reported the row already, or a later one.
  this->onRow({this->key_, answer->revision, value});
  if (this->revision_ == answer->revision) {
    this->confirmed_at_ = std::max(this->confirmed_at_, sent_at);
  }
}

void leader_lock::onConflict(const table::TransactionAnswer& answer) {
  const auto row = std::find_if(answer.conflicts.begin(), answer.conflicts.end(),
                                [this](const table::Row& each) { return each.key == this->key_; });
  if (row != answer.conflicts.end()) this->onRow(*row);
}

void leader_lock::handOver() {
  this->stopping_ = true;
  this->startRelease();
}

void leader_lock::startRelease() {
  if (this->releasing_) return;
  this->releasing_ = true;
  spawn(this->deps_.loop, [this] { return this->releaseLoop(); });
}

Task<void> leader_lock::releaseLoop() {
  while (this->acquiring_ || this->held()) {
    if (this->held()) {
      co_await this->release();
    }
    if (this->acquiring_ || this->held()) {
      co_await sleepFor(this->deps_.loop, kReleaseBackoff);
    }
  }
  this->releasing_ = false;
}

Task<void> leader_lock::release() {
  table::Write write;
  write.transaction.checks.push_back(this->condition());
  const std::int64_t last_action_ms =
      this->own_last_action_at_ == Instant{}
          ? this->previous_leader_action_ms_
          : this->deps_.keeper.storeClock(this->own_last_action_at_) + kClockLagMs;
  write.transaction.puts.push_back({this->key_, encodeLockRow({{}, last_action_ms})});
  const auto answer = co_await this->deps_.table.write(std::move(write));
  LogEvent("lease", "right_released")
      .text("right", this->name_)
      .text("outcome", !answer             ? "no_answer"
                       : answer->committed ? "done"
                                           : "conflict");
  if (!answer) co_return;
  if (!answer->committed) {
    this->onConflict(*answer);
  } else if (answer->revision > this->revision_) {
    this->revision_ = answer->revision;
    this->owner_ = LeaseId();
  }
}

}  // namespace linenpier::lease
