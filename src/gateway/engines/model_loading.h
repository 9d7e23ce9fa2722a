#pragma once

/** @file
 * Models whose weights an engine is presumably loading, as its rejections and resets suggest.
 * Requests for these models back off; other models are unaffected. Does no I/O.
 */

#include <map>

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::engines {

/** How long requests for the model avoid the engine. */
struct loading_options {
  Duration full_backoff = std::chrono::milliseconds(120);     ///< Rejected while full.
  Duration loading_backoff = std::chrono::milliseconds(350);  ///< Rejected with free slots.
  Duration reset_backoff = std::chrono::milliseconds(900);    ///< Reset a run.
};

class model_loading {
 public:
  /** @param full whether all slots of the engine were in use. */
  void onRejected(Instant now, const ModelName& model, bool full, const loading_options& options);
  /** Further resets belong to the same load and do not extend the backoff. */
  void onReset(Instant now, const ModelName& model, const loading_options& options);

  /** @param model empty: any model; never loading. */
  bool isLoading(Instant now, const ModelName& model) const;

 private:
  std::map<ModelName, Instant> backoff_until_;
};

}  // namespace linenpier::engines
