#pragma once

/// @file
/// Tables and keys in the store. The coordination table, which every daemon watches, is small and
/// holds leader locks and jobs, which change rarely. Leases, which change continuously, and results
/// are kept in tables that are not watched.

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
/// Key prefix of the leader locks of services, whose holders order engines to load versions.
inline const std::string kServiceLockPrefix = "order/";

/// @return the row's key without its table.
inline std::string keyWithoutTable(const Row& row) {
  return row.key.substr(row.key.find('/') + 1);
}

inline std::string jobKey(const JobId& id) {
  return kCoordinationTable + "/" + kJobPrefix + id.str();
}
inline std::string leaseKey(const LeaseId& id) {
  return kLeaseTable + "/" + id.str();
}
inline std::string serviceLockKey(const ServiceName& service) {
  return kCoordinationTable + "/" + kServiceLockPrefix + service.str();
}
inline const std::string kLockPrefix = "right/";  ///< Key prefix of all other leader locks.
inline const std::string kUsageTable = "usage";
inline const std::string kClockTable = "clocks";
/// Table with the scaling record of each service.
inline const std::string kScalingTable = "scaling";
/// Key of the last report in the usage table.
inline const std::string kUsageProgress = "progress";
/// Table with the newest usage window that is closed. Not in the usage table, whose rows are
/// removed.
inline const std::string kUsageStateTable = "usage_state";
/// Key of the offset of cluster time in the coordination table.
inline const std::string kClusterTimeName = "clock";

/// Key prefix of requests during which engines crashed, in the coordination table.
inline const std::string kSuspectPrefix = "suspect/";

/// @param request the key of a request.
inline std::string suspectKey(const std::string& request) {
  return kCoordinationTable + "/" + kSuspectPrefix + request;
}
inline std::string lockKey(const std::string& name) {
  return kCoordinationTable + "/" + kLockPrefix + name;
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
/// Key prefix of all usage counts, without the table.
inline const std::string kUsageRowPrefix = "w/";
/// @return the key prefix of a window's counts, without the table.
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
/// @return the key of the row with the newest window to which no counts may be added.
inline std::string closedUsageKey() {
  return kUsageStateTable + "/closed";
}
/// @return the key, without the table, of one of a job's rows in the tables of results, checkpoints
/// and bodies. Keys sort in numeric order.
inline std::string numberedKey(const JobId& id, std::size_t number) {
  char digits[16];
  std::snprintf(digits, sizeof(digits), "%08zu", number);
  return id.str() + "/" + digits;
}
/// @return a key greater than all numbered keys of the job.
inline std::string numberedKeyEnd(const JobId& id) {
  return id.str() + "/~";
}
/// @return the name prefix of the objects that hold the job's results too large for a row.
inline std::string resultObjectPrefix(const JobId& id) {
  return "result-" + id.str() + "-";
}
inline std::string jobObjectName(const JobId& id) {
  return "job-" + id.str();
}

}  // namespace linenpier::table
