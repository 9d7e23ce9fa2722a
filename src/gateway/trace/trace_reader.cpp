#include "gateway/trace/trace_reader.h"

#include <algorithm>
#include <cstdio>
#include <set>

namespace linenpier::logging {

using nlohmann::json;

namespace {

constexpr double kGapMs = 500;
/// Events of a job that concern each of its items.
const std::set<std::string> kJobEvents = {"submitted",   "job_active",  "job_stopped", "takeover",
                                          "handed_over", "list_failed", "job_listed",  "end_asked"};
/// Fields that every line has; they stand apart from the event's own.
const std::set<std::string> kCommonFields = {"wall_ms", "steady_ms", "node", "part", "event"};

std::string textOf(const json& fields, const char* name) {
  const auto at = fields.find(name);
  return at != fields.end() && at->is_string() ? at->get<std::string>() : std::string();
}

}  // namespace

void TraceReader::read(std::istream& input) {
  std::string line;
  while (std::getline(input, line)) readLine(line);
}

void TraceReader::readLine(const std::string& line) {
  const std::size_t brace = line.find('{');
  const json fields = brace == std::string::npos
                          ? json()
                          : json::parse(line.begin() + static_cast<std::ptrdiff_t>(brace),
                                        line.end(), nullptr, false);
  const bool ours = fields.is_object() && fields.contains("wall_ms") &&
                    fields["wall_ms"].is_number() && fields.contains("steady_ms") &&
                    fields["steady_ms"].is_number() && fields.contains("event");
  if (!ours) {
    ++foreign_;
    return;
  }
  const std::string node = textOf(fields, "node");
  const double steady = fields["steady_ms"].get<double>();
  const auto [life, fresh] = lives_.try_emplace(node);
  const bool restarted =
      steady < life->second.last_steady_ms - kGapMs || textOf(fields, "event") == "started";
  if (fresh || restarted) life->second.offset_ms = fields["wall_ms"].get<double>() - steady;
  life->second.last_steady_ms = steady;
  lines_.push_back({steady + life->second.offset_ms, node, fields});
}

Trace TraceReader::about(const std::string& id) const {
  std::set<std::string> jobs;
  for (const TraceLine& line : lines_) {
    if (textOf(line.fields, "item") == id) jobs.insert(textOf(line.fields, "batch"));
  }
  Trace trace;
  trace.foreign = foreign_;
  for (const TraceLine& line : lines_) {
    const std::string batch = textOf(line.fields, "batch");
    const bool named =
        textOf(line.fields, "request") == id || textOf(line.fields, "item") == id || batch == id;
    const bool of_its_job =
        jobs.contains(batch) && kJobEvents.contains(textOf(line.fields, "event"));
    if (named || of_its_job) trace.lines.push_back(line);
  }
  std::stable_sort(
      trace.lines.begin(), trace.lines.end(),
      [](const TraceLine& one, const TraceLine& other) { return one.time_ms < other.time_ms; });
  return trace;
}

Trace TraceReader::all() const {
  Trace trace{lines_, foreign_};
  std::stable_sort(
      trace.lines.begin(), trace.lines.end(),
      [](const TraceLine& one, const TraceLine& other) { return one.time_ms < other.time_ms; });
  return trace;
}

std::string toText(const Trace& trace) {
  std::string text;
  double before = trace.lines.empty() ? 0 : trace.lines.front().time_ms;
  const double first = before;
  for (const TraceLine& line : trace.lines) {
    char stamp[48];
    if (line.time_ms - before > kGapMs) {
      std::snprintf(stamp, sizeof(stamp), "    ... %.0f ms without a line\n",
                    line.time_ms - before);
      text += stamp;
    }
    std::snprintf(stamp, sizeof(stamp), "%+10.0f ms  ", line.time_ms - first);
    text +=
        stamp + line.node + "  " + textOf(line.fields, "part") + "." + textOf(line.fields, "event");
    for (const auto& [name, value] : line.fields.items()) {
      if (kCommonFields.contains(name)) continue;
      text += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    text += "\n";
    before = line.time_ms;
  }
  if (trace.foreign > 0) {
    text += "(" + std::to_string(trace.foreign) + " foreign or cut lines left out)\n";
  }
  return text;
}

std::string toJson(const Trace& trace) {
  json lines = json::array();
  for (const TraceLine& line : trace.lines) {
    json fields = line.fields;
    fields["time_ms"] = line.time_ms;
    lines.push_back(std::move(fields));
  }
  return json{{"lines", lines}, {"foreign", trace.foreign}}.dump(2);
}

}  // namespace linenpier::logging
