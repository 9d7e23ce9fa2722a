#include "gateway/batch/engine_requirements_builder.h"

#include "gateway/batch/active_job.h"

namespace linenpier::batch {

engines::engine_request engine_requirements_builder::build(const active_job& active, ItemIndex item,
                                                           const routing::Route& route) const {
  const routing::ConfigurationPtr table = this->deps_.routes();
  engines::engine_request wanted =
      engineRequirementsFor(active.run, item, route, *table, this->deps_.options.requests_per_slot);
  wanted.residency = this->deps_.residency.ofItem(active, item, *table, route);
  return wanted;
}

}  // namespace linenpier::batch
