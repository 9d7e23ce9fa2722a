#pragma once

/** @file
 * Data residency of batch jobs: in which regions a job may be owned and its items served, by the
 * newest routing table. Decides nothing about who owns a job; see `job_ownership`.
 */

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "gateway/batch/batch_types.h"
#include "gateway/engines/engine_registry.h"
#include "gateway/fleet/data_residency.h"
#include "gateway/lease/owner_pool.h"
#include "gateway/routing/route_table.h"

namespace linenpier::batch {

struct active_job;

/** @return regions for a log line: "anywhere", "nowhere", or their names. */
std::string namesOf(const fleet::data_residency& residency);
/** The same of a residency that may not be known: "not_known". */
std::string namesOf(const std::optional<fleet::data_residency>& residency);

/** @return the routes of items and scorers that are not the job's own. */
std::set<RouteName> otherRoutes(const routing::RouteTable& table, const routing::Route& route,
                                const std::string& host, const batch_job& job);

/** Holds no state of its own. Loop thread only. */
class job_residency {
 public:
  struct dependencies {
    engines::engine_registry& registry;
    const lease::owner_pool& pool;
    std::function<routing::RouteTablePtr()> routes;  ///< Empty before the first.
  };

  explicit job_residency(dependencies deps) : deps_(std::move(deps)) {}

  /** @return where the job may be; nothing before there is a configuration. */
  std::optional<fleet::data_residency> of(const job_record& record) const;
  /** @return where an item of the job may be served. */
  fleet::data_residency ofItem(const active_job& active, std::size_t item,
                               const routing::RouteTable& table, const routing::Route& route) const;
  RegionName ownRegion() const;
  /** @return whether the job may be owned by this daemon. */
  bool mayOwn(const job_record& record) const;
  /** @return whether the job may be owned somewhere, and an engine of the route's service is where
   *     its items may be.
   */
  bool servedWithinResidency(const routing::Route& route, const job_record& record) const;

 private:
  dependencies deps_;
};

}  // namespace linenpier::batch
