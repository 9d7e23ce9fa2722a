#include "gateway/forward/local_replies.h"

#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace linenpier::forward {

namespace {

constexpr unsigned kHttp11 = 11;
constexpr unsigned kTooManyRequestsStatus = 429;
constexpr unsigned kNotRunStatus = 503;
constexpr unsigned kMayHaveRunStatus = 502;
constexpr unsigned kDeadlineExceededStatus = 504;

/** @return the value of Retry-After, in fractional seconds. */
std::string secondsText(Duration duration) {
  char seconds[16];
  std::snprintf(seconds, sizeof(seconds), "%.2f", toSeconds(duration));
  return seconds;
}

}  // namespace

unsigned statusOf(LocalReply reply) {
  switch (reply) {
    case LocalReply::kNotRun:
      return kNotRunStatus;
    case LocalReply::kMayHaveRun:
      return kMayHaveRunStatus;
    case LocalReply::kDeadlineExceeded:
      return kDeadlineExceededStatus;
  }
  return kMayHaveRunStatus;
}

http::Response local_replies::make(unsigned status, const std::string& id) const {
  http::Response response(static_cast<boost::beast::http::status>(status), kHttp11);
  if (!id.empty()) response.set(this->names_.request_id, id);
  if (status == kNotRunStatus || status == kTooManyRequestsStatus) {
    response.set(this->names_.retry_after, secondsText(this->options_.retry_after));
  }
  return response;
}

http::Response local_replies::makeFinal(forwarded_request& forwarded, LocalReply reply) const {
  http::Response response = this->make(statusOf(reply), forwarded.id);
  const bool closed = forwarded.refusals.mostFrequent() == engines::AdmissionFailure::kZoneClosed;
  if (closed && reply == LocalReply::kNotRun) {
    response.set(this->names_.retry_after, secondsText(this->options_.retry_after_closed));
  }
  if (forwarded.key) {
    forwarded.admission = this->suspects_.admissionOf(*forwarded.key);
  }
  // Retry-After is also set on 502 and 504, since an earlier retry would be rejected. A suspect
  // that is running now may be cleared soon, so its caller may retry after the usual delay.
  const bool running = forwarded.admission.state == suspects::AdmissionState::kRunning;
  if (!running && forwarded.admission.retry_after > this->options_.retry_after) {
    response.set(this->names_.retry_after, secondsText(forwarded.admission.retry_after));
  }
  return response;
}

}  // namespace linenpier::forward
