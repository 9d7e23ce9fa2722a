#include "gateway/batch/job_rules.h"

#include <algorithm>

#include "gateway/batch/active_job.h"

namespace linenpier::batch {

namespace {
/// Results read up to this long after their due time still count as on time. Waiting for it lets a
/// step that is complete by then be read in one page.
constexpr Duration kDueGrace = std::chrono::milliseconds(450);
/// Added to the route's queue limit before items are terminated.
constexpr Duration kTerminationSlack = std::chrono::milliseconds(1500);
constexpr Duration kDefaultQueueLimit = std::chrono::seconds(30);  ///< If there is no route.
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
