#include "soak/soak_checker.h"

#include <algorithm>

namespace linenpier::soak {

namespace {

/** What proves it, at each of three daemons that hear nothing of each other, and three more: under
 * faults all the time nobody is in touch for long.
 */
constexpr std::size_t kMaxEnded = 3 * 3 + 3;

bool isRefusal(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

const char* toText(Promise promise) {
  switch (promise) {
    case Promise::kOwnAnswer:
      return "own_answer";
    case Promise::kOnce:
      return "once";
    case Promise::kHonestRefusal:
      return "honest_refusal";
    case Promise::kItemOnce:
      return "item_once";
    case Promise::kNothingLost:
      return "nothing_lost";
    case Promise::kFewEnds:
      return "few_ends";
    case Promise::kNamedEngine:
      return "named_engine";
    case Promise::kServedAgain:
      return "served_again";
  }
  return "unknown";
}

void soak_checker::report(Promise promise, const std::string& what) {
  this->violations_.push_back(std::string(toText(promise)) + ": " + what);
}

std::size_t soak_checker::runsOf(const std::string& request) const {
  const auto at = this->runs_.find(request);
  return at == this->runs_.end() ? 0 : at->second.size();
}

void soak_checker::onRun(const std::string& request, std::uint64_t version) {
  this->runs_[request].push_back(version);
}

void soak_checker::onUnnamedReached(const std::string& target) {
  this->report(Promise::kNamedEngine, target);
}

void soak_checker::onSent(const std::string& request, bool once) {
  this->requests_[request].once = once;
}

void soak_checker::onAnswer(const std::string& request, unsigned status,
                            const std::string& signature, const std::string& body) {
  if (isRefusal(status)) this->requests_.at(request).refused = true;
  if (status != 200) return;
  const bool own = signature == "s-" + request && body == "answer to " + request;
  if (!own) this->report(Promise::kOwnAnswer, request + " got \"" + body + "\"");
}

void soak_checker::onJobSent(const std::string& job, const std::vector<std::string>& items) {
  this->jobs_[job].items = items;
}

void soak_checker::checkText(const std::string& job, const read_result& result) {
  std::string whole;
  for (int event = 1; event <= this->events_; ++event) {
    if (event > 1) whole += "\n";
    whole += result.item;
    whole += ".";
    whole += std::to_string(event);
  }
  if (result.state != "completed") {
    this->report(Promise::kItemOnce, job + " has " + result.item + " as " + result.state);
    return;
  }
  if (result.text != whole) {
    this->report(Promise::kItemOnce, job + " has another text of " + result.item);
  }
  const std::vector<std::uint64_t>& made = this->runs_[result.item];
  const bool known =
      std::all_of(result.versions.begin(), result.versions.end(), [&made](std::uint64_t version) {
        return std::find(made.begin(), made.end(), version) != made.end();
      });
  if (result.versions.empty() || !known) {
    this->report(Promise::kItemOnce, job + " names versions that did not make " + result.item);
  }
}

void soak_checker::onResult(const std::string& job_id, std::size_t position,
                            const read_result& result) {
  job& read = this->jobs_.at(job_id);
  const auto [at, fresh] = read.results.emplace(position, result);
  if (!fresh) {
    if (!(at->second == result)) {
      this->report(Promise::kItemOnce, job_id + " changed at " + std::to_string(position));
    }
    return;
  }
  ++this->items_;
  const bool of_job =
      std::find(read.items.begin(), read.items.end(), result.item) != read.items.end();
  if (!of_job) this->report(Promise::kItemOnce, job_id + " lists " + result.item);
  for (const auto& [other, known] : read.results) {
    if (other != position && known.item == result.item) {
      this->report(Promise::kItemOnce, job_id + " lists " + result.item + " twice");
    }
  }
  this->checkText(job_id, result);
}

void soak_checker::onJobDenied(const std::string& job) {
  this->report(Promise::kNothingLost, job + " was accepted and denied");
}

void soak_checker::onSettled(std::size_t served, std::size_t sent) {
  if (served * 10 >= sent * 9) return;
  this->report(Promise::kServedAgain,
               std::to_string(served) + " of " + std::to_string(sent) + " after the faults");
}

void soak_checker::finish() {
  if (this->ended_ > kMaxEnded) {
    this->report(Promise::kFewEnds, std::to_string(this->ended_) + " engines ended");
  }
  for (const auto& [id, sent] : this->requests_) {
    const std::size_t runs = this->runsOf(id);
    if (sent.once && runs > 1) {
      this->report(Promise::kOnce, id + " ran " + std::to_string(runs) + " times");
    }
    if (sent.refused && runs > 0) {
      this->report(Promise::kHonestRefusal, id + " was refused and ran");
    }
  }
  for (const auto& [id, each] : this->jobs_) {
    if (each.accepted && each.results.size() != each.items.size()) {
      this->report(Promise::kNothingLost, id + " has " + std::to_string(each.results.size()) +
                                              " of " + std::to_string(each.items.size()) +
                                              " results");
    }
    for (const std::string& item : each.items) {
      if (each.refused && this->runsOf(item) > 0) {
        this->report(Promise::kHonestRefusal, id + " was refused and " + item + " ran");
      }
    }
  }
}

}  // namespace linenpier::soak
