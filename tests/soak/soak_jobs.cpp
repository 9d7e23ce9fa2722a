#include "soak/soak_jobs.h"

#include <nlohmann/json.hpp>

#include "base64.h"
#include "soak/soak_calls.h"

namespace linenpier::soak {

using nlohmann::json;

namespace {

constexpr int kItems = 8;
/// Enough items for several appends before the results are published.
constexpr int kHeldBackItems = 40;
/// Every how many jobs one has an item under which engines crash.
constexpr int kUnluckyInterval = 12;
/// Late writes are executed within this time.
constexpr std::uint64_t kMaxReadDelayMs = 6000;
constexpr int kMaxAttempts = 4;
constexpr Duration kJobInterval = std::chrono::milliseconds(900);
constexpr Duration kOverloadJobInterval = std::chrono::milliseconds(150);
constexpr Duration kJobRetryDelay = std::chrono::milliseconds(300);
constexpr Duration kJobCallTimeout = std::chrono::milliseconds(4500);
/// After this time every daemon must know an accepted job.
constexpr Duration kJobVisibilityDelay = std::chrono::seconds(1);

/// @return the number of attempts to submit a job. Half of the jobs are submitted once: for these,
/// a single false refusal breaks the promise.
int drawAttempts(Random& random) {
  if (random.below(2) == 0) return 1;
  return 2 + static_cast<int>(random.below(kMaxAttempts - 1));
}

}  // namespace

void soak_jobs::start() {
  spawn(this->world_.loop, [this] { return this->jobLoop(); });
}

Task<void> soak_jobs::jobLoop() {
  for (int step = 0; this->world_.traffic_enabled; ++step) {
    job each;
    each.id = "job-" + std::to_string(step);
    each.held_back = step % 2 == 0;
    each.unlucky = step % kUnluckyInterval == kUnluckyInterval / 2;
    if (each.unlucky) this->world_.beginUnluckyItem();
    const int items = each.held_back ? kHeldBackItems : kItems;
    for (int i = 0; i < items; ++i) each.items.push_back(each.id + "-" + std::to_string(i));
    this->world_.checker.onJobSent(each.id, each.items);
    ++this->world_.open_jobs;
    spawn(this->world_.loop, [this, each] { return this->runJob(each); });
    co_await sleepFor(this->world_.loop,
                      this->world_.overloaded ? kOverloadJobInterval : kJobInterval);
  }
}

Task<void> soak_jobs::runJob(job each) {
  const bool accepted = co_await this->submitJob(&each);
  if (accepted) {
    if (this->world_.options.broken == "job") {
      this->world_.store.remove("linenpier", "job/" + each.id);
    }
    const std::size_t first = this->world_.call_random.below(this->world_.gateways.size());
    const std::size_t second = this->world_.call_random.below(this->world_.gateways.size());
    const bool valid = co_await this->readAllResults(each, first);
    // Read again, possibly from another daemon: the results at each position must not change.
    if (valid) {
      co_await this->readAllResults(each, second);
      if (each.held_back) co_await this->readAgain(each);
      co_await this->endJob(each.id);
    }
  }
  --this->world_.open_jobs;
}

Task<bool> soak_jobs::submitJob(job* each) {
  json requests = json::array();
  for (std::size_t i = 0; i < each->items.size(); ++i) {
    requests.push_back({{"id", each->items[i]},
                        {"path", "/jobs/" + std::to_string(i)},
                        {"headers", {{"Model", "m"}, {"Length-Hint", "100"}}},
                        {"body", platform_adapter::encodeBase64(
                                     each->unlucky && i == 0 ? kUnluckyMark : "prompt")},
                        {"tokens", 200},
                        {"group", "g" + std::to_string(i / 2)}});
  }
  json document = {{"model", "m"}, {"minVersion", 1}, {"requests", requests}};
  if (each->held_back) document["desired"] = each->items.size() / 2;
  const std::string body = document.dump();
  const int attempts = drawAttempts(this->world_.call_random);
  std::size_t gateway = this->world_.call_random.below(this->world_.gateways.size());
  for (int attempt = 0; attempt < attempts; ++attempt) {
    http::Request request = makeRequest(boost::beast::http::verb::post, "/jobs/x");
    request.set("Request-Id", each->id);
    request.body() = body;
    request.prepare_payload();
    this->world_.checker.onJobAttempt(each->id);
    const http::CallOutcome outcome =
        co_await this->world_.call(gateway, std::move(request), kJobCallTimeout);
    unsigned status =
        outcome.status == http::ExchangeStatus::kOk ? outcome.response.result_int() : 0;
    // What the trainer sees of a gateway that refuses a job after writing it.
    if (status == 202 && this->world_.options.broken == "refused_job") status = 503;
    if (status == 202) {
      each->accepted_at = steadyNow();
      this->world_.checker.onJobAccepted(each->id);
      co_return true;
    }
    // Without a connection the job was not sent.
    const bool refused = status == 429 || status == 503;
    if (!outcome.sent || refused) this->world_.checker.onJobAttemptRefused(each->id);
    co_await sleepFor(this->world_.loop, kJobRetryDelay);
    gateway = anotherGateway(this->world_.call_random, gateway, this->world_.gateways.size());
  }
  co_return false;
}

Task<void> soak_jobs::endJob(std::string id) {
  const Instant latest = steadyNow() + kJobTimeout;
  while (steadyNow() < latest) {
    http::Request request = makeRequest(boost::beast::http::verb::delete_, "/linenpier/lots/" + id);
    const std::size_t gateway = this->world_.call_random.below(this->world_.gateways.size());
    const http::CallOutcome outcome =
        co_await this->world_.call(gateway, std::move(request), kJobCallTimeout);
    const bool ended =
        outcome.status == http::ExchangeStatus::kOk && outcome.response.result_int() == 200;
    if (ended) co_return;
    co_await sleepFor(this->world_.loop, kCallInterval);
  }
}

Task<bool> soak_jobs::readAllResults(job each, std::size_t gateway) {
  const Instant latest = steadyNow() + kJobTimeout;
  std::size_t position = 0;
  while (position < each.items.size()) {
    if (steadyNow() >= latest) co_return false;
    const auto next = co_await this->readPage(each, position, gateway);
    if (next) {
      position = *next;
      continue;
    }
    gateway = this->world_.call_random.below(this->world_.gateways.size());
    co_await sleepFor(this->world_.loop, kCallInterval);
  }
  co_return true;
}

Task<void> soak_jobs::readAgain(job each) {
  co_await sleepFor(this->world_.loop,
                    std::chrono::milliseconds(this->world_.call_random.below(kMaxReadDelayMs)));
  for (std::size_t gateway = 0; gateway < this->world_.gateways.size(); ++gateway)
    co_await this->readAllResults(each, gateway);
}

Task<std::optional<std::size_t>> soak_jobs::readPage(job each, std::size_t position,
                                                     std::size_t gateway) {
  http::Request request =
      makeRequest(boost::beast::http::verb::get,
                  "/linenpier/lots/" + each.id + "?afterRev=" + std::to_string(position));
  request.set("Wait-Ms", "500");
  const Instant asked_at = steadyNow();
  const http::CallOutcome outcome =
      co_await this->world_.call(gateway, std::move(request), kCallTimeout);
  if (outcome.status != http::ExchangeStatus::kOk) co_return std::nullopt;
  const bool denied = outcome.response.result_int() == 404;
  if (denied && asked_at > each.accepted_at + kJobVisibilityDelay)
    this->world_.checker.onJobDenied(each.id);
  if (outcome.response.result_int() != 200) co_return std::nullopt;
  const json page = json::parse(outcome.response.body());
  for (const json& entry : page["results"]) {
    read_result result;
    result.item = entry["id"];
    result.state = entry["state"];
    result.text = entry.value("text", "");
    for (const json& version : entry.value("versions", json::array())) {
      result.versions.insert(version.get<std::uint64_t>());
    }
    this->world_.recordRuns();
    this->world_.checker.onResult(each.id, position++, result);
  }
  co_return position;
}

}  // namespace linenpier::soak
