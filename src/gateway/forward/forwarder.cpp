#include "gateway/forward/forwarder.h"

namespace linenpier::forward {

Task<void> Forwarder::serve(routing::RouteTablePtr table, const routing::Route& route,
                            tenants::caller from, const http::Request& request, Instant received,
                            http::ResponseWriter& writer) {
  const auto shared = std::make_shared<forwarded_request>();
  forwarded_request& forwarded = *shared;
  forwarded.table = std::move(table);
  forwarded.route = &route;
  forwarded.request = &request;
  forwarded.from = std::move(from);
  forwarded.id = http::fieldText(request, context_.names.request_id);
  forwarded.received = received;
  forwarded.deadline = deadlineOf(context_.names, route, request, received);
  if (route.kind == routing::RequestKind::kStreaming) {
    co_await serveStream(forwarded, writer);
  } else {
    co_await servePlain(shared, writer);
  }
}

}  // namespace linenpier::forward
