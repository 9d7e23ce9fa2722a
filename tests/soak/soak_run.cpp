#include "soak/soak_run.h"

#include <nlohmann/json.hpp>

#include "soak/soak_calls.h"

namespace linenpier::soak {

using nlohmann::json;

namespace {

constexpr Duration kFatalInterval = std::chrono::milliseconds(400);
/// About half a heartbeat interval.
constexpr Duration kEntryInterval = std::chrono::milliseconds(700);
/// Maximum duration of a fault. All faults have ended before the settle time begins.
constexpr Duration kMaxFaultDuration = std::chrono::milliseconds(3500);
/// From the end of the last fault until requests must be served again. Covers lease expiry,
/// detection of a store outage and the maximum backoff of an engine.
constexpr Duration kRecoveryTime = std::chrono::seconds(9);
constexpr Duration kRecoveryCheckTime = std::chrono::seconds(2);
constexpr Duration kStartTime = std::chrono::seconds(15);

}  // namespace

soak_run::soak_run(boost::asio::io_context& loop, const soak_options& options, std::ostream& out)
    : world_(loop, options, out),
      fatal_random_(options.seed + 2),
      jobs_(world_),
      connections_(world_),
      faults_(world_),
      responses_(world_) {}

void soak_run::start() {
  this->world_.makeEngines();
  this->world_.putConfiguration({});
  this->world_.makeGateways();
  this->world_.violateGuarantee();
  spawn(this->world_.loop, [this] { return this->run(); });
}

Task<void> soak_run::run() {
  const bool up = co_await this->waitForGateways();
  if (!up) this->world_.print("no gateway served in time");
  spawn(this->world_.loop, [this] { return this->callLoop(); });
  spawn(this->world_.loop, [this] { return this->fatalLoop(); });
  this->jobs_.start();
  this->connections_.start();
  spawn(this->world_.loop, [this] { return this->versionLoop(); });
  spawn(this->world_.loop, [this] { return this->engineEntryLoop(); });
  spawn(this->world_.loop, [this] { return this->malformedEntryLoop(); });
  this->faults_.start();
  this->responses_.start();
  co_await sleepFor(this->world_.loop, this->world_.options.length);
  this->world_.faults_enabled = false;
  co_await sleepFor(this->world_.loop, kMaxFaultDuration);
  co_await sleepFor(this->world_.loop, kRecoveryTime);
  this->succeeded_ = 0;
  this->sent_ = 0;
  co_await sleepFor(this->world_.loop, kRecoveryCheckTime);
  this->world_.checker.onSettled(this->succeeded_, this->sent_);
  this->world_.traffic_enabled = false;
  const Instant latest = steadyNow() + kJobTimeout;
  while (this->world_.open_jobs > 0 && steadyNow() < latest) {
    co_await sleepFor(this->world_.loop, kCallInterval);
  }
  co_await sleepFor(this->world_.loop, kCallTimeout);
  this->world_.recordRuns();
  this->world_.checker.finish();
  for (const std::string& each : this->world_.checker.violations())
    this->world_.print("violation " + each);
  this->world_.print("soak: seed " + std::to_string(this->world_.options.seed) + ", " +
                     std::to_string(this->world_.checker.requests()) + " requests, " +
                     std::to_string(this->world_.checker.items()) + " items, " +
                     std::to_string(this->faults_.count() + this->responses_.count()) +
                     " faults, " + std::to_string(this->world_.checker.crashes()) +
                     " engines ended, " + std::to_string(this->world_.store.rateLimited()) +
                     " writes rate-limited, " + std::to_string(this->world_.store.executedLate()) +
                     " late, " + std::to_string(this->violations()) + " violations");
  this->world_.loop.stop();
}

Task<bool> soak_run::waitForGateways() {
  const Instant latest = steadyNow() + kStartTime;
  for (std::size_t i = 0; i < this->world_.gateways.size(); ++i) {
    for (int attempt = 0;; ++attempt) {
      if (steadyNow() >= latest) co_return false;
      const std::string id = "start-" + std::to_string(i) + "-" + std::to_string(attempt);
      http::Request request = makeRequest(boost::beast::http::verb::post, "/look/1");
      request.set("Request-Id", id);
      request.prepare_payload();
      const http::CallOutcome outcome =
          co_await this->world_.call(i, std::move(request), kCallTimeout);
      const unsigned status = outcome.response.result_int();
      if (outcome.status == http::ExchangeStatus::kOk && status != 404) break;
      co_await sleepFor(this->world_.loop, kCallInterval);
    }
  }
  co_return true;
}

Task<void> soak_run::callLoop() {
  for (int i = 0; this->world_.traffic_enabled; ++i) {
    const bool at_most_once = i % 3 == 0;
    const std::string id = (at_most_once ? "once-" : "look-") + std::to_string(i);
    spawn(this->world_.loop,
          [this, id, at_most_once] { return this->sendLookup(id, at_most_once); });
    co_await sleepFor(this->world_.loop, kCallInterval);
  }
}

Task<void> soak_run::fatalLoop() {
  for (int i = 0; this->world_.traffic_enabled; ++i) {
    const std::string id = "fatal-" + std::to_string(i);
    // Unique bodies prevent the gateways from recognizing the request.
    const std::string what = this->world_.options.broken == "ends" ? id : "";
    spawn(this->world_.loop, [this, id, what] { return this->sendFatal(id, kFatalMark + what); });
    co_await sleepFor(this->world_.loop, kFatalInterval);
  }
}

Task<void> soak_run::sendFatal(std::string id, std::string body) {
  sent_request each{std::move(id), "/look/1", std::move(body), false};
  const std::size_t gateway = this->fatal_random_.below(this->world_.gateways.size());
  co_await this->send(std::move(each), gateway);
}

Task<void> soak_run::sendLookup(std::string id, bool at_most_once) {
  sent_request each;
  each.id = id;
  each.path = at_most_once ? "/once/1" : "/look/1";
  each.body = "body of " + id;
  each.at_most_once = at_most_once;
  ++this->sent_;
  const std::size_t count = this->world_.gateways.size();
  // Some clients repeat a refused request. The others make a single false refusal visible.
  const bool repeats = this->world_.call_random.below(4) == 0;
  const std::size_t gateway = this->world_.call_random.below(count);
  unsigned status = co_await this->send(each, gateway);
  if (repeats && isRefusal(status)) {
    const std::size_t other = anotherGateway(this->world_.call_random, gateway, count);
    status = co_await this->send(each, other);
  }
  if (status == 200) ++this->succeeded_;
}

Task<unsigned> soak_run::send(sent_request each, std::size_t gateway) {
  http::Request request = makeRequest(boost::beast::http::verb::post, each.path);
  request.set("Request-Id", each.id);
  request.set("Deadline-Ms", "1000");
  request.body() = each.body;
  request.prepare_payload();
  this->world_.checker.onSent(each.id, each.at_most_once);
  const http::CallOutcome outcome =
      co_await this->world_.call(gateway, std::move(request), kCallTimeout);
  if (outcome.status != http::ExchangeStatus::kOk) co_return 0;
  const unsigned status = outcome.response.result_int();
  this->world_.checker.onResponse(each.id, status,
                                  http::fieldText(outcome.response, "Response-Signature"),
                                  outcome.response.body());
  co_return status;
}

Task<void> soak_run::versionLoop() {
  for (int version = 2; this->world_.traffic_enabled; ++version) {
    co_await sleepFor(this->world_.loop, std::chrono::seconds(4));
    const json named = {{"model", "m"}, {"version", version}};
    this->world_.store.put("op", "version/m", named.dump());
  }
}

Task<void> soak_run::engineEntryLoop() {
  std::map<std::string, std::uint64_t> published_versions;
  for (;;) {
    co_await sleepFor(this->world_.loop, kEntryInterval);
    for (const auto& engine : this->world_.model_engines) {
      std::uint64_t& version = published_versions[engine->id()];
      if (std::exchange(version, engine->version()) == engine->version()) continue;
      const std::string service = engine->id().starts_with("model") ? "models" : "second";
      this->world_.store.put("servers", engine->id(), engine->entry(service));
    }
  }
}

Task<void> soak_run::malformedEntryLoop() {
  const json valid = json::parse(this->world_.unregistered_engine->entry("desk"));
  const std::map<std::string, json> malformed_fields = {
      {"state", nullptr}, {"slots", 0}, {"zone", 7}, {"born", 1.5}, {"models", "none"}};
  while (this->world_.traffic_enabled) {
    for (const auto& [field, value] : malformed_fields) {
      json entry = valid;
      if (this->world_.options.broken != "entry") entry[field] = value;
      this->world_.store.put("servers", "stray", entry.dump());
      this->world_.store.put("servers", "unreadable", "\xff\xfe{");
      co_await sleepFor(this->world_.loop, kEntryInterval);
    }
  }
}

}  // namespace linenpier::soak
