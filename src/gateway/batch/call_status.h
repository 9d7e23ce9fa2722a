#pragma once

/** @file
 * Local replies to calls about batch jobs: their statuses, and how they are sent.
 */

#include <string>

#include "common/task.h"
#include "gateway/forward/field_names.h"
#include "gateway/http/server.h"

namespace linenpier::batch {

inline constexpr unsigned kOk = 200;
inline constexpr unsigned kAccepted = 202;  ///< The job is kept and will be run.
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kConflict = 409;     ///< The id is of another tenant's job.
inline constexpr unsigned kUnknown = 502;      ///< It may have been taken; ask again.
inline constexpr unsigned kUnavailable = 503;  ///< Nothing was or will be run.

/** Sends a local reply; with `Retry-After` where the call should be sent again. */
Task<void> sendStatus(http::ResponseWriter& writer, const forward::field_names& names,
                      unsigned status, std::string body);

}  // namespace linenpier::batch
