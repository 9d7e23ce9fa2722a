#include "gateway/batch/unresolved_jobs.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::unresolved_jobs;

namespace {
const JobId kJob{"job"};
const Instant kNow{std::chrono::hours(1)};
}  // namespace

Test(unresolved_jobs, a_job_is_unresolved_while_its_row_is_being_written) {
  unresolved_jobs jobs;
  cr_assert(!jobs.contains(kNow, kJob));
  jobs.onWriteStarted(kJob);
  jobs.onWriteStarted(kJob);
  jobs.onWriteEnded(kNow, kJob, true);
  cr_assert(jobs.contains(kNow, kJob), "another submission of the job is in progress");
  jobs.onWriteEnded(kNow, kJob, true);
  cr_assert(!jobs.contains(kNow, kJob));
}

// Guards against a false refusal of a resubmission after a write whose outcome stayed unknown.
Test(unresolved_jobs, an_unknown_outcome_is_remembered) {
  unresolved_jobs jobs;
  jobs.onWriteStarted(kJob);
  jobs.onWriteEnded(kNow, kJob, false);
  cr_assert(jobs.contains(kNow + std::chrono::seconds(60), kJob));
  cr_assert(!jobs.contains(kNow, JobId("other")));
  cr_assert(!jobs.contains(kNow + std::chrono::hours(1), kJob));
}

Test(unresolved_jobs, a_later_known_outcome_of_another_write_does_not_resolve_an_unknown_one) {
  unresolved_jobs jobs;
  jobs.onWriteStarted(kJob);
  jobs.onWriteEnded(kNow, kJob, false);
  jobs.onWriteStarted(kJob);
  jobs.onWriteEnded(kNow, kJob, true);
  cr_assert(jobs.contains(kNow, kJob));
}
