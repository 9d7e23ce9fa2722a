#include "versions/order_service.h"

#include <algorithm>

#include "gateway/store_keys.h"
#include "logging/event_log.h"

namespace linenpier::versions {

using logging::LogEvent;

namespace {

constexpr Duration kTick = std::chrono::milliseconds(60);
/// At a daemon that holds no right and is not the first to take one.
constexpr Duration kIdleTick = std::chrono::milliseconds(250);
/// When a fleet starts nobody holds a right, and nobody offers to yet.
constexpr Duration kStartTime = std::chrono::seconds(5);
constexpr Duration kProofPause = std::chrono::milliseconds(120);  ///< After one without an answer.
/// What this daemon knows of the store's clock may lag by a slow answer.
constexpr std::int64_t kClockLagMs = 500;

/// A right's row: the owner's lease, and when the last order was sent by the store's clock.
struct RightValue {
  lease::LeaseId owner;            ///< Empty: given up.
  std::int64_t last_order_ms = 0;  ///< 0: not known.
};

constexpr char kRightSeparator = '|';

std::string encodeRight(const RightValue& value) {
  return value.owner.str() + kRightSeparator + std::to_string(value.last_order_ms);
}

RightValue decodeRight(const std::string& text) {
  RightValue value;
  const std::size_t separator = text.find(kRightSeparator);
  value.owner = lease::LeaseId(text.substr(0, separator));
  if (separator != std::string::npos) {
    value.last_order_ms = std::strtoll(text.c_str() + separator + 1, nullptr, 10);
  }
  return value;
}

const char* toText(LoadMode mode) {
  switch (mode) {
    case LoadMode::kWait:
      return "wait";
    case LoadMode::kCancel:
      return "cancel";
    case LoadMode::kRetain:
      return "retain";
  }
  return "unknown";
}

const char* toText(OrderAnswer answer) {
  switch (answer) {
    case OrderAnswer::kUnderWay:
      return "under_way";
    case OrderAnswer::kInForce:
      return "in_force";
    case OrderAnswer::kBusy:
      return "busy";
    case OrderAnswer::kFenced:
      return "fenced";
    case OrderAnswer::kRejected:
      return "rejected";
    case OrderAnswer::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

void OrderService::start() {
  spawn(deps_.loop, [this] { return tickLoop(); });
}

OrderService::Right& OrderService::rightOf(const routing::ServiceName& service) {
  auto& right = rights_[service];
  if (!right) {
    right = std::make_unique<Right>(options_.rollout);
    for (const auto& [model, version] : named_) right->rollout.onNamed(steadyNow(), model, version);
  }
  return *right;
}

bool OrderService::held(const Right& right) const {
  return right.revision > 0 && right.owner == deps_.leases.own();
}

Instant OrderService::mayOrderUntil(const Right& right) const {
  return right.confirmed_at + deps_.leases.times().validity;
}

std::size_t OrderService::rightsHeld() const {
  return static_cast<std::size_t>(std::count_if(
      rights_.begin(), rights_.end(), [this](const auto& each) { return held(*each.second); }));
}

void OrderService::onNamed(const ModelName& model, WeightVersion version) {
  WeightVersion& known = named_[model];
  if (version <= known) return;
  known = version;
  LogEvent("versions", "named")
      .text("model", model.str())
      .number("version", static_cast<std::int64_t>(version));
  for (auto& [service, right] : rights_) right->rollout.onNamed(steadyNow(), model, version);
}

void OrderService::onRightRow(const routing::ServiceName& service, const table::Row& row) {
  Right& right = rightOf(service);
  if (row.revision <= right.revision) return;
  const bool was_held = held(right);
  right.revision = row.revision;
  const RightValue value = decodeRight(row.value);
  right.owner = value.owner;
  right.last_order_ms = value.last_order_ms;
  right.vacant_since = Instant{};
  if (was_held && !held(right)) {
    right.rollout.reset();
    LogEvent("versions", "right_lost")
        .text("service", service.str())
        .text("to", row.value)
        .number("revision", static_cast<std::int64_t>(row.revision));
  }
}

void OrderService::onRightGone(const routing::ServiceName& service) {
  Right& right = rightOf(service);
  right.revision = 0;
  right.owner = lease::LeaseId();
}

Task<void> OrderService::tickLoop() {
  const Instant begun = steadyNow();
  for (;;) {
    const bool idle = !deps_.pool.offers() && !holdsAny() && steadyNow() - begun > kStartTime;
    co_await sleepFor(deps_.loop, idle ? kIdleTick : kTick);
    const routing::RouteTablePtr routes = deps_.routes();
    if (!routes || stopping_) continue;
    for (const auto& [name, service] : routes->services) {
      if (!service.models.empty()) tickService(steadyNow(), name);
    }
  }
}

void OrderService::tickService(Instant now, const routing::ServiceName& service) {
  Right& right = rightOf(service);
  if (held(right)) {
    const bool proof_due =
        now - right.confirmed_at >= deps_.leases.times().renewal - kTick && !right.confirming;
    if (proof_due) {
      right.confirming = true;
      spawn(deps_.loop, [this, service] { return confirm(service); });
    }
    if (now < right.may_order_at || now >= mayOrderUntil(right)) return;
    const auto engines = deps_.registry.ofService(service);
    open_work_by_model work = deps_.open_work();
    for (const auto& [model, version] : named_) work.try_emplace(model);
    for (VersionOrder& order : right.rollout.onTick(now, engines, work)) {
      spawn(deps_.loop, [this, service, order] { return sendOrder(service, order); });
    }
    for (const engines::EngineState* engine : right.rollout.reportsWanted()) {
      right.rollout.onReportAsked(now, engine->record.id);
      const EngineId id = engine->record.id;
      const Address address = engine->record.address;
      spawn(deps_.loop, [this, service, id, address] { return askReport(service, id, address); });
    }
    return;
  }
  if (!table_read_ || right.acquiring || !deps_.leases.storeHealthy()) return;
  const bool vacant = right.revision == 0 || deps_.leases.expired(right.owner);
  if (!vacant) return;
  if (right.vacant_since == Instant{}) right.vacant_since = now;
  const bool own = deps_.leases.isEarlierSelf(right.owner);
  if (!own && now - right.vacant_since < deps_.pool.courtesy(now, service.str())) return;
  right.acquiring = true;
  spawn(deps_.loop, [this, service] { return acquire(service); });
}

Task<void> OrderService::confirm(routing::ServiceName service) {
  Right& right = rightOf(service);
  const Revision token = right.revision;
  const Instant sent_at = steadyNow();
  table::Write write;
  write.transaction.checks.push_back({gateway::orderKey(service), token});
  write.transaction.puts.push_back(deps_.keeper.renewal());
  const auto answer = co_await deps_.table.write(std::move(write));
  if (answer && answer->committed && right.revision == token) {
    right.confirmed_at = sent_at;
    deps_.keeper.onRenewed(sent_at);
  }
  if (answer && !answer->committed) {
    const std::string& key = gateway::orderKey(service);
    const auto row = std::find_if(answer->conflicts.begin(), answer->conflicts.end(),
                                  [&key](const table::Row& each) { return each.key == key; });
    if (row != answer->conflicts.end()) onRightRow(service, *row);
  }
  if (!answer) {
    co_await sleepFor(deps_.loop, kProofPause);
  }
  right.confirming = false;
}

Duration OrderService::pauseAfter(const lease::LeaseId& from, std::int64_t last_order_ms) const {
  if (!from.empty()) {
    // It could order until its lease ran out, some time before others may take over.
    return options_.handover_pause - (deps_.leases.times().expiry - deps_.leases.times().validity);
  }
  const std::int64_t clock_ms = deps_.keeper.storeClock(steadyNow());
  if (last_order_ms == 0 || clock_ms == 0) return options_.handover_pause;
  const Duration since = std::chrono::milliseconds(clock_ms - last_order_ms);
  return std::clamp(options_.handover_pause - since, Duration::zero(), options_.handover_pause);
}

Task<void> OrderService::acquire(routing::ServiceName service) {
  Right& right = rightOf(service);
  const lease::LeaseId from = right.owner;
  const bool confirmed = co_await deps_.keeper.confirmSilent(from);
  if (!confirmed || right.owner != from) {
    right.acquiring = false;
    right.vacant_since = Instant{};
    co_return;
  }
  const Revision before = right.revision;
  const bool first = before == 0 || deps_.leases.isEarlierSelf(from);
  table::Write write;
  write.transaction.checks.push_back({gateway::orderKey(service), before});
  const std::int64_t last_order_ms = right.last_order_ms;
  write.transaction.puts.push_back(
      {gateway::orderKey(service), encodeRight({deps_.leases.own(), last_order_ms})});
  write.transaction.puts.push_back(deps_.keeper.renewal());
  const Instant sent_at = steadyNow();
  const auto answer = co_await deps_.table.write(std::move(write));
  right.acquiring = false;
  const bool done = answer.has_value() && answer->committed;
  LogEvent("versions", "right_asked")
      .text("service", service.str())
      .text("from", from.str())
      .number("before", static_cast<std::int64_t>(before))
      .text("outcome", done     ? "acquired"
                       : answer ? "taken_by_another"
                                : "no_answer");
  if (!done) {
    right.vacant_since = Instant{};
    co_return;
  }
  ++counts_.acquired;
  deps_.keeper.onRenewed(sent_at);
  right.confirmed_at = sent_at;
  right.may_order_at = steadyNow() + (first ? Duration::zero() : pauseAfter(from, last_order_ms));
  right.rollout.reset();
  if (answer->revision > right.revision) {
    right.revision = answer->revision;
    right.owner = deps_.leases.own();
  }
}

Task<void> OrderService::askReport(routing::ServiceName service, EngineId engine, Address address) {
  const auto report = co_await deps_.orders.report(engine, address);
  if (report) rightOf(service).rollout.onReport(steadyNow(), engine, *report);
}

Task<void> OrderService::sendOrder(routing::ServiceName service, VersionOrder order) {
  Right& right = rightOf(service);
  const Instant send_by = mayOrderUntil(right);
  if (!held(right) || steadyNow() >= send_by || stopping_) {
    right.rollout.onAnswer(steadyNow(), order, OrderAnswer::kBusy);
    co_return;
  }
  const FencingToken token = right.revision;
  ++counts_.sent;
  right.last_order_at = steadyNow();
  const OrderAnswer answer = co_await deps_.orders.send(order, deps_.holder, token, send_by);
  right.rollout.onAnswer(steadyNow(), order, answer);
  if (answer == OrderAnswer::kUnderWay) ++counts_.under_way;
  if (answer == OrderAnswer::kUnknown) ++counts_.unanswered;
  LogEvent("versions", "order_answered")
      .text("engine", order.engine.str())
      .text("model", order.model.str())
      .number("version", static_cast<std::int64_t>(order.version))
      .text("mode", toText(order.mode))
      .number("token", static_cast<std::int64_t>(token))
      .number("sequence", static_cast<std::int64_t>(order.expected_sequence.value_or(0)))
      .text("outcome", toText(answer));
}

Task<void> OrderService::handOver() {
  stopping_ = true;
  for (auto& [service, right] : rights_) {
    if (!held(*right)) continue;
    table::Write write;
    write.transaction.checks.push_back({gateway::orderKey(service), right->revision});
    const std::int64_t last_order_ms =
        right->last_order_at == Instant{}
            ? right->last_order_ms
            : deps_.keeper.storeClock(right->last_order_at) + kClockLagMs;
    write.transaction.puts.push_back(
        {gateway::orderKey(service), encodeRight({{}, last_order_ms})});
    right->owner = lease::LeaseId();
    co_await deps_.table.write(std::move(write));
  }
}

}  // namespace linenpier::versions
