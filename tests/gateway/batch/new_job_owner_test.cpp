#include "gateway/batch/new_job_owner.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::chooseNewJobOwner;
using batch::new_job_owner_inputs;

namespace {

const LeaseId kOwn("own#1");
const LeaseId kFast("fast#1");
const LeaseId kOther("other#1");

new_job_owner_inputs inputsOf(std::vector<lease::owner_candidate> candidates) {
  new_job_owner_inputs inputs;
  inputs.candidates = std::move(candidates);
  inputs.items = 200;
  inputs.max_open_items = 1000;
  return inputs;
}

}  // namespace

Test(new_job_owner, the_candidate_with_the_highest_capacity_is_selected) {
  cr_assert_eq(chooseNewJobOwner(inputsOf({{kFast, 0.5}, {kOwn, 0.06}}), kOwn), kFast);
}

Test(new_job_owner, without_candidates_the_fallback_is_selected) {
  cr_assert_eq(chooseNewJobOwner(inputsOf({}), kOwn), kOwn);
}

Test(new_job_owner, the_previous_owner_is_kept_while_it_has_capacity) {
  new_job_owner_inputs inputs = inputsOf({{kFast, 0.5}, {kOther, 0.4}});
  inputs.previous = kOther;
  cr_assert_eq(chooseNewJobOwner(inputs, kOwn), kOther);
  inputs.previous_items = 900;
  cr_assert_eq(chooseNewJobOwner(inputs, kOwn), kFast, "its item limit would be exceeded");
}

Test(new_job_owner, a_previous_owner_with_low_capacity_is_replaced) {
  new_job_owner_inputs inputs = inputsOf({{kFast, 0.5}, {kOther, 0.2}});
  inputs.previous = kOther;
  cr_assert_eq(chooseNewJobOwner(inputs, kOwn), kFast);
}

Test(new_job_owner, owners_of_other_models_are_selected_only_without_alternatives) {
  new_job_owner_inputs inputs = inputsOf({{kFast, 0.5}, {kOther, 0.45}});
  inputs.busy = {kFast};
  cr_assert_eq(chooseNewJobOwner(inputs, kOwn), kOther);
  inputs.busy = {kFast, kOther};
  cr_assert_eq(chooseNewJobOwner(inputs, kOwn), kFast);
}

Test(new_job_owner, daemons_outside_the_residency_are_excluded) {
  const fleet::fleet_layout layout(
      {{ZoneName("a"), RegionName("near")}, {ZoneName("b"), RegionName("far")}});
  const fleet::data_residency far({RegionName("far")});
  new_job_owner_inputs inputs =
      inputsOf({{kFast, 0.5, ZoneName("a")}, {kOther, 0.1, ZoneName("b")}, {kOwn, 0.4}});
  inputs.previous = kFast;
  inputs.previous_zone = ZoneName("a");
  const new_job_owner_inputs restricted = batch::withinResidency(inputs, far, layout);
  cr_assert_eq(restricted.candidates.size(), 1U, "a daemon without a zone is within no residency");
  cr_assert(restricted.previous.empty());
  cr_assert_eq(chooseNewJobOwner(restricted, kOwn), kOther);
  cr_assert_eq(batch::withinResidency(inputs, {}, layout).candidates.size(), 3U,
               "without a residency nobody is excluded");
  cr_assert_eq(batch::withinResidency(inputs, {}, layout).previous, kFast);
}

Test(new_job_owner, no_owner_is_selected_if_no_daemon_is_within_the_residency) {
  const new_job_owner_inputs inputs = inputsOf({{kFast, 0.5, ZoneName("a")}});
  const new_job_owner_inputs restricted =
      batch::withinResidency(inputs, fleet::data_residency({RegionName("far")}), {});
  cr_assert(chooseNewJobOwner(restricted, LeaseId()).empty());
}

Test(new_job_owner, first_jobs_of_several_models_get_different_owners) {
  new_job_owner_inputs inputs = inputsOf({{kFast, 0.5}, {kOther, 0.5}});
  const LeaseId first = chooseNewJobOwner(inputs, kOwn);
  inputs.model_index = 1;
  cr_assert_neq(chooseNewJobOwner(inputs, kOwn), first);
}
