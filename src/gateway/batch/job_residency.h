#pragma once

/** @file
 * Data residency of batch jobs: the regions in which a job may be owned, and those in which its
 * items may be served, according to the newest routing table. `job_ownership` manages ownership
 * itself.
 */

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "gateway/batch/batch_types.h"
#include "gateway/engines/engine_registry.h"
#include "gateway/fleet/data_residency.h"
#include "gateway/lease/owner_pool.h"
#include "gateway/routing/configuration.h"

namespace linenpier::batch {

struct active_job;

/** @return the regions for the log: "anywhere", "nowhere", or their names. */
std::string namesOf(const fleet::data_residency& residency);
/** @return the same; "not_known" if the residency is unknown. */
std::string namesOf(const std::optional<fleet::data_residency>& residency);

/** @return the routes of items and scorers that differ from the job's route. */
std::set<RouteName> otherRoutes(const routing::Configuration& table, const routing::Route& route,
                                const std::string& host, const batch_job& job);

/** The class is stateless and must be used from the event loop thread only. */
class job_residency {
 public:
  struct dependencies {
    engines::engine_registry& registry;
    const lease::owner_pool& pool;
    std::function<routing::ConfigurationPtr()> routes;  ///< Null before the first table is loaded.
  };

  explicit job_residency(dependencies deps) : deps_(std::move(deps)) {}

  /** @return where the job may be owned; nothing before the first table is loaded. */
  std::optional<fleet::data_residency> of(const job_record& record) const;
  /** @return where an item of the job may be served. */
  fleet::data_residency ofItem(const active_job& active, std::size_t item,
                               const routing::Configuration& table,
                               const routing::Route& route) const;
  RegionName ownRegion() const;
  /** @return whether this daemon may own the job. */
  bool mayOwn(const job_record& record) const;
  /** @return whether the job can run within its residency: it may be owned in some region, and the
   *     one of the route's services has an engine that may serve its items.
   */
  bool servedWithinResidency(const routing::Route& route, const job_record& record) const;

 private:
  dependencies deps_;
};

}  // namespace linenpier::batch
