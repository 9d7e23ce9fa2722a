#include "gateway/trace/step_table.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace linenpier::logging {

namespace {

constexpr double kMsPerSecond = 1000;

std::string textOf(const TraceLine& line, const char* name) {
  const auto at = line.fields.find(name);
  return at != line.fields.end() && at->is_string() ? at->get<std::string>() : std::string();
}

std::optional<double> numberOf(const TraceLine& line, const char* name) {
  const auto at = line.fields.find(name);
  if (at == line.fields.end() || !at->is_number()) return std::nullopt;
  return at->get<double>();
}

void setOnce(std::optional<double>& moment, double time_ms) {
  if (!moment) moment = time_ms;
}

/** Collects the lines about one job. */
void note(step_times& step, const TraceLine& line, const std::string& event) {
  if (event == "submitted") {
    setOnce(step.handed_in, line.time_ms - numberOf(line, "took_ms").value_or(0));
    if (textOf(line, "outcome") == "accepted") setOnce(step.accepted, line.time_ms);
  } else if (event == "job_active") {
    setOnce(step.active, line.time_ms);
    step.model = textOf(line, "model");
    step.step = numberOf(line, "step");
    step.owner = line.node;
    ++step.owners;
  } else if (event == "first_event") {
    setOnce(step.first_event, line.time_ms);
  } else if (event == "step_whole") {
    setOnce(step.whole, line.time_ms);
  } else if (event == "step_listed") {
    setOnce(step.listed, line.time_ms);
  } else if (event == "page_read") {
    if (step.listed) setOnce(step.read, line.time_ms);
  } else if (event == "end_asked") {
    setOnce(step.ended, line.time_ms);
  }
}

/** When a version of a model was first heard of, and last taken by an engine. */
struct version_times {
  std::string model;
  double named = 0;
  std::optional<double> taken;
};

std::vector<version_times> versionsOf(const Trace& trace) {
  std::map<std::pair<std::string, double>, version_times> found;
  for (const TraceLine& line : trace.lines) {
    const std::string event = textOf(line, "event");
    const std::string model = textOf(line, "model");
    const double version = numberOf(line, "version").value_or(0);
    if (event == "named") {
      found.try_emplace({model, version}, version_times{model, line.time_ms, std::nullopt});
    } else if (event == "order_answered" && textOf(line, "outcome") == "under_way") {
      const auto at = found.find({model, version});
      if (at != found.end()) at->second.taken = line.time_ms;
    }
  }
  std::vector<version_times> versions;
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

std::vector<step_times> stepsOf(const Trace& trace) {
  std::map<std::string, step_times> by_batch;
  for (const TraceLine& line : trace.lines) {
    const std::string batch = textOf(line, "batch");
    if (batch.empty()) continue;
    step_times& step = by_batch[batch];
    step.batch = batch;
    note(step, line, textOf(line, "event"));
  }
  const std::vector<version_times> versions = versionsOf(trace);
  std::vector<step_times> steps;
  for (auto& [batch, step] : by_batch) {
    for (const version_times& version : versions) {
      const bool next = version.model == step.model && step.ended && version.named >= *step.ended;
      if (!next || (step.next_named && *step.next_named <= version.named)) continue;
      step.next_named = version.named;
      step.engines_ready = version.taken;
    }
    steps.push_back(step);
  }
  std::sort(steps.begin(), steps.end(), [](const step_times& one, const step_times& other) {
    return one.handed_in.value_or(0) < other.handed_in.value_or(0);
  });
  return steps;
}

std::string toTable(const std::vector<step_times>& steps, double begin_ms) {
  std::string text =
      "batch            step handed_in accepted   active first_ev    whole   listed     read"
      "    ended    named  engines owners model\n";
  for (const step_times& step : steps) {
    char head[48];
    std::snprintf(head, sizeof(head), "%-16s %4.0f  ", step.batch.c_str(), step.step.value_or(-1));
    text += head;
    for (const auto* moment :
         {&step.handed_in, &step.accepted, &step.active, &step.first_event, &step.whole,
          &step.listed, &step.read, &step.ended, &step.next_named, &step.engines_ready}) {
      text += cell(*moment, begin_ms) + " ";
    }
    text += "     " + std::to_string(step.owners) + " " + step.model + "\n";
  }
  return text;
}

}  // namespace linenpier::logging
