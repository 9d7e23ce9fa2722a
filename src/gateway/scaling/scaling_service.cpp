#include "gateway/scaling/scaling_service.h"

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::scaling {

using logging::LogEvent;
using usage::FencedCallResult;

namespace {

/// Time between two ticks of the leader.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/// Time between two ticks of a daemon that is not the leader and checks whether the lock is free.
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(500);
/// Time between two decisions; much shorter than the platform's reclaim notice.
constexpr Duration kDecisionInterval = std::chrono::milliseconds(200);
/// Wait after a failed read of the scaling records.
constexpr Duration kReadBackoff = std::chrono::milliseconds(300);
constexpr char kLockName[] = "scaling";

std::int64_t number(std::size_t count) {
  return static_cast<std::int64_t>(count);
}

}  // namespace

scaling_service::scaling_service(dependencies deps, const scaling_options& options,
                                 const lease::handover_options& handover)
    : deps_(std::move(deps)),
      options_(options),
      lock_(deps_.lock, kLockName, table::lockKey(kLockName), handover, [this](bool) {
        this->records_read_ = false;
        this->services_.clear();
      }) {}

void scaling_service::start() {
  if (this->options_.mode == ScalingMode::kFixed) return;
  spawn(this->deps_.lock.loop, [this] { return this->lockLoop(); });
  spawn(this->deps_.lock.loop, [this] { return this->orderLoop(); });
}

std::map<ServiceName, fleet::group_counts> scaling_service::ordered() const {
  std::map<ServiceName, fleet::group_counts> found;
  for (const auto& [name, state] : this->services_) {
    found[name] = state.policy.record().ordered;
  }
  return found;
}

Task<void> scaling_service::lockLoop() {
  for (;;) {
    co_await sleepFor(this->deps_.lock.loop,
                      this->lock_.held() ? kTickInterval : kIdleTickInterval);
    const routing::ConfigurationPtr routes = this->deps_.routes();
    bool any = false;
    if (routes) {
      for (const auto& [name, service] : routes->services) any = any || service.scaling.has_value();
    }
    if (any || this->lock_.held()) this->lock_.onTick(steadyNow(), this->table_read_);
  }
}

Task<void> scaling_service::orderLoop() {
  for (;;) {
    co_await sleepFor(this->deps_.lock.loop,
                      this->lock_.held() ? kDecisionInterval : kIdleTickInterval);
    const bool settled = this->engineListSettled(steadyNow());
    if (!settled || !this->lock_.mayAct(steadyNow())) continue;
    co_await this->decideAll();
  }
}

bool scaling_service::engineListSettled(Instant now) {
  if (!this->deps_.engine_list_current() || !this->deps_.lock.leases.storeHealthy()) {
    this->list_current_since_ = Instant{};
    return false;
  }
  if (this->list_current_since_ == Instant{}) this->list_current_since_ = now;
  return now - this->list_current_since_ >= this->options_.settle;
}

Task<void> scaling_service::decideAll() {
  if (!this->records_read_) {
    const bool known = co_await this->readRecords();
    if (!known) {
      co_await sleepFor(this->deps_.lock.loop, kReadBackoff);
      co_return;
    }
  }
  const routing::ConfigurationPtr routes = this->deps_.routes();
  if (!routes) co_return;
  for (const auto& [name, service] : routes->services) {
    if (!service.scaling) continue;
    const routing::Service copy = service;
    co_await this->decideFor(copy);
    if (!this->records_read_) co_return;
  }
}

Task<bool> scaling_service::readRecords() {
  std::map<ServiceName, table::Row> rows;
  table::RowRange range{table::kScalingTable, "", "", 0, Duration::zero()};
  const FencingToken token = this->lock_.token();
  for (;;) {
    const auto page = co_await this->deps_.lock.table.read(range);
    if (!page) co_return false;
    for (const table::Row& row : page->rows) {
      rows[ServiceName(row.key.substr(table::kScalingTable.size() + 1))] = row;
    }
    if (!table::advancePast(*page, range)) break;
  }
  if (!this->lock_.held() || this->lock_.token() != token) co_return false;
  LogEvent("scaling", "records_read")
      .number("services", number(rows.size()))
      .number("token", static_cast<std::int64_t>(token));
  this->services_.clear();
  const Instant now = steadyNow();
  for (const auto& [name, row] : rows) {
    auto record = decodeRecord(row.value);
    if (!record) LogEvent("scaling", "bad_row").text("key", row.key);
    service_state state{
        row.revision, scaling_policy(this->options_, now, record.value_or(scaling_record{})), {}};
    this->services_.emplace(name, std::move(state));
  }
  this->records_read_ = true;
  co_return true;
}

scaling_view scaling_service::viewOf(const routing::Service& service, peak_demand& demand) const {
  scaling_view view;
  std::uint32_t slots = 1;
  for (const auto& [id, engine] : this->deps_.registry.all()) {
    const engines::engine_record& record = engine.record;
    if (record.service != service.name) continue;
    slots = std::max(slots, record.slots);
    const fleet::PurchaseOption purchase =
        record.spot ? fleet::PurchaseOption::kSpot : fleet::PurchaseOption::kOnDemand;
    observed_engines& seen = view.groups[{record.zone, purchase}];
    ++(record.draining ? seen.draining : seen.serving);
    if (record.draining && record.reclaim_in) ++seen.reclaimed;
  }
  for (const auto& [zone, revision] : this->deps_.registry.closedZones().all()) {
    view.closed.insert(zone);
  }
  if (service.models.empty()) return view;
  const std::size_t items = this->deps_.open_items(service.name);
  view.engines_for_work = demand.onOpenItems(steadyNow(), this->options_, items, slots);
  return view;
}

Task<void> scaling_service::decideFor(routing::Service service) {
  const ServiceName name = service.name;
  const Instant now = steadyNow();
  auto at = this->services_.find(name);
  if (at == this->services_.end()) {
    service_state fresh{0, scaling_policy(this->options_, now, scaling_record{}), {}};
    at = this->services_.emplace(name, std::move(fresh)).first;
  }
  const scaling_view view = this->viewOf(service, at->second.demand);
  const std::vector<scaling_decision> due = at->second.policy.decide(now, *service.scaling, view);
  const std::optional<scaling_record> learned = at->second.policy.learnBaseline(now, view);
  if (learned) {
    co_await this->writeBaseline(name, *learned);
    co_return;
  }
  if (due.empty()) co_return;
  scaling_decision first = due.front();
  co_await this->carryOut(name, std::move(first));
}

Task<void> scaling_service::writeBaseline(ServiceName name, scaling_record learned) {
  std::size_t engines = 0;
  for (const auto& [group, count] : learned.baseline) engines += count;
  const bool written = co_await this->writeRecord(name, std::move(learned));
  LogEvent("scaling", "usual_number")
      .text("service", name.str())
      .number("engines", number(engines))
      .text("outcome", written ? "written" : "not_written");
}

Task<bool> scaling_service::writeRecord(ServiceName name, scaling_record record) {
  const std::string key = table::scalingKey(name);
  const FencingToken token = this->lock_.token();
  table::Write write;
  write.transaction.checks.push_back(this->lock_.condition());
  write.transaction.checks.push_back({key, this->services_.at(name).revision});
  write.transaction.puts.push_back({key, encodeRecord(record)});
  const auto answer = co_await this->deps_.lock.table.write(std::move(write));
  const bool done = answer && answer->committed;
  const auto at = this->services_.find(name);
  const bool same =
      this->records_read_ && at != this->services_.end() && this->lock_.token() == token;
  if (!done) {
    LogEvent("scaling", "record_not_written")
        .text("service", name.str())
        .number("token", static_cast<std::int64_t>(token))
        .text("outcome", answer ? "conflict" : "no_answer");
    // The outcome of the write may be unknown, so the records are read before the next decision.
    this->records_read_ = false;
    co_return false;
  }
  if (!same) co_return false;
  at->second.revision = answer->revision;
  at->second.policy.onRecord(std::move(record));
  co_return true;
}

Task<bool> scaling_service::zoneIsQuiet(ServiceName name, ZoneName zone) {
  std::vector<std::pair<EngineId, Address>> engines;
  std::uint32_t slots = 0;
  for (const auto& [id, engine] : this->deps_.registry.all()) {
    const engines::engine_record& record = engine.record;
    if (record.service != name || record.zone != zone || record.draining) continue;
    engines.emplace_back(id, record.address);
    slots += record.slots;
  }
  std::uint32_t load = 0;
  for (const auto& [id, address] : engines) {
    const std::optional<std::uint32_t> reported = co_await this->deps_.load(id, address);
    if (!reported) co_return false;
    load += *reported;
  }
  const double quiet_load = slots * this->options_.quiet_share;
  co_return load <= quiet_load;
}

Task<void> scaling_service::carryOut(ServiceName name, scaling_decision decision) {
  const FencingToken token = this->lock_.token();
  if (decision.scalesDown()) {
    const bool quiet = co_await this->zoneIsQuiet(name, decision.group.zone);
    if (!this->records_read_ || this->lock_.token() != token) co_return;
    if (!quiet) {
      this->services_.at(name).policy.onZoneBusy(steadyNow(), decision);
      LogEvent("scaling", "not_quiet")
          .text("service", name.str())
          .text("zone", decision.group.zone.str())
          .number("have", number(decision.have))
          .number("wanted", number(decision.wanted));
      co_return;
    }
  }
  const scaling_record changed = this->services_.at(name).policy.withOrder(decision);
  if (changed != this->services_.at(name).policy.record()) {
    const bool written = co_await this->writeRecord(name, changed);
    if (!written) co_return;
  }
  co_await this->send(name, decision, token);
}

Task<void> scaling_service::send(ServiceName name, scaling_decision decision, FencingToken token) {
  const Instant sent_at = steadyNow();
  if (!this->lock_.mayAct(sent_at) || this->lock_.token() != token) co_return;
  const usage::fenced_call_context context{this->deps_.holder, token, this->lock_.mayActUntil()};
  const scaling_order order{name, decision.group, decision.wanted};
  this->lock_.recordAction(sent_at);
  ++this->totals_.sent;
  const FencedCallResult answer = co_await this->deps_.port.setEngineCount(order, context);
  if (answer == FencedCallResult::kUnknown) ++this->totals_.unanswered;
  if (answer == FencedCallResult::kFenced || answer == FencedCallResult::kRefused)
    ++this->totals_.refused;
  LogEvent("scaling", "ordered")
      .text("service", name.str())
      .text("zone", decision.group.zone.str())
      .text("kind", toText(decision.group.purchase))
      .number("have", number(decision.have))
      .number("before", number(decision.before))
      .number("wanted", number(decision.wanted))
      .text("reason", toText(decision.reason))
      .number("token", static_cast<std::int64_t>(token))
      .milliseconds("engines_known", sent_at - this->list_current_since_)
      .text("outcome", usage::toText(answer))
      .milliseconds("took_ms", steadyNow() - sent_at);
  const auto at = this->services_.find(name);
  if (at == this->services_.end() || this->lock_.token() != token) co_return;
  at->second.policy.onAnswer(steadyNow(), decision, answer);
}

void scaling_service::handOver() {
  if (this->options_.mode == ScalingMode::kFixed) return;
  this->lock_.handOver();
}

}  // namespace linenpier::scaling
