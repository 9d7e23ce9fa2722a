#include "soak/soak_connections.h"

#include <algorithm>

#include "soak/soak_calls.h"

namespace linenpier::soak {

namespace {

constexpr std::size_t kClientsPerGateway = 6;
/// Longest pause between two requests; shorter than the idle timeout of the gateways.
constexpr std::uint64_t kMaxPauseMs = 1500;
/// Pause after a connection has failed.
constexpr Duration kReconnectDelay = std::chrono::milliseconds(100);
constexpr Duration kStreamTimeout = std::chrono::seconds(6);
constexpr Duration kSlowTimeout = std::chrono::seconds(10);
/// From the signal until idle connections are closed, and some time for that.
constexpr Duration kClosedAfterStop = std::chrono::seconds(4);
/// From the signal until a process that has not ended is killed, and some time for that.
constexpr Duration kGracePeriod = std::chrono::seconds(9);
/// Every how many requests, on average, one is slow.
constexpr std::uint64_t kSlowInterval = 6;
/// Every how many of the others, on average, one is an upload.
constexpr std::uint64_t kUploadInterval = 6;
/// Every how many requests, on average, one is for a stream.
constexpr std::uint64_t kStreamInterval = 3;

}  // namespace

soak_connections::soak_connections(soak_world& world) : world_(world) {}

void soak_connections::start() {
  for (std::size_t gateway = 0; gateway < this->world_.gateways.size(); ++gateway) {
    for (std::size_t i = 0; i < kClientsPerGateway; ++i) {
      const std::uint64_t seed = this->world_.options.seed * 1000 + this->clients_.size();
      this->clients_.push_back(std::make_unique<client>(this->world_.loop, gateway, seed));
      client* each = this->clients_.back().get();
      spawn(this->world_.loop, [this, each] { return this->run(each); });
    }
  }
}

Task<void> soak_connections::run(client* each) {
  while (this->world_.traffic_enabled) {
    const auto pause = std::chrono::milliseconds(each->random.below(kMaxPauseMs));
    co_await sleepFor(this->world_.loop, pause);
    const std::string id = std::to_string(this->sent_++);
    if (each->random.below(kStreamInterval) == 0) {
      co_await this->sendStream(each, "stream-" + id);
      continue;
    }
    const RequestKind kind = this->drawKind(each);
    const http::ExchangeStatus status = co_await this->sendOnce(each, "kept-" + id, kind);
    if (status != http::ExchangeStatus::kOk) co_await sleepFor(this->world_.loop, kReconnectDelay);
  }
}

soak_connections::RequestKind soak_connections::drawKind(client* each) const {
  if (each->random.below(kSlowInterval) == 0) return RequestKind::kSlow;
  if (each->random.below(kUploadInterval) == 0) return RequestKind::kUpload;
  return RequestKind::kUsual;
}

Task<http::CallOutcome> soak_connections::call(client* each, http::Request request,
                                               Duration timeout) {
  const Address front = this->world_.gateways.at(each->gateway).front_address;
  const std::uint64_t opened = each->pool.opened();
  const Instant sent_at = steadyNow();
  http::CallOutcome outcome =
      co_await http::call(each->pool, front, std::move(request), sent_at + timeout);
  if (each->pool.opened() != opened) each->connected_at = sent_at;
  co_return outcome;
}

Task<http::ExchangeStatus> soak_connections::sendOnce(client* each, std::string id,
                                                      RequestKind kind) {
  const bool slow = kind == RequestKind::kSlow;
  http::Request request = makeRequest(boost::beast::http::verb::post, slow ? "/slow/1" : "/once/1");
  request.set("Request-Id", id);
  request.set("Deadline-Ms", slow ? "9000" : "1000");
  request.body() = "body of " + id;
  if (kind == RequestKind::kUpload) request.body().resize(kUploadBytes, 'u');
  request.prepare_payload();
  this->world_.checker.onSent(id, true);
  const Instant sent_at = steadyNow();
  const http::CallOutcome outcome =
      co_await this->call(each, std::move(request), slow ? kSlowTimeout : kCallTimeout);
  if (outcome.status == http::ExchangeStatus::kOk) {
    this->world_.checker.onResponse(id, outcome.response.result_int(),
                                    http::fieldText(outcome.response, "Response-Signature"),
                                    outcome.response.body());
    this->checkStops(*each, id, sent_at);
  }
  const gateway_links& links = this->world_.gateways.at(each->gateway);
  // A process that was suspended during its stop may be killed at the end of the grace period.
  const bool killed = links.killed_at >= sent_at || steadyNow() - links.frozen_at < kGracePeriod;
  if (outcome.status == http::ExchangeStatus::kBroken && !killed)
    this->world_.checker.onConnectionEnded(id, each->gateway);
  co_return outcome.status;
}

void soak_connections::checkStops(const client& each, const std::string& id, Instant sent_at) {
  const gateway_links& links = this->world_.gateways.at(each.gateway);
  const auto stop = std::find_if(links.stops.begin(), links.stops.end(),
                                 [&each](Instant at) { return at > each.connected_at; });
  // A process that was suspended in the meantime closes its connections later.
  if (stop == links.stops.end() || links.frozen_at > *stop) return;
  if (sent_at - *stop > kClosedAfterStop)
    this->world_.checker.onLateResponse(id, each.gateway, toSeconds(sent_at - *stop));
}

Task<void> soak_connections::sendStream(client* each, std::string id) {
  http::Request request = makeRequest(boost::beast::http::verb::post, "/talk/1");
  request.set("Request-Id", id);
  request.prepare_payload();
  co_await this->call(each, std::move(request), kStreamTimeout);
}

}  // namespace linenpier::soak
