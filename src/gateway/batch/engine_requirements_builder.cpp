#include "gateway/batch/engine_requirements_builder.h"

#include "gateway/batch/active_job.h"

namespace linenpier::batch {

std::vector<engines::engine_request> engine_requirements_builder::build(
    const active_job& active, ItemIndex item, const routing::Route& route) const {
  const routing::ConfigurationPtr table = this->deps_.routes();
  const fleet::data_residency residency = this->deps_.residency.ofItem(active, item, *table, route);
  std::vector<engines::engine_request> wanted;
  for (const ServiceName& service : this->deps_.round_robin.order(route)) {
    wanted.push_back(engineRequirementsFor(active.run, item, route, service, *table,
                                           this->deps_.options.requests_per_slot));
    wanted.back().residency = residency;
  }
  return wanted;
}

}  // namespace linenpier::batch
