#pragma once

/// @file
/// Keys of what this product keeps in the store. One small table, watched whole by every daemon,
/// holds rights and jobs, which change seldom. Leases, which change all the time, and results lie
/// in tables that nobody watches.

#include <cstdio>
#include <string>

#include "common/ids.h"
#include "common/table_row.h"

namespace linenpier::table {

inline const std::string kCoordinationTable = "linenpier";
inline const std::string kLeaseTable = "leases";
inline const std::string kResultTable = "results";
inline const std::string kCheckpointTable = "checkpoints";
inline const std::string kBodyTable = "bodies";
inline const std::string kJobPrefix = "job/";
inline const std::string kOrderPrefix = "order/";

/// @return the row's key as the table's writers spell it.
inline std::string keyWithoutTable(const Row& row) {
  return row.key.substr(row.key.find('/') + 1);
}

inline std::string jobKey(const JobId& id) {
  return kCoordinationTable + "/" + kJobPrefix + id.str();
}
inline std::string leaseKey(const LeaseId& id) {
  return kLeaseTable + "/" + id.str();
}
inline std::string orderKey(const ServiceName& service) {
  return kCoordinationTable + "/" + kOrderPrefix + service.str();
}
inline const std::string kLockPrefix = "right/";  ///< Of rights to carry out duties.
inline const std::string kUsageTable = "usage";
inline const std::string kClockTable = "clocks";
/// A row a service: the last orders for a number of its engines.
inline const std::string kScalingTable = "scaling";
/// In the table of use: what was reported last.
inline const std::string kUsageProgress = "progress";
/// In the table that everybody watches: what true time is.
inline const std::string kClusterTimeName = "clock";

/// In the table that everybody watches: requests under which engines ended.
inline const std::string kSuspectPrefix = "suspect/";

/// @param request the key of a request, as text.
inline std::string suspectKey(const std::string& request) {
  return kCoordinationTable + "/" + kSuspectPrefix + request;
}
inline std::string lockKey(const std::string& duty) {
  return kCoordinationTable + "/" + kLockPrefix + duty;
}
inline std::string scalingKey(const ServiceName& service) {
  return kScalingTable + "/" + service.str();
}
inline std::string clusterTimeKey() {
  return kCoordinationTable + "/" + kClusterTimeName;
}
inline std::string clockSampleKey(const std::string& daemon) {
  return kClockTable + "/" + daemon;
}
/// What the keys of all counts begin with, without the table.
inline const std::string kUsageRowPrefix = "w/";
/// @return what the keys of all counts of a window begin with, without the table.
inline std::string usageWindowPrefix(std::int64_t window) {
  char digits[24];
  std::snprintf(digits, sizeof(digits), "%016lld", static_cast<long long>(window));
  return kUsageRowPrefix + digits + "/";
}
inline std::string usageKeyPrefix(std::int64_t window) {
  return kUsageTable + "/" + usageWindowPrefix(window);
}
inline std::string usageKey(std::int64_t window, const LeaseId& lease) {
  return usageKeyPrefix(window) + lease.str();
}
/// @return the key of a job's row within the tables of results, checkpoints and bodies, where each
///     job has many; they sort as the numbers do.
inline std::string numberedKey(const JobId& id, std::size_t number) {
  char digits[16];
  std::snprintf(digits, sizeof(digits), "%08zu", number);
  return id.str() + "/" + digits;
}
/// @return a key behind all of those.
inline std::string numberedKeyEnd(const JobId& id) {
  return id.str() + "/~";
}
/// @return what the names of all results of the job begin with that are too large for a row.
inline std::string resultObjectPrefix(const JobId& id) {
  return "result-" + id.str() + "-";
}
inline std::string jobObjectName(const JobId& id) {
  return "job-" + id.str();
}

}  // namespace linenpier::table
