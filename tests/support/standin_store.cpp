#include "support/standin_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base64.h"

namespace linenpier::test {

using nlohmann::json;
using platform_adapter::decodeBase64;
using platform_adapter::encodeBase64;

namespace {

constexpr Duration kWriteDelay = std::chrono::milliseconds(400);
constexpr std::size_t kMaxEntries = 100;

std::string parameter(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return {};
  const std::size_t begin = at + name.size() + 1;
  std::string value = target.substr(begin, target.find('&', begin) - begin);
  std::string decoded;
  for (std::size_t i = 0; i < value.size(); ++i) {
    if (value[i] == '%' && i + 2 < value.size()) {
      decoded.push_back(static_cast<char>(std::stoi(value.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(value[i]);
    }
  }
  return decoded;
}

}  // namespace

StandinStore::StandinStore(boost::asio::io_context& loop)
    : loop_(loop),
      server_(loop, [this](http::Request& request, Instant,
                           http::ResponseWriter& writer) { return handle(request, writer); }),
      change_signal_(loop) {
  server_.listen({0x7f000001, 0});
}

void StandinStore::put(const std::string& table, const std::string& key, const std::string& value) {
  rows_[{table, key}] = {value, ++version_, false};
  change_signal_.notifyAll();
}

void StandinStore::remove(const std::string& table, const std::string& key) {
  rows_[{table, key}] = {"", ++version_, true};
  change_signal_.notifyAll();
}

std::optional<std::string> StandinStore::get(const std::string& table,
                                             const std::string& key) const {
  const auto at = rows_.find({table, key});
  if (at == rows_.end() || at->second.removed) return std::nullopt;
  return at->second.value;
}

std::vector<std::string> StandinStore::keys(const std::string& table) const {
  std::vector<std::string> found;
  for (const auto& [key, row] : rows_) {
    if (key.first == table && !row.removed) found.push_back(key.second);
  }
  return found;
}

std::vector<std::string> StandinStore::objectNames(const std::string& prefix) const {
  std::vector<std::string> found;
  for (const auto& [name, bytes] : objects_) {
    if (name.starts_with(prefix)) found.push_back(name);
  }
  return found;
}

std::int64_t StandinStore::clockMs() const {
  if (faults_.no_clock) return 0;
  constexpr std::int64_t kFirstMs = 1000;
  const auto since =
      std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - started_at_);
  return kFirstMs + since.count();
}

std::uint64_t StandinStore::versionOf(const Key& key) const {
  const auto at = rows_.find(key);
  return at == rows_.end() || at->second.removed ? 0 : at->second.version;
}

std::string StandinStore::rowJson(const Key& key, const Row& row) const {
  json document = {{"table", key.first}, {"part", ""}, {"key", key.second}, {"ver", row.version}};
  if (row.removed) {
    document["gone"] = true;
  } else {
    document["value"] = encodeBase64(row.value);
  }
  return document.dump();
}

Task<void> StandinStore::reply(http::ResponseWriter& writer, unsigned status, std::string body) {
  http::Response response;
  response.result(status);
  response.body() = std::move(body);
  co_await writer.send(std::move(response));
}

Task<void> StandinStore::hang(http::ResponseWriter& writer) {
  while (!writer.cancellation().requested())
    co_await sleepFor(loop_, std::chrono::milliseconds(20));
}

std::string StandinStore::readRows(const std::string& target) const {
  const std::string table = parameter(target, "table");
  const std::string from = parameter(target, "from");
  const std::string until = parameter(target, "targetVersion");
  const std::string limit_text = parameter(target, "limit");
  const std::size_t limit = limit_text.empty() ? 500 : std::stoul(limit_text);
  std::string rows;
  std::size_t count = 0;
  bool more = false;
  for (const auto& [key, row] : rows_) {
    if (key.first != table || row.removed || key.second < from) continue;
    if (!until.empty() && key.second >= until) continue;
    if (count == limit) {
      more = true;
      break;
    }
    rows += (count++ > 0 ? "," : "") + rowJson(key, row);
  }
  return "{\"rows\":[" + rows + "],\"hasMore\":" + (more ? "true" : "false") +
         ",\"ver\":" + std::to_string(version_) + ",\"now_ms\":" + std::to_string(clockMs()) + "}";
}

std::pair<unsigned, std::string> StandinStore::transact(const std::string& body) {
  const json document = json::parse(body);
  const auto keyOf = [](const json& entry) { return Key{entry["table"], entry["key"]}; };
  const std::size_t entries =
      document["expected"].size() + document["put"].size() + document["remove"].size();
  if (entries > kMaxEntries) return {400, "{}"};
  bool matches = true;
  std::string current;
  for (const json& entry : document["expected"]) {
    const Key key = keyOf(entry);
    if (versionOf(key) != entry["ver"].get<std::uint64_t>()) matches = false;
    if (versionOf(key) > 0) current += (current.empty() ? "" : ",") + rowJson(key, rows_.at(key));
  }
  if (!matches) {
    return {412, "{\"rows\":[" + current + "],\"ver\":" + std::to_string(version_) + "}"};
  }
  ++version_;
  ++writes_;
  for (const json& entry : document["put"]) {
    rows_[keyOf(entry)] = {*decodeBase64(entry["value"].get<std::string>()), version_, false};
  }
  for (const json& entry : document["remove"]) rows_[keyOf(entry)] = {"", version_, true};
  change_signal_.notifyAll();
  return {200, "{\"ver\":" + std::to_string(version_) + ",\"now_ms\":" + std::to_string(clockMs()) +
                   "}"};
}

Task<void> StandinStore::handleFeed(std::string target, http::ResponseWriter& writer) {
  const std::string table = parameter(target, "table");
  const std::uint64_t after = std::stoull(parameter(target, "afterRev"));
  const Instant until =
      steadyNow() + std::chrono::milliseconds(std::stol(parameter(target, "waitMs")));
  if (faults_.forget_history) {
    faults_.forget_history = false;
    co_await reply(writer, 410, "{}");
    co_return;
  }
  for (;;) {
    std::map<std::uint64_t, std::string> changes;
    for (const auto& [key, row] : rows_) {
      if (key.first == table && row.version > after)
        changes[row.version * 1000 + changes.size()] = rowJson(key, row);
    }
    const Instant now = steadyNow();
    if (faults_.hang_feeds) {
      co_await sleepFor(loop_, std::chrono::milliseconds(20));
      if (writer.cancellation().requested()) co_return;
      continue;
    }
    if (!changes.empty() || now >= until) {
      std::string rows;
      for (const auto& [order, row] : changes) rows += (rows.empty() ? "" : ",") + row;
      if (!changes.empty()) ++feed_answers_[table];
      co_await reply(writer, 200,
                     "{\"rows\":[" + rows + "],\"ver\":" + std::to_string(version_) + "}");
      co_return;
    }
    co_await change_signal_.waitFor(until - now);
    if (writer.cancellation().requested()) co_return;
  }
}

void StandinStore::transactLater(const std::string& body, Duration delay) {
  spawn(loop_, [this, body, delay]() -> Task<void> {
    co_await sleepFor(loop_, delay);
    transact(body);
  });
}

StoreAct StandinStore::takeAct(const std::string& body) {
  if (script_.acts.empty()) return StoreAct::kAnswer;
  const json document = json::parse(body);
  const auto find = [&document](const std::string& prefix) {
    return std::find_if(document["put"].begin(), document["put"].end(), [&prefix](const json& row) {
      const std::string key = row["table"].get<std::string>() + "/" + row["key"].get<std::string>();
      return key.starts_with(prefix);
    });
  };
  const auto matching = find(script_.prefix);
  const bool excepted = !script_.except.empty() && find(script_.except) != document["put"].end();
  if (matching == document["put"].end() || excepted) return StoreAct::kAnswer;
  last_scripted_key_ = (*matching)["key"].get<std::string>();
  const StoreAct act = script_.acts.front();
  script_.acts.pop_front();
  return act;
}

Task<void> StandinStore::carryOut(StoreAct act, const std::string& body,
                                  http::ResponseWriter& writer) {
  switch (act) {
    case StoreAct::kAnswer:
      break;
    case StoreAct::kRefuse:
      co_await reply(writer, 503, "{}");
      co_return;
    case StoreAct::kRateLimit:
      co_await reply(writer, 429, "{}");
      co_return;
    case StoreAct::kBreakExecuted:
      transact(body);
      writer.abortConnection();
      co_return;
    case StoreAct::kBreakExecuteLate:
      transactLater(body, script_.delay);
      writer.abortConnection();
      co_return;
    case StoreAct::kGarble:
      transact(body);
      co_await reply(writer, 200, "<html>");
      co_return;
    case StoreAct::kHangExecuteLate:
      transactLater(body, script_.delay);
      co_await hang(writer);
      co_return;
    case StoreAct::kAnswerLate:
      co_await sleepFor(loop_, script_.delay);
      break;
  }
  auto [status, answer] = transact(body);
  co_await reply(writer, status, std::move(answer));
}

Task<bool> StandinStore::loseCall(bool write, const std::string& body,
                                  http::ResponseWriter& writer) {
  const StoreOverload overload = faults_.overload;
  if (random_.below(100) < overload.reset_percent) {
    writer.abortConnection();
    co_return true;
  }
  if (random_.below(100) >= overload.lost_percent) co_return false;
  if (write) {
    const auto range = static_cast<std::uint64_t>((overload.max_late - overload.min_late).count());
    transactLater(body, overload.min_late + Duration(random_.below(range + 1)));
    ++executed_late_;
  }
  co_await hang(writer);
  co_return true;
}

Task<bool> StandinStore::waitForTurn() {
  const StoreOverload overload = faults_.overload;
  if (overload.write_time == Duration::zero()) co_return true;
  const Instant now = steadyNow();
  const Instant begin = std::max(now, queue_end_);
  if (begin - now > overload.max_wait) {
    ++rate_limited_;
    co_return false;
  }
  queue_end_ = begin + overload.write_time;
  co_await sleepFor(loop_, queue_end_ - now);
  co_return true;
}

Task<void> StandinStore::handleWrite(const std::string& body, http::ResponseWriter& writer) {
  if (faults_.delay_writes > 0) {
    --faults_.delay_writes;
    transactLater(body, kWriteDelay);
    co_await hang(writer);
    co_return;
  }
  if (faults_.lose_writes > 0) {
    --faults_.lose_writes;
    transact(body);
    co_await hang(writer);
    co_return;
  }
  const StoreAct act = takeAct(body);
  co_await carryOut(act, body, writer);
}

Task<void> StandinStore::handle(http::Request& request, http::ResponseWriter& writer) {
  if (faults_.silent) {
    co_await hang(writer);
    co_return;
  }
  if (faults_.refuse || faults_.rate_limit) {
    co_await reply(writer, faults_.refuse ? 503 : 429, "{}");
    co_return;
  }
  if (faults_.nonsense) {
    co_await reply(writer, 200, "<html>");
    co_return;
  }
  if (faults_.overload.latency > Duration::zero()) {
    co_await sleepFor(loop_, faults_.overload.latency);
  }
  const bool write = request.target().starts_with("/linenpier/rows-tx");
  // The queue refuses a call before anything else can happen to it.
  if (write) {
    const bool served = co_await waitForTurn();
    if (!served) {
      co_await reply(writer, 429, "{}");
      co_return;
    }
  } else if (faults_.overload.read_time > Duration::zero()) {
    co_await sleepFor(loop_, faults_.overload.read_time);
  }
  const std::string body = request.body();
  const bool lost = co_await loseCall(write, body, writer);
  if (!lost) co_await handleCall(request, writer);
}

Task<void> StandinStore::handleCall(http::Request& request, http::ResponseWriter& writer) {
  const std::string target(request.target());
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/linenpier/rows-tx") {
    const std::string body = request.body();
    co_await handleWrite(body, writer);
  } else if (path == "/linenpier/rows-get") {
    std::string rows = readRows(target);
    co_await reply(writer, 200, std::move(rows));
  } else if (path == "/linenpier/rows-feed") {
    co_await handleFeed(target, writer);
  } else if (path.starts_with("/linenpier/blob-put/")) {
    const bool created = objects_.emplace(path.substr(20), request.body()).second;
    co_await reply(writer, created ? 200 : 412, "{}");
  } else if (path.starts_with("/linenpier/blob-get/")) {
    const auto at = objects_.find(path.substr(20));
    std::string bytes = at == objects_.end() ? std::string() : at->second;
    co_await reply(writer, at == objects_.end() ? 404 : 200, std::move(bytes));
  } else if (path.starts_with("/linenpier/blob-drop/")) {
    const bool known = objects_.erase(path.substr(21)) > 0;
    co_await reply(writer, known ? 200 : 404, "{}");
  } else if (path == "/linenpier/blob-list") {
    const std::vector<std::string> found = objectNames(parameter(target, "pathPrefix"));
    const json document = {{"names", found}, {"hasMore", false}};
    co_await reply(writer, 200, document.dump());
  } else {
    co_await reply(writer, 404, "{}");
  }
}

}  // namespace linenpier::test
