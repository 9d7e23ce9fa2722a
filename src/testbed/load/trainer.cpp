#include "testbed/load/trainer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "daemon/clients/http_call.h"
#include "testbed/standin/token_text.h"

namespace linenpier::load {

using nlohmann::json;

namespace {

constexpr std::uint32_t kMaxTokens = 2000;
constexpr int kPullWaitMs = 2000;
constexpr int kPublishTries = 200;
constexpr auto kRetryPause = std::chrono::milliseconds(50);
constexpr Duration kMaxPull = std::chrono::minutes(3);
/// A repeated pull is made after every so many steps.
constexpr std::uint64_t kRepeatEvery = 3;

}  // namespace

double TrainerResult::idleShare() const {
  const double whole = idle_s + train_s;
  return whole > 0 ? idle_s / whole : 0;
}

double TrainerResult::meanStaleness() const {
  return samples == 0 ? 0 : staleness_sum / static_cast<double>(samples);
}

Trainer::Trainer(TrainerPlan plan, Targets& targets, Address platform, std::uint64_t seed)
    : plan_(std::move(plan)), targets_(targets), platform_(platform), random_(seed) {
  result_.name = plan_.trainer.str();
}

TrainerResult Trainer::run(Duration duration) {
  const Instant end = steadyNow() + duration;
  publish();
  std::uint64_t submitted_to = 0;
  for (std::uint64_t step = 1; steadyNow() < end; ++step) {
    while (submitted_to < step + plan_.ahead) {
      if (submit(submitted_to + 1)) {
        ++submitted_to;
      } else {
        std::this_thread::sleep_for(kRetryPause);
      }
    }
    const Instant asked = steadyNow();
    const std::string batch = pull(step, asked + kMaxPull);
    const Duration waited = steadyNow() - asked;
    result_.idle_s += toSeconds(waited);
    result_.waits_ms.push_back(toSeconds(waited) * 1000);
    if (batch.empty()) break;
    check(step, batch);
    if (step % kRepeatEvery == 0 && pull(step, steadyNow() + kMaxPull) != batch) {
      ++result_.differing_repeats;
    }
    acknowledge(step);
    std::this_thread::sleep_for(fromSeconds(plan_.train_ms / 1000));
    result_.train_s += plan_.train_ms / 1000;
    ++result_.steps;
    ++version_;
    publish();
  }
  return result_;
}

void Trainer::publish() {
  const json body = {{"model", plan_.model.str()}, {"version", version_}};
  // A version is named only once it is in the store.
  for (int tries = 0; tries < kPublishTries; ++tries) {
    auto client = platform::makeClient(platform::serviceUrl(platform_), {});
    const auto stored = client.Put("/weights", body.dump(), "application/json");
    if (stored && stored->status == 200) return;
    ++result_.failed_calls;
    std::this_thread::sleep_for(kRetryPause);
  }
}

std::vector<rollout::PromptGroup> Trainer::makeGroups(std::uint64_t step) {
  std::vector<rollout::PromptGroup> groups;
  std::exponential_distribution<double> usual(1.0 / plan_.mean_tokens);
  for (std::uint32_t group = 0; group < plan_.groups; ++group) {
    const bool tail = random_.unit() < plan_.tail_share;
    const double drawn = tail ? plan_.tail_tokens : std::min(usual(random_.engine()) + 5, 200.0);
    const auto length = static_cast<std::uint32_t>(drawn);
    groups.push_back({plan_.trainer.str() + " step " + std::to_string(step) + " prompt " +
                          random_.hex16() + ";len=" + std::to_string(length) + ";",
                      plan_.samples_per_group});
  }
  return groups;
}

bool Trainer::submit(std::uint64_t step) {
  if (!submitted_.contains(step)) submitted_[step] = makeGroups(step);
  json groups = json::array();
  for (const auto& group : submitted_[step]) {
    groups.push_back({{"prompt", group.prompt}, {"samples", group.samples}});
  }
  int status = 0;
  post("/v1/rollouts",
       json{{"trainer", plan_.trainer.str()},
            {"step", step},
            {"max_tokens", kMaxTokens},
            {"groups", groups}}
           .dump(),
       status);
  return status == 202;
}

std::string Trainer::pull(std::uint64_t step, Instant limit) {
  const std::string body = json{
      {"trainer", plan_.trainer.str()},
      {"step", step},
      {"version", version_},
      {"wait_ms", kPullWaitMs}}.dump();
  while (steadyNow() < limit) {
    int status = 0;
    std::string batch = post("/v1/batches/pull", body, status);
    if (status == 200) return batch;
    if (status != 202) std::this_thread::sleep_for(kRetryPause);
  }
  return "";
}

void Trainer::acknowledge(std::uint64_t step) {
  int status = 0;
  post("/v1/batches/ack", json{{"trainer", plan_.trainer.str()}, {"step", step}}.dump(), status);
}

std::string Trainer::post(const std::string& path, const std::string& body, int& status) {
  auto client = platform::makeClient(platform::serviceUrl(targets_.next()),
                                     {std::chrono::milliseconds(300), std::chrono::seconds(10)});
  const auto response =
      client.Post(path, {{"Authorization", "Bearer " + plan_.key}}, body, "application/json");
  if (!response) {
    ++result_.failed_calls;
    return "";
  }
  status = response->status;
  return response->body;
}

void Trainer::check(std::uint64_t step, const std::string& text) {
  const json batch = json::parse(text, nullptr, false);
  rollout::StepSpec spec;
  spec.groups = submitted_[step];
  std::set<std::uint32_t> seen;
  for (const json& element : batch["samples"]) {
    const auto sample = rollout::parseSample("batch", element.dump());
    if (!sample || sample->key.step.step != step) {
      ++result_.mixed;
      continue;
    }
    if (!seen.insert(sample->key.index).second) ++result_.doubled;
    const std::string expected = standin::wholeText(spec.promptOf(sample->key.index), kMaxTokens);
    if (sample->text != expected) ++result_.mixed;
    const WeightVersion oldest = sample->oldestVersion();
    const std::uint64_t staleness = version_ > oldest ? version_ - oldest : 0;
    result_.staleness_sum += static_cast<double>(staleness);
    result_.staleness_max = std::max(result_.staleness_max, staleness);
    result_.over_bound += staleness > plan_.staleness_bound;
    result_.mixed_versions += sample->pieces.size() > 1;
    ++result_.samples;
  }
  result_.missing += spec.sampleCount() - seen.size();
}

}  // namespace linenpier::load
