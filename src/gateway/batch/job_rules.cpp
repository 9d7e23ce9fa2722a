#include "gateway/batch/job_rules.h"

#include <algorithm>

#include "gateway/batch/active_job.h"

namespace linenpier::batch {

namespace {
/// Added to the route's target finish time to get the time at which results are due. A step that
/// completes within this time after the target is still on time and can be read in one page. The
/// value leaves time for the results to reach the reader.
constexpr Duration kDueGrace = std::chrono::milliseconds(450);
/// Added to the route's queue limit to get the time after which unfinished items are terminated.
constexpr Duration kTerminationSlack = std::chrono::milliseconds(1500);
/// Queue limit of a job without a route.
constexpr Duration kDefaultQueueLimit = std::chrono::seconds(30);
}  // namespace

const routing::Route* routeOf(const job_record& record, const routing::ConfigurationPtr& table) {
  return table ? table->find(record.host, record.path) : nullptr;
}

run_rules rulesFor(const routing::Route* route, Instant accepted_at) {
  run_rules rules;
  rules.terminate_at = accepted_at + kTerminationSlack + kDefaultQueueLimit;
  if (route != nullptr) {
    rules.terminate_at = accepted_at + kTerminationSlack + route->max_item_age;
    rules.max_failures = std::max(1, route->max_attempts);
    rules.single_version = route->single_version;
  }
  return rules;
}

void applyRules(active_job& active, const routing::ConfigurationPtr& table) {
  const routing::Route* route = routeOf(active.record, table);
  active.run.setRules(rulesFor(route, active.accepted_at));
  if (route == nullptr) return;
  active.schedule.setDue(active.accepted_at + route->target_finish + kDueGrace);
}

}  // namespace linenpier::batch
