#include "gateway/forward/forwarder.h"

#include "gateway/forward/stream_session.h"

namespace linenpier::forward {

forwarder::forwarder(boost::asio::io_context& loop, engine_call_context engines,
                     routing::weighted_round_robin& round_robin, metrics::GatewayMetrics& metrics,
                     usage::usage_recorder& recorder, suspects::suspect_tracker& suspects)
    : picker_(engines.registry, engines.names, round_robin),
      admission_(suspects),
      replies_(engines.names, suspects, {}),
      log_(engines.registry, metrics),
      runs_(engines.registry, recorder),
      context_{loop, engines, picker_, admission_, replies_, log_, runs_, {}},
      unary_(context_) {}

Task<void> forwarder::serve(routing::ConfigurationPtr table, const routing::Route& route,
                            tenants::caller caller, const http::Request& request, Instant received,
                            http::ResponseWriter& writer) {
  const field_names& names = this->context_.engines.names;
  const auto forwarded = std::make_shared<forwarded_request>();
  forwarded->table = std::move(table);
  forwarded->route = &route;
  forwarded->request = &request;
  forwarded->caller = std::move(caller);
  forwarded->id = http::fieldText(request, names.request_id);
  forwarded->received = received;
  forwarded->deadline = deadlineOf(names, route, request, received);
  if (route.kind == routing::RequestKind::kStreaming) {
    stream_session session(this->context_, *forwarded, writer);
    co_await session.run();
  } else {
    co_await this->unary_.serve(forwarded, writer);
  }
}

Task<internal_outcome> forwarder::send(internal_request request) {
  return this->unary_.send(std::move(request));
}

}  // namespace linenpier::forward
