#include "gateway/batch/call_status.h"

namespace linenpier::batch {

namespace {
/// Value of the `Retry-After` field, in seconds. It is short, because a client should retry soon
/// even if it is unknown when the call can succeed.
constexpr const char* kRetryAfter = "0.3";
}  // namespace

Task<void> sendStatus(http::ResponseWriter& writer, const forward::field_names& names,
                      unsigned status, std::string body) {
  http::Response response(static_cast<boost::beast::http::status>(status), 11);
  if (status == kUnavailable || status == kUnknown) response.set(names.retry_after, kRetryAfter);
  response.body() = std::move(body);
  co_await writer.send(std::move(response));
}

}  // namespace linenpier::batch
