#include "soak/soak_checker.h"

#include <algorithm>

namespace linenpier::soak {

namespace {

/** Three crashes until the request is identified, at each of three daemons that may be disconnected
 * from each other, and three more.
 */
constexpr std::size_t kMaxCrashes = 3 * 3 + 3;

}  // namespace

bool isRefusal(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

const char* toText(Guarantee guarantee) {
  switch (guarantee) {
    case Guarantee::kMatchingResponse:
      return "own_answer";
    case Guarantee::kAtMostOnce:
      return "once";
    case Guarantee::kRefusedNotRun:
      return "honest_refusal";
    case Guarantee::kItemExactlyOnce:
      return "item_once";
    case Guarantee::kNoJobLost:
      return "nothing_lost";
    case Guarantee::kFewCrashes:
      return "few_ends";
    case Guarantee::kRegisteredEnginesOnly:
      return "named_engine";
    case Guarantee::kRecovers:
      return "served_again";
    case Guarantee::kClosesInTime:
      return "closes_in_time";
    case Guarantee::kResponds:
      return "responds";
  }
  return "unknown";
}

void soak_checker::report(Guarantee guarantee, const std::string& what) {
  this->violations_.push_back(std::string(toText(guarantee)) + ": " + what);
}

std::size_t soak_checker::runsOf(const std::string& request) const {
  const auto at = this->runs_.find(request);
  return at == this->runs_.end() ? 0 : at->second.size();
}

void soak_checker::onRun(const std::string& request, std::uint64_t version) {
  this->runs_[request].push_back(version);
}

void soak_checker::onUnregisteredRequest(const std::string& target) {
  this->report(Guarantee::kRegisteredEnginesOnly, target);
}

void soak_checker::onSent(const std::string& request, bool at_most_once) {
  soak_checker::request& sent = this->requests_[request];
  sent.at_most_once = at_most_once;
  ++sent.possible;
}

void soak_checker::onResponse(const std::string& request, unsigned status,
                              const std::string& signature, const std::string& body) {
  if (isRefusal(status)) {
    this->requests_.at(request).refused = true;
    --this->requests_.at(request).possible;
  }
  if (status != 200) return;
  const bool matches = signature == "s-" + request && body == "answer to " + request;
  if (!matches) this->report(Guarantee::kMatchingResponse, request + " got \"" + body + "\"");
}

void soak_checker::onLateResponse(const std::string& request, std::size_t gateway,
                                  double seconds_after_stop) {
  this->report(Guarantee::kClosesInTime, request + ", sent " + std::to_string(seconds_after_stop) +
                                             " s after the stop of g" + std::to_string(gateway) +
                                             ", got a response");
}

void soak_checker::onConnectionEnded(const std::string& request, std::size_t gateway) {
  this->ended_connections_[request] = gateway;
}

void soak_checker::onJobSent(const std::string& job, const std::vector<std::string>& items) {
  this->jobs_[job].items = items;
}

void soak_checker::checkItem(const std::string& job, const read_result& result) {
  std::string expected;
  for (int event = 1; event <= this->events_; ++event) {
    if (event > 1) expected += "\n";
    expected += result.item;
    expected += ".";
    expected += std::to_string(event);
  }
  if (result.state != "completed") {
    this->report(Guarantee::kItemExactlyOnce, job + " has " + result.item + " as " + result.state);
    return;
  }
  if (result.text != expected) {
    this->report(Guarantee::kItemExactlyOnce, job + " has another text of " + result.item);
  }
  const std::vector<std::uint64_t>& executed = this->runs_[result.item];
  const bool known = std::all_of(
      result.versions.begin(), result.versions.end(), [&executed](std::uint64_t version) {
        return std::find(executed.begin(), executed.end(), version) != executed.end();
      });
  if (result.versions.empty() || !known) {
    this->report(Guarantee::kItemExactlyOnce,
                 job + " names versions that did not make " + result.item);
  }
}

void soak_checker::onResult(const std::string& job_id, std::size_t position,
                            const read_result& result) {
  job& read = this->jobs_.at(job_id);
  const auto [at, inserted] = read.results.emplace(position, result);
  if (!inserted) {
    if (!(at->second == result)) {
      this->report(Guarantee::kItemExactlyOnce, job_id + " changed at " + std::to_string(position));
    }
    return;
  }
  ++this->items_;
  const bool belongs_to_job =
      std::find(read.items.begin(), read.items.end(), result.item) != read.items.end();
  if (!belongs_to_job) this->report(Guarantee::kItemExactlyOnce, job_id + " lists " + result.item);
  for (const auto& [other, known] : read.results) {
    if (other != position && known.item == result.item) {
      this->report(Guarantee::kItemExactlyOnce, job_id + " lists " + result.item + " twice");
    }
  }
  this->checkItem(job_id, result);
}

void soak_checker::onJobDenied(const std::string& job) {
  this->report(Guarantee::kNoJobLost, job + " was accepted and denied");
}

void soak_checker::onSettled(std::size_t served, std::size_t sent) {
  if (served * 10 >= sent * 9) return;
  this->report(Guarantee::kRecovers,
               std::to_string(served) + " of " + std::to_string(sent) + " after the faults");
}

void soak_checker::finish() {
  for (const auto& [request, gateway] : this->ended_connections_) {
    if (this->runsOf(request) > 0)
      this->report(Guarantee::kResponds, request + " was cut off by g" + std::to_string(gateway));
  }
  if (this->crashes_ > kMaxCrashes) {
    this->report(Guarantee::kFewCrashes, std::to_string(this->crashes_) + " engines ended");
  }
  for (const auto& [id, sent] : this->requests_) {
    const std::size_t runs = this->runsOf(id);
    if (sent.at_most_once && runs > 1) {
      this->report(Guarantee::kAtMostOnce, id + " ran " + std::to_string(runs) + " times");
    }
    if (sent.refused && runs > 0 && sent.possible == 0) {
      this->report(Guarantee::kRefusedNotRun, id + " was refused and ran");
    }
  }
  for (const auto& [id, each] : this->jobs_) {
    if (each.accepted && each.results.size() != each.items.size()) {
      this->report(Guarantee::kNoJobLost, id + " has " + std::to_string(each.results.size()) +
                                              " of " + std::to_string(each.items.size()) +
                                              " results");
    }
    for (const std::string& item : each.items) {
      if (each.possible == 0 && this->runsOf(item) > 0) {
        this->report(Guarantee::kRefusedNotRun, id + " was refused and " + item + " ran");
      }
    }
  }
}

}  // namespace linenpier::soak
