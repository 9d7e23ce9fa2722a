#include "gateway/batch/item_scorer.h"

#include "common/event_log.h"
#include "gateway/batch/active_job.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
/// Time limit of a reward request, after which it is sent again. Reward requests are idempotent.
constexpr Duration kRewardTimeout = std::chrono::milliseconds(1500);
/// Maximum number of reward requests in flight per daemon.
constexpr std::size_t kMaxInFlight = 64;
/// Share of an engine's slots available to reward requests; the rest is left to interactive
/// requests.
constexpr double kDefaultShare = 0.67;
/// Time after which a waiting reward request may use all slots of an engine.
constexpr Duration kFullShareDelay = std::chrono::milliseconds(300);
constexpr double kFullShare = 1.0;
/// Retry delay of a reward request for which no engine had a free slot.
constexpr Duration kNoEngineDelay = std::chrono::milliseconds(20);
/// Upper limit of the retry delay for requests that crashed engines. Another daemon may report in
/// the meantime that the request is harmless.
constexpr Duration kMaxSuspectDelay = std::chrono::seconds(1);
constexpr Duration kFailureRetryDelay = std::chrono::milliseconds(60);

bool isSuccess(const forward::internal_outcome& outcome) {
  return outcome.status >= 200 && outcome.status < 300 && !outcome.signature.empty();
}
}  // namespace

void item_scorer::start(const active_job_ptr& active) {
  const Instant now = steadyNow();
  while (this->in_flight_ < kMaxInFlight) {
    const auto item = active->run.nextToScore(now);
    if (!item) return;
    active->run.onScoringStarted(*item);
    const auto cancellation = std::make_shared<http::Cancellation>();
    active->scorings[*item] = cancellation;
    ++this->in_flight_;
    const ItemIndex index = *item;
    spawn(this->deps_.loop, [this, active, index, cancellation] {
      return this->scoreItem(active, index, cancellation);
    });
  }
}

http::Request item_scorer::rewardRequest(const reward_request& scorer) const {
  http::Request request(boost::beast::http::verb::post, scorer.path, 11);
  request.set(boost::beast::http::field::host, scorer.host);
  request.set(this->deps_.names.request_id, scorer.id);
  request.body() = scorer.body;
  request.prepare_payload();
  return request;
}

Task<void> item_scorer::scoreItem(active_job_ptr active, ItemIndex item,
                                  std::shared_ptr<http::Cancellation> cancellation) {
  const Instant start_time = steadyNow();
  const reward_request& scorer = *active->run.job().items[item].scorer;
  forward::internal_request request;
  request.table = this->deps_.routes();
  const std::string path = scorer.path.substr(0, scorer.path.find('?'));
  request.route = request.table ? request.table->find(scorer.host, path) : nullptr;
  request.message = this->rewardRequest(scorer);
  request.tenant = active->record.tenant;
  request.timeout = kRewardTimeout;
  const bool recent = start_time - active->run.progress(item).last_progress < kFullShareDelay;
  request.max_per_slot = recent ? kDefaultShare : kFullShare;
  request.cancellation = cancellation;
  const bool routed = request.route != nullptr;
  int max_failures = 0;
  forward::internal_outcome outcome;
  if (routed) {
    max_failures = request.route->max_attempts;
    outcome = co_await this->deps_.rewards.send(std::move(request));
  }
  --this->in_flight_;
  active->scorings.erase(item);
  if (active->stopped) co_return;
  this->applyOutcome(*active, item, outcome, max_failures);
  const char* result = isSuccess(outcome)      ? "scored"
                       : !routed               ? "no_route"
                       : outcome.status > 0    ? "failed"
                       : outcome.attempts == 0 ? "no_engine"
                                               : "no_answer";
  if (!isSuccess(outcome) || this->deps_.sampler.admit(start_time)) {
    LogEvent("batch", "scoring_ended")
        .text("batch", active->record.id.str())
        .text("item", active->run.job().items[item].id.str())
        .text("request", scorer.id)
        .text("outcome", result)
        .number("status", outcome.status)
        .number("attempts", outcome.attempts)
        .number("failures", active->run.progress(item).score_failures)
        .milliseconds("took_ms", steadyNow() - start_time);
  }
  this->deps_.on_finished();
}

void item_scorer::applyOutcome(active_job& active, ItemIndex item,
                               const forward::internal_outcome& outcome, int max_failures) {
  if (isSuccess(outcome)) {
    active.run.onScored(item, outcome.signature);
    ++this->deps_.counts.items_scored;
  } else {
    const Duration min_pause = outcome.attempts == 0 ? kNoEngineDelay : kFailureRetryDelay;
    const Duration pause = std::max(min_pause, std::min(outcome.retry_after, kMaxSuspectDelay));
    active.run.onNotScored(steadyNow(), item, outcome.failures, max_failures, pause);
    ++this->deps_.counts.scorings_failed;
  }
  if (active.run.progress(item).state == ItemState::kFinished) active.results_ready.notifyAll();
  active.logStepComplete(item);
}

}  // namespace linenpier::batch
