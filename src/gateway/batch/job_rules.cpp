#include "gateway/batch/job_rules.h"

#include <algorithm>

#include "gateway/batch/active_job.h"

namespace linenpier::batch {

namespace {
/// Results that are read this long after they are due count as in time, less what the way to the
/// reader takes. A step that is complete by then is read in one piece.
constexpr Duration kDueGrace = std::chrono::milliseconds(450);
/// Items are given up this long after the route's queue limit.
constexpr Duration kTerminationSlack = std::chrono::milliseconds(1500);
constexpr Duration kDefaultQueueLimit = std::chrono::seconds(30);  ///< Without a route.
}  // namespace

const routing::Route* routeOf(const job_record& record, const routing::RouteTablePtr& table) {
  return table ? table->find(record.host, record.path) : nullptr;
}

run_rules rulesFor(const routing::Route* route, Instant accepted_at) {
  run_rules rules;
  rules.terminate_at = accepted_at + kTerminationSlack + kDefaultQueueLimit;
  if (route != nullptr) {
    rules.terminate_at = accepted_at + kTerminationSlack + route->queue_limit;
    rules.max_failures = std::max(1, route->max_attempts);
    rules.single_version = route->single_version;
  }
  return rules;
}

void applyRules(active_job& active, const routing::RouteTablePtr& table) {
  const routing::Route* route = routeOf(active.record, table);
  active.run.setRules(rulesFor(route, active.accepted_at));
  if (route == nullptr) return;
  active.schedule.setDue(active.accepted_at + route->target_finish + kDueGrace);
}

}  // namespace linenpier::batch
