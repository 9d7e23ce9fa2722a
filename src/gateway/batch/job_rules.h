#pragma once

/** @file
 * Derives the rules of a job from its route in the newest table. Pure.
 */

#include "gateway/batch/batch_run.h"
#include "gateway/routing/configuration.h"

namespace linenpier::batch {

struct active_job;

/** @return the route that the job was submitted to; nullptr without a table or such a route. */
const routing::Route* routeOf(const job_record& record, const routing::ConfigurationPtr& table);

/** @param route route of the job; nullptr: defaults are used.
 * @param accepted_at when the job was accepted, by this daemon's clock.
 */
run_rules rulesFor(const routing::Route* route, Instant accepted_at);

/** Applies the newest table to a running job: its rules, and when its results are due. */
void applyRules(active_job& active, const routing::ConfigurationPtr& table);

}  // namespace linenpier::batch
