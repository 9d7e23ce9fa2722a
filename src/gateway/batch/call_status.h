#pragma once

/// @file
/// How calls about batch jobs are answered, as HTTP says it.

namespace linenpier::batch {

inline constexpr unsigned kOk = 200;
inline constexpr unsigned kAccepted = 202;  ///< The job is kept and will be run.
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kConflict = 409;     ///< The id is of another tenant's job.
inline constexpr unsigned kTooMany = 429;      ///< Nothing was or will be run.
inline constexpr unsigned kUnknown = 502;      ///< It may have been taken; ask again.
inline constexpr unsigned kUnavailable = 503;  ///< Nothing was or will be run.

}  // namespace linenpier::batch
