#pragma once

/** @file
 * The reasons why an engine may not be sent a request, and counts of them. See `engine_admission`
 * for the checks.
 */

#include <array>
#include <cstddef>
#include <string>

namespace linenpier::engines {

/** Reason why an engine is not admitted for a request. The values have the order of the checks of
 * `engine_admission::admit`. */
enum class AdmissionFailure {
  kNone,          ///< The engine may be sent the request.
  kWrongService,  ///< The engine belongs to another service.
  kDraining,
  kZoneClosed,        ///< The operator closed the zone of the engine.
  kOutsideResidency,  ///< The request may not be served in the region of the engine.
  kVersionMismatch,   ///< The engine does not hold the weights that the request needs.
  kCold,      ///< The engine is cold and this daemon has used up its share of requests to it.
  kLoading,   ///< The engine is loading weights of the requested model.
  kFull,      ///< The engine has reached the load limit of the request.
  kEjected,   ///< The engine failed recently.
  kExcluded,  ///< The request excludes the engine, as after an earlier attempt at that engine.
};

inline constexpr std::size_t kAdmissionFailures =
    static_cast<std::size_t>(AdmissionFailure::kExcluded) + 1;

/** @return the name of the failure in log lines. */
const char* toText(AdmissionFailure failure);

/** Counts the engines of a service that were rejected in one selection, by reason. */
class admission_failure_counts {
 public:
  void add(AdmissionFailure failure, std::size_t engines = 1) {
    this->counts_[static_cast<std::size_t>(failure)] += engines;
  }
  std::size_t of(AdmissionFailure failure) const {
    return this->counts_[static_cast<std::size_t>(failure)];
  }
  /** @return the most frequent reason; kNone without any failure. */
  AdmissionFailure mostFrequent() const;
  /** @return the counts for a log line, such as "zone_closed 16, full 32". */
  std::string describe() const;

 private:
  std::array<std::size_t, kAdmissionFailures> counts_{};
};

}  // namespace linenpier::engines
