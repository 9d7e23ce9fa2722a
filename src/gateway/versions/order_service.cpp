#include "gateway/versions/order_service.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::versions {

using logging::LogEvent;

namespace {

constexpr Duration kTick = std::chrono::milliseconds(60);
/// At a daemon that holds no right and is not the first to take one.
constexpr Duration kIdleTick = std::chrono::milliseconds(250);
/// When a fleet starts nobody holds a right, and nobody offers to yet.
constexpr Duration kStartTime = std::chrono::seconds(5);

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

OrderService::Right::Right(const lease::leader_lock::dependencies& deps, const ServiceName& service,
                           const OrderOptions& options)
    : rollout(options.rollout),
      right(deps, "order/" + service.str(), table::orderKey(service), options.handover,
            [this](bool) { rollout.reset(); }) {}

OrderService::Right& OrderService::rightOf(const ServiceName& service) {
  auto& right = rights_[service];
  if (!right) {
    const lease::leader_lock::dependencies deps{deps_.loop, deps_.table, deps_.leases, deps_.keeper,
                                                deps_.pool};
    right = std::make_unique<Right>(deps, service, options_);
    for (const auto& [model, version] : named_) right->rollout.onNamed(steadyNow(), model, version);
  }
  return *right;
}

std::size_t OrderService::rightsHeld() const {
  return static_cast<std::size_t>(std::count_if(
      rights_.begin(), rights_.end(), [](const auto& each) { return each.second->right.held(); }));
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

void OrderService::onRightRow(const ServiceName& service, const table::Row& row) {
  rightOf(service).right.onRow(row);
}

void OrderService::onRightGone(const ServiceName& service) {
  rightOf(service).right.onGone();
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

void OrderService::tickService(Instant now, const ServiceName& service) {
  Right& right = rightOf(service);
  right.right.onTick(now, table_read_);
  if (!right.right.mayAct(now)) return;
  const engines::engine_list& engines = deps_.registry.ofService(service);
  open_work_by_model work = deps_.open_work();
  for (const auto& [model, version] : named_) work.try_emplace(model);
  const std::set<EngineId> awaited = deps_.awaited ? deps_.awaited(now) : std::set<EngineId>();
  for (VersionOrder& order : right.rollout.onTick(now, engines, work, awaited)) {
    spawn(deps_.loop, [this, service, order] { return sendOrder(service, order); });
  }
  for (const engines::engine_state* engine : right.rollout.reportsWanted()) {
    right.rollout.onReportAsked(now, engine->record.id);
    const EngineId id = engine->record.id;
    const Address address = engine->record.address;
    spawn(deps_.loop, [this, service, id, address] { return askReport(service, id, address); });
  }
}

Task<void> OrderService::askReport(ServiceName service, EngineId engine, Address address) {
  const auto report = co_await deps_.orders.report(engine, address);
  if (report) rightOf(service).rollout.onReport(steadyNow(), engine, *report);
}

Task<void> OrderService::sendOrder(ServiceName service, VersionOrder order) {
  Right& right = rightOf(service);
  const Instant send_by = right.right.mayActUntil();
  if (!right.right.mayAct(steadyNow()) || stopping_) {
    right.rollout.onAnswer(steadyNow(), order, OrderAnswer::kBusy);
    co_return;
  }
  const FencingToken token = right.right.token();
  ++counts_.sent;
  right.right.onActed(steadyNow());
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
    co_await right->right.handOver();
  }
}

}  // namespace linenpier::versions
