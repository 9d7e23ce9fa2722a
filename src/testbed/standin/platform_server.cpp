#include "testbed/standin/platform_server.h"

#include <nlohmann/json.hpp>

#include "common/log.h"
#include "daemon/api/elastic_task_queue.h"
#include "daemon/clients/http_call.h"
#include "daemon/clients/http_listen.h"

namespace linenpier::standin {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxThreads = 4096;
constexpr auto kAdvancePeriod = std::chrono::milliseconds(20);
constexpr auto kHang = std::chrono::milliseconds(3500);  ///< Longer than callers wait.
constexpr auto kPieceWait = std::chrono::milliseconds(500);

/// @return the zone of the caller, from its "zone/daemon" header.
std::string callerZone(const httplib::Request& request) {
  const std::string caller = request.get_header_value("X-Caller");
  return caller.substr(0, caller.find('/'));
}

void answer(httplib::Response& response, int status, const json& body) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

/// Breaks the connection in the middle of the answer.
void loseAnswer(httplib::Response& response) {
  response.set_content_provider(1000, "application/json",
                                [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

json rowJson(const table::Row& row) {
  return {{"key", row.key}, {"revision", row.revision}, {"value", row.value}};
}

table::Transaction parseTransaction(const std::string& body) {
  const json object = json::parse(body);
  table::Transaction transaction;
  for (const json& check : object.at("checks")) {
    transaction.checks.push_back({check.at("key"), check.at("revision").get<Revision>()});
  }
  for (const json& put : object.at("puts")) {
    transaction.puts.push_back({put.at("key"), put.at("value")});
  }
  return transaction;
}

}  // namespace

PlatformServer::PlatformServer(Topology topology, std::uint64_t seed)
    : topology_(std::move(topology)),
      faults_(seed),
      table_rate_(topology_.limits.table_rate),
      object_rate_(topology_.limits.object_rate),
      relay_(topology_.daemons, faults_) {
  for (const EnginePool& pool : topology_.pools) {
    for (std::uint32_t i = 1; i <= pool.count; ++i) {
      const EngineId id(pool.name + "-" + std::to_string(i));
      engines_[id.str()] = std::make_unique<EngineSim>(id, pool, topology_.limits, faults_);
    }
  }
  server_.new_task_queue = [] { return new api::ElasticTaskQueue(kMaxThreads); };
  server_.set_tcp_nodelay(true);
  server_.set_keep_alive_max_count(1);
  server_.set_payload_max_length(64 << 20);
  registerTable();
  registerObjects();
  registerDirectory();
  registerEngines();
  registerControl();
}

PlatformServer::~PlatformServer() {
  stop();
}

tl::expected<void, Findings> PlatformServer::start() {
  if (const auto relay = relay_.start(); !relay) return tl::make_unexpected(relay.error());
  if (auto bound = platform::bindHttpServer(server_, topology_.listen); !bound) return bound;
  server_thread_ = std::thread([this] { server_.listen_after_bind(); });
  advance_thread_ = std::thread([this] { advanceLoop(); });
  LINENPIER_LOG(info, "platform") << "Listening on " << toString(topology_.listen) << " with "
                                  << engines_.size() << " engines.";
  return {};
}

void PlatformServer::stop() {
  stopping_ = true;
  server_.stop();
  if (server_thread_.joinable()) server_thread_.join();
  if (advance_thread_.joinable()) advance_thread_.join();
  relay_.stop();
}

void PlatformServer::advanceLoop() {
  Instant last = steadyNow();
  while (!stopping_) {
    std::this_thread::sleep_for(kAdvancePeriod);
    const Instant now = steadyNow();
    const double elapsed_ms = toSeconds(now - last) * 1000;
    last = now;
    for (auto& [id, engine] : engines_) engine->advance(now, elapsed_ms);
  }
}

template <typename Work>
void PlatformServer::storeCall(const std::string& service, RateLimit& rate, double usual_ms,
                               const Request& request, Response& response, Work work) {
  const StoreTreatment treatment = faults_.treatStore(service, callerZone(request));
  if (treatment == StoreTreatment::kRefuse) return answer(response, 503, {{"error", "down"}});
  if (treatment == StoreTreatment::kHang) {
    std::this_thread::sleep_for(kHang);
    return answer(response, 503, {{"error", "down"}});
  }
  if (!rate.allow(steadyNow())) return answer(response, 429, {{"error", "rate"}});
  std::this_thread::sleep_for(fromSeconds(usual_ms / 1000));
  try {
    work();
  } catch (const json::exception& error) {
    return answer(response, 400, {{"error", error.what()}});
  }
  if (treatment == StoreTreatment::kLoseAnswer) loseAnswer(response);
}

void PlatformServer::registerTable() {
  const double usual = topology_.limits.table_ms;
  server_.Post("/table/transact", [this, usual](const Request& request, Response& response) {
    storeCall("table", table_rate_, usual, request, response, [&] {
      const auto result = table_.transact(parseTransaction(request.body));
      json conflicts = json::array();
      for (const table::Row& row : result.conflicts) conflicts.push_back(rowJson(row));
      answer(response, 200,
             {{"committed", result.committed},
              {"revision", result.revision},
              {"conflicts", conflicts}});
    });
  });
  server_.Get("/table/row", [this, usual](const Request& request, Response& response) {
    storeCall("table", table_rate_, usual, request, response,
              [&] { answer(response, 200, rowJson(table_.read(request.get_param_value("key")))); });
  });
  server_.Get("/table/rows", [this, usual](const Request& request, Response& response) {
    storeCall("table", table_rate_, usual, request, response, [&] {
      json rows = json::array();
      for (const table::Row& row : table_.list(request.get_param_value("prefix"))) {
        rows.push_back(rowJson(row));
      }
      answer(response, 200, rows);
    });
  });
}

void PlatformServer::registerObjects() {
  const double usual = topology_.limits.object_ms;
  server_.Put("/objects", [this, usual](const Request& request, Response& response) {
    storeCall("objects", object_rate_, usual, request, response, [&] {
      objects_.put(request.get_param_value("key"), request.body);
      answer(response, 200, json::object());
    });
  });
  server_.Get("/objects", [this, usual](const Request& request, Response& response) {
    storeCall("objects", object_rate_, usual, request, response, [&] {
      const auto object = objects_.get(request.get_param_value("key"));
      if (!object) return answer(response, 404, {{"error", "no such object"}});
      response.set_content(*object, "application/octet-stream");
    });
  });
  server_.Delete("/objects", [this, usual](const Request& request, Response& response) {
    storeCall("objects", object_rate_, usual, request, response, [&] {
      objects_.remove(request.get_param_value("key"));
      answer(response, 200, json::object());
    });
  });
  server_.Get("/objects/list", [this, usual](const Request& request, Response& response) {
    storeCall("objects", object_rate_, usual, request, response,
              [&] { answer(response, 200, objects_.list(request.get_param_value("prefix"))); });
  });
}

void PlatformServer::registerDirectory() {
  server_.Get("/machines", [this](const Request& request, Response& response) {
    storeCall("machines", table_rate_, 1, request, response, [&] {
      response.set_content(machineList(request.get_param_value("zone")), "application/json");
    });
  });
  server_.Get("/weights", [this](const Request& request, Response& response) {
    storeCall("weights", table_rate_, 1, request, response, [&] {
      const ModelName model(request.get_param_value("model"));
      answer(response, 200, {{"version", weights_.newest(model)}});
    });
  });
  server_.Put("/weights", [this](const Request& request, Response& response) {
    const json body = json::parse(request.body, nullptr, false);
    weights_.publish(ModelName(body.value("model", "")), body.value("version", WeightVersion{0}));
    answer(response, 200, json::object());
  });
}

std::string PlatformServer::machineList(const std::string& zone) {
  const Instant now = steadyNow();
  const Duration lag = fromSeconds(topology_.limits.list_lag_ms / 1000);
  json daemons = json::array();
  for (const ListedDaemon& daemon : topology_.daemons) {
    const Address& control = daemon.relay.port != 0 ? daemon.relay : daemon.control;
    daemons.push_back({{"id", daemon.id.str()},
                       {"zone", daemon.zone.str()},
                       {"region", daemon.region.str()},
                       {"control", toString(control)}});
  }
  json engines = json::array();
  const std::lock_guard lock(leaving_mutex_);
  for (const auto& [id, engine] : engines_) {
    if (engine->pool().zone.str() != zone) continue;
    if (!faults_.engineLeaving(id)) {
      leaving_noticed_.erase(id);
    } else {
      leaving_noticed_.try_emplace(id, now);
    }
    const auto noticed = leaving_noticed_.find(id);
    const bool leaving = noticed != leaving_noticed_.end() && now - noticed->second > lag;
    engines.push_back({{"id", id},
                       {"zone", zone},
                       {"model", engine->pool().model.str()},
                       {"url", "http://" + toString(topology_.listen) + "/engines/" + id},
                       {"leaving", leaving}});
  }
  return json{{"daemons", daemons}, {"engines", engines}}.dump();
}

EngineSim* PlatformServer::reachable(const Request& request, Response& response) {
  const auto found = engines_.find(request.matches[1].str());
  if (found == engines_.end()) {
    answer(response, 404, {{"error", "no such engine"}});
    return nullptr;
  }
  EngineSim* engine = found->second.get();
  if (faults_.cut(callerZone(request), engine->pool().zone.str())) {
    faults_.noteStruck("engine-cut");
    std::this_thread::sleep_for(kHang);
    answer(response, 504, {{"error", "cut"}});
    return nullptr;
  }
  const EngineMode mode = faults_.engineMode(engine->id().str());
  if (mode == EngineMode::kFrozen) std::this_thread::sleep_for(kHang);
  if (mode == EngineMode::kCrashed) {
    answer(response, 503, {{"error", "down"}});
    return nullptr;
  }
  return engine;
}

void PlatformServer::registerEngines() {
  const std::string prefix = "/engines/([A-Za-z0-9._-]+)";
  server_.Post(prefix + "/v1/completions", [this](const Request& request, Response& response) {
    if (EngineSim* engine = reachable(request, response)) generate(*engine, request, response);
  });
  server_.Post(prefix + "/abort", [this](const Request& request, Response& response) {
    EngineSim* engine = reachable(request, response);
    if (engine == nullptr) return;
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_object()) engine->cancel(body.value("request_id", ""));
    answer(response, 200, json::object());
  });
  server_.Get(prefix + "/load", [this](const Request& request, Response& response) {
    EngineSim* engine = reachable(request, response);
    if (engine == nullptr) return;
    const wire::EngineReport report = engine->laggingLoad(steadyNow());
    answer(response, 200,
           {{"engine", report.engine.str()},
            {"running", report.running},
            {"waiting", report.waiting},
            {"slots", report.slots},
            {"version", report.version},
            {"prefetched", report.prefetched},
            {"leaving", report.leaving}});
  });
  server_.Post(prefix + "/orders", [this](const Request& request, Response& response) {
    if (EngineSim* engine = reachable(request, response)) orderEngine(*engine, request, response);
  });
}

void PlatformServer::generate(EngineSim& engine, const Request& request, Response& response) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return answer(response, 400, {{"error", "not an object"}});
  const std::string attempt = body.value("request_id", "");
  const auto sequence =
      engine.start(attempt, body.value("prompt", ""), body.value("resume_tokens", 0U),
                   body.value("max_tokens", 32U), body.value("priority", 0));
  if (!sequence) return answer(response, 503, {{"error", "down"}});
  const std::string zone = callerZone(request);
  response.set_chunked_content_provider(
      "text/event-stream",
      [this, &engine, sequence, attempt, zone](std::size_t, httplib::DataSink& sink) {
        const auto write = [&sink](const std::string& text) {
          return sink.write(text.data(), text.size());
        };
        const auto event = [&](const engine::Piece& piece, const char* finish) {
          json choice = {{"index", 0}, {"text", piece.text}, {"finish_reason", nullptr}};
          if (finish != nullptr) choice["finish_reason"] = finish;
          const json object = {{"id", attempt},
                               {"choices", json::array({choice})},
                               {"weight_version", piece.version},
                               {"tokens", piece.tokens}};
          return "data: " + object.dump() + "\n\n";
        };
        bool ended = false;
        bool broken = false;
        const auto pieces = engine.take(sequence, kPieceWait, ended, broken);
        const bool frozen = faults_.engineMode(engine.id().str()) == EngineMode::kFrozen;
        if (frozen || faults_.cut(zone, engine.pool().zone.str())) {
          std::this_thread::sleep_for(kHang);
        }
        for (const engine::Piece& piece : pieces) {
          if (!write(event(piece, nullptr))) {
            engine.cancel(attempt);
            return false;
          }
        }
        if (broken) return false;
        if (!ended) return pieces.empty() ? write(": waiting\n\n") : true;
        write(event({}, "stop") + "data: [DONE]\n\n");
        sink.done();
        return true;
      },
      [&engine, attempt](bool success) {
        if (!success) engine.cancel(attempt);
      });
}

void PlatformServer::orderEngine(EngineSim& engine, const Request& request, Response& response) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return answer(response, 400, {{"error", "not an object"}});
  switch (engine.order(body.value("kind", ""), body.value("token", FencingToken{0}),
                       body.value("version", WeightVersion{0}))) {
    case OrderResult::kDone:
      return answer(response, 200, {{"done", true}});
    case OrderResult::kFenced:
      return answer(response, 409, {{"error", "fenced"}});
    case OrderResult::kFailed:
      return answer(response, 500, {{"error", "failed"}});
  }
}

void PlatformServer::registerControl() {
  server_.Get("/healthz", [](const Request&, Response& response) {
    response.set_content("ok\n", "text/plain");
  });
  server_.Post("/faults", [this](const Request& request, Response& response) {
    const auto applied = faults_.apply(request.body);
    if (!applied) return answer(response, 400, {{"error", applied.error()}});
    answer(response, 200, json::object());
  });
  server_.Get("/record", [this](const Request&, Response& response) {
    response.set_content(record(), "application/json");
  });
}

std::string PlatformServer::record() const {
  std::map<std::string, int> once;
  std::uint64_t late_starts = 0;
  for (const auto& [id, engine] : engines_) {
    for (const auto& [request, starts] : engine->onceStarts()) once[request] += starts;
    late_starts += engine->startsWhileLeaving();
  }
  return json{{"once_starts", once},
              {"starts_while_leaving", late_starts},
              {"table_writes", table_.writes()},
              {"faults_struck", faults_.struck()}}
      .dump();
}

}  // namespace linenpier::standin
