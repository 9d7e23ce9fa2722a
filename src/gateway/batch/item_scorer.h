#pragma once

/** @file
 * Sends reward requests, which score complete texts before they are appended.
 */

#include <functional>
#include <memory>

#include "common/success_sampler.h"
#include "gateway/batch/batch_options.h"
#include "gateway/batch/batch_run.h"
#include "gateway/forward/field_names.h"
#include "gateway/forward/internal_requests.h"
#include "gateway/http/http_types.h"

namespace linenpier::batch {

struct active_job;
using active_job_ptr = std::shared_ptr<active_job>;

/** The class must be used from the event loop thread only. */
class item_scorer {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    const forward::field_names& names;
    forward::internal_requests& rewards;
    std::function<routing::ConfigurationPtr()> routes;
    batch_counts& counts;
    logging::SuccessSampler& sampler;
    std::function<void()> on_finished;  ///< Called when a reward request has finished.
  };

  explicit item_scorer(dependencies deps) : deps_(std::move(deps)) {}

  /** Sends reward requests for the job's complete texts, up to the limit per daemon. */
  void start(const active_job_ptr& active);

 private:
  Task<void> scoreItem(active_job_ptr active, ItemIndex item,
                       std::shared_ptr<http::Cancellation> cancellation);
  /** @param max_failures number of failed attempts after which the item is terminated; 0:
   * unlimited. */
  void applyOutcome(active_job& active, ItemIndex item, const forward::internal_outcome& outcome,
                    int max_failures);
  http::Request rewardRequest(const reward_request& scorer) const;

  dependencies deps_;
  std::size_t in_flight_ = 0;  ///< Number of reward requests in flight.
};

}  // namespace linenpier::batch
