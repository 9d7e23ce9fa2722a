#include "testbed/load/report.h"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "daemon/clients/http_call.h"

namespace linenpier::load {

using nlohmann::json;

namespace {

template <typename... Arguments>
std::string format(const char* pattern, Arguments... arguments) {
  char buffer[512];
  std::snprintf(buffer, sizeof(buffer), pattern, arguments...);
  return buffer;
}

unsigned long long number(std::uint64_t value) {
  return value;
}

json callerJson(const CallerResult& caller) {
  return {{"name", caller.name},
          {"sent", caller.sent},
          {"answered", caller.whole},
          {"late", caller.late},
          {"refused_not_run", caller.not_run},
          {"outcome_unknown", caller.unknown},
          {"lost", caller.lost},
          {"mixed", caller.mixed},
          {"reconnects", caller.reconnects},
          {"refusals", caller.refusals},
          {"p50_ms", percentile(caller.latencies_ms, 0.5)},
          {"p99_ms", percentile(caller.latencies_ms, 0.99)}};
}

json trainerJson(const TrainerResult& trainer) {
  return {{"name", trainer.name},
          {"steps", trainer.steps},
          {"samples", trainer.samples},
          {"idle_share", trainer.idleShare()},
          {"wait_p50_ms", percentile(trainer.waits_ms, 0.5)},
          {"wait_p99_ms", percentile(trainer.waits_ms, 0.99)},
          {"mean_staleness", trainer.meanStaleness()},
          {"max_staleness", trainer.staleness_max},
          {"over_bound", trainer.over_bound},
          {"mixed", trainer.mixed},
          {"doubled", trainer.doubled},
          {"missing", trainer.missing},
          {"differing_repeats", trainer.differing_repeats},
          {"samples_of_several_versions", trainer.mixed_versions},
          {"failed_calls", trainer.failed_calls}};
}

}  // namespace

PlatformRecord readRecord(const Address& platform) {
  auto client = platform::makeClient(platform::serviceUrl(platform), {});
  const auto response = client.Get("/record");
  PlatformRecord record;
  if (!response || response->status != 200) return record;
  const json object = json::parse(response->body, nullptr, false);
  if (!object.is_object()) return record;
  record.read = true;
  record.once_starts = object["once_starts"].get<std::map<std::string, int>>();
  record.starts_while_leaving = object["starts_while_leaving"].get<std::uint64_t>();
  record.table_writes = object["table_writes"].get<std::uint64_t>();
  record.faults_struck = object["faults_struck"].get<std::map<std::string, std::uint64_t>>();
  return record;
}

Verdict judge(const RunResult& result) {
  Verdict verdict;
  for (const CallerResult& caller : result.callers) {
    verdict.lost += caller.lost;
    verdict.mixed += caller.mixed;
    for (const auto& [id, end] : caller.once) {
      const auto starts = result.record.once_starts.find(id);
      const int count = starts == result.record.once_starts.end() ? 0 : starts->second;
      verdict.doubled += count > 1;
      verdict.ran_but_refused += end == LookupEnd::kNotRun && count > 0;
    }
  }
  for (const TrainerResult& trainer : result.trainers) {
    verdict.doubled += trainer.doubled + trainer.differing_repeats;
    verdict.mixed += trainer.mixed;
    verdict.stale += trainer.over_bound;
    verdict.missing += trainer.missing;
  }
  return verdict;
}

std::string toJson(const RunResult& result) {
  json callers = json::array();
  for (const CallerResult& caller : result.callers) callers.push_back(callerJson(caller));
  json trainers = json::array();
  for (const TrainerResult& trainer : result.trainers) trainers.push_back(trainerJson(trainer));
  const Verdict verdict = judge(result);
  return json{{"callers", callers},
              {"trainers", trainers},
              {"violations",
               {{"lost", verdict.lost},
                {"doubled", verdict.doubled},
                {"mixed", verdict.mixed},
                {"stale", verdict.stale},
                {"ran_but_refused", verdict.ran_but_refused},
                {"missing", verdict.missing},
                {"late_starts_on_leaving_engines", result.record.starts_while_leaving}}},
              {"table_writes", result.record.table_writes},
              {"faults_struck", result.record.faults_struck}}
      .dump(2);
}

std::string toTable(const RunResult& result) {
  std::string text = format("%-16s %7s %9s %6s %8s %8s %6s %9s %9s\n", "caller", "sent", "answered",
                            "late", "refused", "unknown", "lost", "p50 ms", "p99 ms");
  for (const CallerResult& c : result.callers) {
    text += format("%-16s %7llu %9llu %6llu %8llu %8llu %6llu %9.1f %9.1f\n", c.name.c_str(),
                   number(c.sent), number(c.whole), number(c.late), number(c.not_run),
                   number(c.unknown), number(c.lost), percentile(c.latencies_ms, 0.5),
                   percentile(c.latencies_ms, 0.99));
  }
  text += format("\n%-16s %6s %8s %10s %11s %11s %10s %9s\n", "trainer", "steps", "samples",
                 "idle time", "wait p99 ms", "staleness", "max stale", "doubled");
  for (const TrainerResult& t : result.trainers) {
    text += format("%-16s %6llu %8llu %9.1f%% %11.0f %11.2f %10llu %9llu\n", t.name.c_str(),
                   number(t.steps), number(t.samples), t.idleShare() * 100,
                   percentile(t.waits_ms, 0.99), t.meanStaleness(), number(t.staleness_max),
                   number(t.doubled));
  }
  const Verdict v = judge(result);
  text += format(
      "\nviolations: lost %llu, doubled %llu, mixed %llu, stale %llu, ran but refused %llu, "
      "missing %llu\n",
      number(v.lost), number(v.doubled), number(v.mixed), number(v.stale),
      number(v.ran_but_refused), number(v.missing));
  return text;
}

}  // namespace linenpier::load
