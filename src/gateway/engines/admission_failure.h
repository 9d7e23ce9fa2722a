#pragma once

/** @file
 * The reasons for which an engine may not be sent a request, and how often each applied. The checks
 * behind them stand in `engine_admission`.
 */

#include <array>
#include <cstddef>
#include <string>

namespace linenpier::engines {

/** In the order of the checks of `engine_admission::admit`. */
enum class AdmissionFailure {
  kNone,          ///< It may be sent the request.
  kWrongService,  ///< It does not serve the service.
  kDraining,
  kZoneClosed,        ///< The operator closed its zone.
  kOutsideResidency,  ///< It is in a region where the request must not be.
  kVersionMismatch,   ///< Its weights are not those that the request needs.
  kCold,              ///< This daemon sent it its share of what a cold engine bears.
  kLoading,           ///< It is loading weights of the request's model.
  kFull,              ///< It runs as much as the request allows.
  kEjected,           ///< It failed lately.
  kExcluded,          ///< The request excludes it: it was tried there.
};

inline constexpr std::size_t kAdmissionFailures =
    static_cast<std::size_t>(AdmissionFailure::kExcluded) + 1;

/** @return the word of log lines. */
const char* toText(AdmissionFailure failure);

/** How many engines of a service were refused for each reason when one was looked for. */
class admission_failure_counts {
 public:
  void add(AdmissionFailure failure, std::size_t engines = 1) {
    this->counts_[static_cast<std::size_t>(failure)] += engines;
  }
  std::size_t of(AdmissionFailure failure) const {
    return this->counts_[static_cast<std::size_t>(failure)];
  }
  /** @return the reason for most engines; kNone if the service has no engine. */
  AdmissionFailure mostFrequent() const;
  /** @return the reasons with their counts, for a log line: "zone_closed 16, full 32". */
  std::string describe() const;

 private:
  std::array<std::size_t, kAdmissionFailures> counts_{};
};

}  // namespace linenpier::engines
