#pragma once

/** @file
 * Models whose weights an engine is presumably loading, as its rejections and resets suggest.
 * Requests for these models back off; other models are unaffected. Does no I/O.
 */

#include <map>

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::engines {

/** How long requests for a model avoid an engine that is presumably loading it. */
struct loading_options {
  /** Backoff after a full engine rejected a request. */
  Duration full_backoff = std::chrono::milliseconds(120);
  /** Backoff after an engine with free slots rejected a request. */
  Duration loading_backoff = std::chrono::milliseconds(350);
  /** Backoff after the engine reset a run. */
  Duration reset_backoff = std::chrono::milliseconds(900);
};

class model_loading {
 public:
  /** @param full whether all slots of the engine were in use. */
  void onRejected(Instant now, const ModelName& model, bool full, const loading_options& options);
  /** Starts a backoff unless one is active: an engine that starts to load weights resets all runs
   * of the model.
   */
  void onReset(Instant now, const ModelName& model, const loading_options& options);

  /** @param model model of the request; empty: the request accepts any model.
   * @return whether requests for the model avoid the engine; false for an empty model.
   */
  bool isLoading(Instant now, const ModelName& model) const;

 private:
  std::map<ModelName, Instant> backoff_until_;
};

}  // namespace linenpier::engines
