#include "gateway/service/request_dispatcher.h"

#include "common/event_log.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

}  // namespace

Task<void> request_dispatcher::handle(http::Request& request, Instant received,
                                      http::ResponseWriter& writer) {
  const auto call = this->deps_.platform.parseBatchCall(request);
  const routing::ConfigurationPtr configuration = this->deps_.operator_feed.configuration();
  const std::string id = http::fieldText(request, this->deps_.platform.fieldNames().request_id);
  const tenants::caller from =
      configuration ? tenants::authenticate(*configuration, request) : tenants::caller{};
  // Without a configuration, API keys cannot be checked. Batch calls for public jobs need no key
  // and are still handled; all other requests are rejected below since no route is known.
  if (call && (configuration || this->deps_.batches.isPublic(call->job))) {
    co_await this->handleBatchCall(*call, from, id, writer);
    co_return;
  }
  const std::string path(request.target().substr(0, request.target().find('?')));
  const routing::Route* route =
      configuration ? configuration->find(http::fieldText(request, "Host"), path) : nullptr;
  if (route == nullptr) {
    co_await this->rejectPath(path, id, writer);
    co_return;
  }
  if (!from.admitted() && !route->is_public) {
    co_await this->rejectCaller(from, id, writer);
    co_return;
  }
  if (route->kind == routing::RequestKind::kBatch) {
    co_await this->deps_.batches.submit(*route, from, request, received, writer);
  } else {
    co_await this->deps_.forwarder.serve(configuration, *route, from, request, received, writer);
  }
}

Task<void> request_dispatcher::handleBatchCall(const BatchCall& call, const tenants::caller& from,
                                               const std::string& id,
                                               http::ResponseWriter& writer) {
  batch::batch_service& batches = this->deps_.batches;
  if (!from.admitted() && !batches.isPublic(call.job)) {
    const std::string& name = id.empty() ? call.job.str() : id;
    co_await this->rejectCaller(from, name, writer);
    co_return;
  }
  switch (call.kind) {
    case BatchCall::Kind::kReadResults:
      co_await batches.readResults(call.job, from, call.offset, call.max_wait, writer);
      break;
    case BatchCall::Kind::kReadItem:
      co_await batches.readItem(call.job, from, call.item, writer);
      break;
    case BatchCall::Kind::kEnd:
      co_await batches.end(call.job, from, writer);
      break;
  }
}

Task<void> request_dispatcher::rejectCaller(const tenants::caller& from, const std::string& id,
                                            http::ResponseWriter& writer) {
  const operator_feed& feed = this->deps_.operator_feed;
  const unsigned status = feed.authoritative() ? kUnauthorized : kUnavailable;
  this->deps_.metrics.onKeyRefused(tenants::toText(from.key_status));
  LogEvent("tenants", "key_refused")
      .text("request", id)
      .text("key", tenants::toText(from.key_status))
      .number("config", static_cast<std::int64_t>(feed.configurationVersion()))
      .number("status", status);
  http::Response response = this->deps_.forwarder.localReply(status, id);
  if (status == kUnauthorized) tenants::addChallenge(from.key_status, response);
  co_await writer.send(std::move(response));
}

Task<void> request_dispatcher::rejectPath(const std::string& path, const std::string& id,
                                          http::ResponseWriter& writer) {
  const operator_feed& feed = this->deps_.operator_feed;
  const unsigned status = feed.authoritative() ? kNotFound : kUnavailable;
  LogEvent("forward", "no_route")
      .text("request", id)
      .text("path", path)
      .number("config", static_cast<std::int64_t>(feed.configurationVersion()))
      .number("status", status);
  http::Response response = this->deps_.forwarder.localReply(status, id);
  co_await writer.send(std::move(response));
}

}  // namespace linenpier::gateway
