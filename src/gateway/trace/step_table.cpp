#include "gateway/trace/step_table.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace linenpier::logging {

namespace {

constexpr double kMsPerSecond = 1000;

std::string stringField(const TraceLine& line, const char* name) {
  const auto at = line.fields.find(name);
  return at != line.fields.end() && at->is_string() ? at->get<std::string>() : std::string();
}

std::optional<double> numberField(const TraceLine& line, const char* name) {
  const auto at = line.fields.find(name);
  if (at == line.fields.end() || !at->is_number()) return std::nullopt;
  return at->get<double>();
}

void setIfEmpty(std::optional<double>& moment, double time_ms) {
  if (!moment) moment = time_ms;
}

/** Updates a job's timeline from one of its log lines. */
void recordEvent(step_timeline& step, const TraceLine& line, const std::string& event) {
  if (event == "submitted") {
    setIfEmpty(step.submitted, line.time_ms - numberField(line, "took_ms").value_or(0));
    if (stringField(line, "outcome") == "accepted") setIfEmpty(step.accepted, line.time_ms);
  } else if (event == "job_active") {
    setIfEmpty(step.active, line.time_ms);
    step.model = stringField(line, "model");
    step.step_number = numberField(line, "step");
    step.owner = line.node;
    ++step.owners;
  } else if (event == "first_event") {
    setIfEmpty(step.first_event, line.time_ms);
  } else if (event == "step_whole") {
    setIfEmpty(step.complete, line.time_ms);
  } else if (event == "step_listed") {
    setIfEmpty(step.results_published, line.time_ms);
  } else if (event == "page_read") {
    if (step.results_published) setIfEmpty(step.first_read, line.time_ms);
  } else if (event == "end_asked") {
    setIfEmpty(step.ended, line.time_ms);
  }
}

/** Times at which a model version was published and at which an engine last loaded it. */
struct version_timeline {
  std::string model;
  double published = 0;
  std::optional<double> applied;
};

std::vector<version_timeline> collectVersions(const Trace& trace) {
  std::map<std::pair<std::string, double>, version_timeline> found;
  for (const TraceLine& line : trace.lines) {
    const std::string event = stringField(line, "event");
    const std::string model = stringField(line, "model");
    const double version = numberField(line, "version").value_or(0);
    if (event == "named") {
      found.try_emplace({model, version}, version_timeline{model, line.time_ms, std::nullopt});
    } else if (event == "order_answered" && stringField(line, "outcome") == "under_way") {
      const auto at = found.find({model, version});
      if (at != found.end()) at->second.applied = line.time_ms;
    }
  }
  std::vector<version_timeline> versions;
  versions.reserve(found.size());
  for (const auto& [key, times] : found) versions.push_back(times);
  return versions;
}

std::string cell(const std::optional<double>& moment, double begin_ms) {
  if (!moment) return "       -";
  char text[24];
  std::snprintf(text, sizeof(text), "%8.2f", (*moment - begin_ms) / kMsPerSecond);
  return text;
}

}  // namespace

std::vector<step_timeline> collectSteps(const Trace& trace) {
  std::map<std::string, step_timeline> by_job;
  for (const TraceLine& line : trace.lines) {
    const std::string job_id = stringField(line, "batch");
    if (job_id.empty()) continue;
    step_timeline& step = by_job[job_id];
    step.job_id = job_id;
    recordEvent(step, line, stringField(line, "event"));
  }
  const std::vector<version_timeline> versions = collectVersions(trace);
  std::vector<step_timeline> steps;
  for (auto& [job_id, step] : by_job) {
    for (const version_timeline& version : versions) {
      const bool next =
          version.model == step.model && step.ended && version.published >= *step.ended;
      if (!next || (step.next_version && *step.next_version <= version.published)) continue;
      step.next_version = version.published;
      step.engines_updated = version.applied;
    }
    steps.push_back(step);
  }
  std::sort(steps.begin(), steps.end(), [](const step_timeline& one, const step_timeline& other) {
    return one.submitted.value_or(0) < other.submitted.value_or(0);
  });
  return steps;
}

std::string formatSteps(const std::vector<step_timeline>& steps, double begin_ms) {
  std::string text =
      "batch            step handed_in accepted   active first_ev    whole   listed     read"
      "    ended    named  engines owners model\n";
  for (const step_timeline& step : steps) {
    char head[48];
    std::snprintf(head, sizeof(head), "%-16s %4.0f  ", step.job_id.c_str(),
                  step.step_number.value_or(-1));
    text += head;
    for (const auto* moment : {&step.submitted, &step.accepted, &step.active, &step.first_event,
                               &step.complete, &step.results_published, &step.first_read,
                               &step.ended, &step.next_version, &step.engines_updated}) {
      text += cell(*moment, begin_ms) + " ";
    }
    text += "     " + std::to_string(step.owners) + " " + step.model + "\n";
  }
  return text;
}

}  // namespace linenpier::logging
