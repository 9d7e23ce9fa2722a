#include "gateway/engines/model_loading.h"

namespace linenpier::engines {

void model_loading::onRejected(Instant now, const ModelName& model, bool full,
                               const loading_options& options) {
  this->backoff_until_[model] = now + (full ? options.full_backoff : options.loading_backoff);
}

void model_loading::onReset(Instant now, const ModelName& model, const loading_options& options) {
  Instant& until = this->backoff_until_[model];
  if (until < now) until = now + options.reset_backoff;
}

bool model_loading::isLoading(Instant now, const ModelName& model) const {
  if (model.empty()) return false;
  const auto at = this->backoff_until_.find(model);
  return at != this->backoff_until_.end() && now < at->second;
}

}  // namespace linenpier::engines
