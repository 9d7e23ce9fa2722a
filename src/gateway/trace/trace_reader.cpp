#include "gateway/trace/trace_reader.h"

#include <algorithm>
#include <cstdio>
#include <set>

namespace linenpier::logging {

using nlohmann::json;

namespace {

constexpr double kMinGapMs = 500;
/// Events of a batch job that apply to each item of the job.
const std::set<std::string> kJobWideEvents = {"submitted",  "job_active",  "job_stopped",
                                              "takeover",   "handed_over", "list_failed",
                                              "job_listed", "end_asked"};
/// Fields that every log line has; the list of event fields in the output omits them.
const std::set<std::string> kCommonFields = {"wall_ms", "steady_ms", "node", "part", "event"};

std::string stringField(const json& fields, const char* name) {
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
  const bool valid = fields.is_object() && fields.contains("wall_ms") &&
                     fields["wall_ms"].is_number() && fields.contains("steady_ms") &&
                     fields["steady_ms"].is_number() && fields.contains("event");
  if (!valid) {
    ++skipped_lines_;
    return;
  }
  const std::string node = stringField(fields, "node");
  const double steady = fields["steady_ms"].get<double>();
  const auto [clock, added] = clocks_.try_emplace(node);
  const bool restarted = steady < clock->second.last_steady_ms - kMinGapMs ||
                         stringField(fields, "event") == "started";
  if (added || restarted) clock->second.offset_ms = fields["wall_ms"].get<double>() - steady;
  clock->second.last_steady_ms = steady;
  lines_.push_back({steady + clock->second.offset_ms, node, fields});
}

Trace TraceReader::linesFor(const std::string& id) const {
  std::set<std::string> jobs;
  for (const TraceLine& line : lines_) {
    if (stringField(line.fields, "item") == id) jobs.insert(stringField(line.fields, "batch"));
  }
  Trace trace;
  trace.skipped_lines = skipped_lines_;
  for (const TraceLine& line : lines_) {
    const std::string batch = stringField(line.fields, "batch");
    const bool has_id = stringField(line.fields, "request") == id ||
                        stringField(line.fields, "item") == id || batch == id;
    const bool is_job_event =
        jobs.contains(batch) && kJobWideEvents.contains(stringField(line.fields, "event"));
    if (has_id || is_job_event) trace.lines.push_back(line);
  }
  std::stable_sort(
      trace.lines.begin(), trace.lines.end(),
      [](const TraceLine& one, const TraceLine& other) { return one.time_ms < other.time_ms; });
  return trace;
}

Trace TraceReader::all() const {
  Trace trace{lines_, skipped_lines_};
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
    if (line.time_ms - before > kMinGapMs) {
      std::snprintf(stamp, sizeof(stamp), "    ... %.0f ms without a log line\n",
                    line.time_ms - before);
      text += stamp;
    }
    std::snprintf(stamp, sizeof(stamp), "%+10.0f ms  ", line.time_ms - first);
    text += stamp + line.node + "  " + stringField(line.fields, "part") + "." +
            stringField(line.fields, "event");
    for (const auto& [name, value] : line.fields.items()) {
      if (kCommonFields.contains(name)) continue;
      text += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    text += "\n";
    before = line.time_ms;
  }
  if (trace.skipped_lines > 0) {
    text += "(" + std::to_string(trace.skipped_lines) +
            " lines skipped: truncated or not from this product)\n";
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
  return json{{"lines", lines}, {"foreign", trace.skipped_lines}}.dump(2);
}

}  // namespace linenpier::logging
