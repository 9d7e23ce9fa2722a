#include "gateway/forward/attempt_admission.h"

namespace linenpier::forward {

Task<std::optional<suspects::sent_attempt>> attempt_admission::admit(forwarded_request& forwarded,
                                                                     bool exclusive) {
  suspects::sent_attempt attempt;
  forwarded.admission = {};
  if (!this->suspects_.hasSuspects()) co_return attempt;
  const suspects::request_key key = keyOf(forwarded, *forwarded.request);
  forwarded.admission = this->suspects_.admissionOf(key);
  if (forwarded.admission.state == suspects::AdmissionState::kNotSuspect) co_return attempt;
  // A hedged attempt of a suspect request could crash a second engine.
  if (!exclusive) co_return std::nullopt;
  forwarded.admission = co_await this->suspects_.beginIsolatedRun(key, forwarded.id);
  attempt.crashes = forwarded.admission.crashes;
  attempt.isolated = forwarded.admission.state == suspects::AdmissionState::kMayRunAlone;
  if (attempt.isolated || forwarded.admission.state == suspects::AdmissionState::kNotSuspect)
    co_return attempt;
  co_return std::nullopt;
}

void attempt_admission::onNotSent(const forwarded_request& forwarded,
                                  const suspects::sent_attempt& attempt) {
  if (attempt.isolated) this->suspects_.onInconclusive(*forwarded.key);
}

void attempt_admission::onEnded(forwarded_request& forwarded, const engine_call& call,
                                AttemptOutcome outcome, const suspects::sent_attempt& attempt,
                                bool engine_crashed) {
  if (engine_crashed) {
    this->suspects_.onEngineCrashed(attempt, keyOf(forwarded, call.request()), call.engine(),
                                    call.startedAt(), forwarded.id);
  } else if (outcome != AttemptOutcome::kAnswered) {
    if (attempt.isolated) this->suspects_.onInconclusive(keyOf(forwarded, call.request()));
  } else if (this->suspects_.hasSuspects()) {
    this->suspects_.onAnswered(keyOf(forwarded, call.request()));
  }
}

}  // namespace linenpier::forward
