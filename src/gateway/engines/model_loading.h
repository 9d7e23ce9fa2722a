#pragma once

/** @file
 * Models for which one engine is taken to be loading weights, concluded from its rejections and
 * resets. Requests for them wait; those for other models go on. Pure; owned by the engine's
 * `engine_state`.
 */

#include <map>

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::engines {

/** How long requests for the model stay away from the engine. */
struct loading_options {
  Duration full_backoff = std::chrono::milliseconds(120);  ///< It rejected, and it was full.
  /** It rejected although it had room: it is loading weights. */
  Duration loading_backoff = std::chrono::milliseconds(350);
  Duration reset_backoff = std::chrono::milliseconds(900);  ///< It reset a run: it begins to load.
};

class model_loading {
 public:
  /** @param full whether all slots of the engine were taken when it rejected the request. */
  void onRejected(Instant now, const ModelName& model, bool full, const loading_options& options);
  /** Resets that follow the first one belong to the same load and prolong nothing. */
  void onReset(Instant now, const ModelName& model, const loading_options& options);

  /** @param model empty: the request names none, and any engine serves it. */
  bool isLoading(Instant now, const ModelName& model) const;

 private:
  std::map<ModelName, Instant> backoff_until_;
};

}  // namespace linenpier::engines
