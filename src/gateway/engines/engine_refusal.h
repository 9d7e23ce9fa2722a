#pragma once

/** @file
 * Whether an engine may be sent a request, and if not, why. Everything that sends asks the
 * registry, which answers in these words: requests of clients, items, runs that go on elsewhere,
 * reward calls, moves.
 */

#include <array>
#include <cstddef>
#include <string>

namespace linenpier::engines {

/** In the order in which they are looked at: what the operator or the platform forbids first, then
 * what passes by itself.
 */
enum class EngineRefusal {
  kNone,          ///< It may be sent the request.
  kOtherService,  ///< It does not serve the service; not counted.
  kDraining,
  kZoneClosed,        ///< The operator closed its zone.
  kOutsideResidency,  ///< It is in a region where the request must not be.
  kOlderVersion,      ///< Its weights are not those that the request needs.
  kCold,              ///< It started lately, or may have, and was sent its share of what it bears.
  kLoading,           ///< It changes its weights.
  kFull,
  kEjected,   ///< It failed lately.
  kExcluded,  ///< The request was there already.
};

inline constexpr std::size_t kEngineRefusals =
    static_cast<std::size_t>(EngineRefusal::kExcluded) + 1;

const char* toText(EngineRefusal refusal);

/** How many engines of a service were refused for each reason, when one was looked for. */
class refusal_tally {
 public:
  void add(EngineRefusal refusal, std::size_t engines = 1) {
    this->counts_[static_cast<std::size_t>(refusal)] += engines;
  }
  std::size_t of(EngineRefusal refusal) const {
    return this->counts_[static_cast<std::size_t>(refusal)];
  }
  /** @return the reason that kept most engines away; kNone if the service has no engine. */
  EngineRefusal commonest() const;
  /** @return the reasons with their counts, for a log line: "zone_closed 16, full 32". */
  std::string describe() const;

 private:
  std::array<std::size_t, kEngineRefusals> counts_{};
};

}  // namespace linenpier::engines
