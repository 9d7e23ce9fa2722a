#include "testbed/load/caller.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "daemon/clients/http_call.h"
#include "daemon/clients/server_sent_events.h"
#include "testbed/standin/token_text.h"

namespace linenpier::load {

using nlohmann::json;

namespace {

constexpr Duration kMaxPause = std::chrono::milliseconds(300);
/// A daemon that sends nothing for this long is taken for dead: another one is asked.
constexpr Duration kMaxSilence = std::chrono::milliseconds(700);

/// Collects a streamed answer.
class StreamedAnswer {
 public:
  bool onBytes(std::string_view bytes) {
    return events_.feed(bytes, [this](std::string_view data) {
      if (data == "[DONE]") {
        done_ = true;
        return true;
      }
      const json event = json::parse(data, nullptr, false);
      if (!event.is_object()) return true;
      if (event.contains("error")) error_ = event;
      if (event.contains("choices")) text_ += event["choices"][0].value("text", "");
      return true;
    });
  }
  bool done() const { return done_; }
  const std::string& text() const { return text_; }
  const json& error() const { return error_; }

 private:
  platform::ServerSentEvents events_;
  std::string text_;
  json error_;
  bool done_ = false;
};

}  // namespace

double percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

Caller::Caller(CallerPlan plan, Targets& targets, std::uint64_t seed)
    : plan_(std::move(plan)), targets_(targets), random_(seed) {
  result_.name = plan_.name;
}

CallerResult Caller::run(Duration duration) {
  std::vector<std::thread> threads;
  const Instant start = steadyNow();
  Instant intended = start;
  std::exponential_distribution<double> gap(plan_.rate);
  while (true) {
    intended += fromSeconds(gap(random_.engine()));
    if (intended - start > duration) break;
    Lookup lookup;
    const std::string number = random_.hex16();
    if (random_.unit() < plan_.once_share) lookup.once_id = number;
    lookup.prompt = plan_.name + " lookup " + number + ";len=" + std::to_string(plan_.tokens) + ";";
    if (!lookup.once_id.empty()) lookup.prompt += "once=" + lookup.once_id + ";";
    lookup.intended = intended;
    std::this_thread::sleep_until(intended);
    threads.emplace_back([this, lookup] { perform(lookup); });
  }
  for (std::thread& thread : threads) thread.join();
  return result_;
}

void Caller::perform(const Lookup& lookup) {
  const Instant deadline = lookup.intended + std::chrono::milliseconds(plan_.deadline_ms);
  Reply reply;
  std::set<Address> failed;
  while (true) {
    const Duration left = deadline - steadyNow();
    if (left <= Duration::zero()) break;
    const Address& target = targets_.nextBut(failed);
    reply = ask(target, lookup, left);
    if (!reply.try_elsewhere) break;
    failed.insert(target);
    {
      const std::lock_guard lock(mutex_);
      ++result_.reconnects;
    }
    const Duration left_after = deadline - steadyNow();
    std::this_thread::sleep_for(
        std::clamp(std::min(reply.retry_after, left_after), Duration::zero(), kMaxPause));
  }
  record(lookup, reply);
}

Caller::Reply Caller::ask(const Address& target, const Lookup& lookup, Duration left) {
  auto client = platform::makeClient(platform::serviceUrl(target),
                                     {std::chrono::milliseconds(300), std::min(left, kMaxSilence)});
  const bool once = !lookup.once_id.empty();
  const bool stream = !once;
  const auto left_ms = std::max<long>(1, left / std::chrono::milliseconds(1));
  httplib::Request call;
  call.method = "POST";
  call.path = "/v1/completions";
  call.headers = {{"Authorization", "Bearer " + plan_.key},
                  {"Content-Type", "application/json"},
                  {"X-Deadline-Ms", std::to_string(left_ms)}};
  if (once) {
    call.headers.emplace("X-Not-Repeatable", "true");
    call.headers.emplace("Idempotency-Key", lookup.once_id);
  }
  call.body = json{
      {"model", plan_.model.str()},
      {"prompt", lookup.prompt},
      {"max_tokens", plan_.tokens},
      {"stream",
       stream}}.dump();
  StreamedAnswer streamed;
  std::string body;
  int status = 0;
  Duration retry_after{};
  call.response_handler = [&](const httplib::Response& response) {
    status = response.status;
    const std::string header = response.get_header_value("Retry-After");
    retry_after = std::chrono::seconds(std::atoi(header.c_str()));
    return true;
  };
  call.content_receiver = [&](const char* data, std::size_t length, std::uint64_t, std::uint64_t) {
    if (status == 200 && stream) return streamed.onBytes({data, length});
    body.append(data, length);
    return true;
  };
  const auto result = client.send(call);
  // Without an answer a caller asks again: a lookup may be repeated, and a not-repeatable request
  // carries its key.
  if (!result) return {LookupEnd::kLost, "no-answer", true, {}};
  const std::string expected = standin::wholeText(lookup.prompt, plan_.tokens);
  json error;
  if (status == 200 && stream) {
    if (streamed.done()) {
      return {streamed.text() == expected ? LookupEnd::kWhole : LookupEnd::kMixed, "", false, {}};
    }
    error = streamed.error();
    if (error.is_null()) return {LookupEnd::kLost, "torn", true, {}};
  } else {
    error = json::parse(body, nullptr, false);
    if (!error.is_object()) return {LookupEnd::kLost, "bad-answer", true, {}};
    if (status == 200) {
      const std::string text = error["choices"][0].value("text", "");
      return {text == expected ? LookupEnd::kWhole : LookupEnd::kMixed, "", false, {}};
    }
  }
  const json details = error.value("error", json::object());
  const bool not_run = details.value("ran", "") == "not-run";
  const std::string code = details.value("code", "");
  const bool again = status == 503 || status == 409 || status == 502 || (status == 200 && !once);
  return {not_run ? LookupEnd::kNotRun : LookupEnd::kUnknown, code, again, retry_after};
}

void Caller::record(const Lookup& lookup, const Reply& reply) {
  const double latency_ms = toSeconds(steadyNow() - lookup.intended) * 1000;
  const std::lock_guard lock(mutex_);
  ++result_.sent;
  if (!lookup.once_id.empty()) result_.once[lookup.once_id] = reply.end;
  if (!reply.code.empty()) ++result_.refusals[reply.code];
  switch (reply.end) {
    case LookupEnd::kWhole:
      ++result_.whole;
      result_.latencies_ms.push_back(latency_ms);
      if (latency_ms > plan_.deadline_ms) ++result_.late;
      break;
    case LookupEnd::kMixed:
      ++result_.mixed;
      break;
    case LookupEnd::kNotRun:
      ++result_.not_run;
      break;
    case LookupEnd::kUnknown:
      ++result_.unknown;
      break;
    case LookupEnd::kLost:
      ++result_.lost;
      break;
  }
}

}  // namespace linenpier::load
