#pragma once

/** @file
 * Engines of a soak test that send responses which are not valid HTTP or are cut. Test code.
 */

#include "soak/soak_world.h"

namespace linenpier::soak {

/** Loop thread only; must outlive the loop. */
class soak_responses {
 public:
  explicit soak_responses(soak_world& world);

  void start();
  /** @return how often engines were told to send such responses. */
  std::size_t count() const { return this->faults_; }

 private:
  Task<void> loop();
  /** Makes an engine send some responses of one form. */
  void sendBroken();
  /** Makes engines respond to uploads with a part of a body and a reset, for a time. */
  Task<void> resetUploads();

  soak_world& world_;
  Random random_;  ///< For this only, so that other faults do not change its sequence.
  Instant end_{};  ///< No fault starts later.
  std::size_t faults_ = 0;
};

}  // namespace linenpier::soak
