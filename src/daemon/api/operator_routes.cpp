#include "daemon/api/operator_routes.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace linenpier::api {

using daemon::EditOutcome;
using nlohmann::json;

namespace {

const RequestId kNoRequest;
constexpr auto kMaxWaitInForce = std::chrono::seconds(1);
constexpr auto kWaitInForceStep = std::chrono::milliseconds(2);

json itemJson(const wire::ConfigItem& item) {
  return {{"key", item.key},
          {"revision", item.revision},
          {"document", json::parse(item.document, nullptr, false)}};
}

/// @return the configuration key that a path such as "/admin/template/basic" names.
std::string keyOf(const httplib::Request& request) {
  return request.matches[1].str() + "/" + request.matches[2].str();
}

const char* memberStatusName(wire::MemberStatus status) {
  switch (status) {
    case wire::MemberStatus::kAlive:
      return "alive";
    case wire::MemberStatus::kSuspect:
      return "suspect";
    case wire::MemberStatus::kDead:
      return "dead";
    case wire::MemberStatus::kLeft:
      return "left";
  }
  return "dead";
}

json memberJson(const wire::MemberRecord& member) {
  return {{"id", member.id.str()},
          {"zone", member.zone.str()},
          {"address", toString(member.address)},
          {"incarnation", member.incarnation},
          {"status", memberStatusName(member.status)}};
}

json engineJson(const upstream::EngineState& engine) {
  return {{"id", engine.seed.id.str()},         {"model", engine.seed.model.str()},
          {"running", engine.report.running},   {"waiting", engine.report.waiting},
          {"slots", engine.report.slots},       {"version", engine.report.version},
          {"in_flight_here", engine.in_flight}, {"leaving", engine.leaving()}};
}

}  // namespace

OperatorRoutes::OperatorRoutes(ApiContext& context, IdSource& ids)
    : context_(context), ids_(ids), store_(context.services.table) {}

void OperatorRoutes::registerOn(httplib::Server& server) {
  server.Get("/admin/(template|tenant)", guarded(&OperatorRoutes::handleList));
  server.Get("/admin/(template|tenant)/([a-z0-9._-]{1,64})", guarded(&OperatorRoutes::handleGet));
  server.Put("/admin/(template|tenant)/([a-z0-9._-]{1,64})", guarded(&OperatorRoutes::handlePut));
  server.Get("/admin/status", guarded(&OperatorRoutes::handleStatus));
  server.Get("/admin/explain/([A-Za-z0-9._-]{1,128})", guarded(&OperatorRoutes::handleExplain));
}

httplib::Server::Handler OperatorRoutes::guarded(
    void (OperatorRoutes::*handler)(const httplib::Request&, httplib::Response&)) {
  return [this, handler](const httplib::Request& request, httplib::Response& response) {
    const std::string key = bearerKey(request);
    // Hashes are compared, so that the time taken tells nothing of the key.
    const bool allowed =
        config::sha256Hex(key) == config::sha256Hex(context_.settings.operator_key);
    if (!allowed) return answerProblem(response, unauthorized(), kNoRequest);
    (this->*handler)(request, response);
  };
}

void OperatorRoutes::handleList(const httplib::Request& request, httplib::Response& response) {
  const auto reply = context_.node.config(request.matches[1].str() + "/");
  json items = json::array();
  for (const wire::ConfigItem& item : reply.items) items.push_back(itemJson(item));
  answerJson(response, 200, json{{"revision", reply.revision}, {"items", items}}.dump());
}

void OperatorRoutes::handleGet(const httplib::Request& request, httplib::Response& response) {
  const std::string key = keyOf(request);
  for (const wire::ConfigItem& item : context_.node.config(key).items) {
    if (item.key == key) return answerJson(response, 200, itemJson(item).dump());
  }
  answerProblem(response, notFound(), kNoRequest);
}

void OperatorRoutes::handlePut(const httplib::Request& request, httplib::Response& response) {
  const std::string key = keyOf(request);
  const json body = json::parse(request.body, nullptr, false);
  const bool valid = body.is_object() && body.contains("document") &&
                     body["document"].is_object() && body.contains("made_from") &&
                     body["made_from"].is_number_unsigned();
  if (!valid) {
    const auto problem = badRequest("\"made_from\" (number) and \"document\" (object) are needed.");
    return answerProblem(response, problem, kNoRequest);
  }
  const std::string document = body["document"].dump();
  if (const Findings findings = check(key, document); !findings.empty()) {
    return answerProblem(response, {422, "bad-document", describe(findings), {}, {}}, kNoRequest);
  }
  const daemon::ConfigEdit edit{key, body["made_from"].get<Revision>(), document};
  const auto result = store_.commit(edit, AttemptId(ids_.next()));
  switch (result.outcome) {
    case EditOutcome::kAccepted:
      context_.node.post(node::ConfigCommitted{result.item});
      waitInForce(result.item.revision);
      return answerJson(response, 200,
                        json{{"status", "accepted"}, {"revision", result.item.revision}}.dump());
    case EditOutcome::kConflict:
      return answerJson(
          response, 409,
          json{{"error",
                {{"code", "conflict"},
                 {"message", "Made from revision " + std::to_string(edit.made_from) +
                                 ", but the item is at revision " +
                                 std::to_string(result.item.revision) + "."}}},
               {"made_from", edit.made_from},
               {"current", result.item.revision == 0 ? json() : itemJson(result.item)}}
              .dump());
    case EditOutcome::kNotAccepted:
      return answerProblem(response, tableUnavailable(), kNoRequest);
    case EditOutcome::kUnknown: {
      Problem problem = tableUnavailable();
      problem.code = "outcome-unknown";
      problem.message = "The store did not confirm the edit; read the item to see.";
      problem.run_state = upstream::RunState::kUnknown;
      return answerProblem(response, problem, kNoRequest);
    }
  }
}

void OperatorRoutes::waitInForce(Revision revision) const {
  const Instant deadline = steadyNow() + kMaxWaitInForce;
  while (context_.config.get()->revision < revision && steadyNow() < deadline) {
    std::this_thread::sleep_for(kWaitInForceStep);
  }
}

Findings OperatorRoutes::check(const std::string& key, const std::string& document) const {
  Findings findings;
  const std::string name = key.substr(key.find('/') + 1);
  if (key.starts_with(config::kTemplatePrefix)) {
    const auto parsed = config::parseTemplate(key, document);
    if (!parsed) return parsed.error();
    if (parsed->name != name) findings.push_back({key + ".name", "must be " + name});
    return findings;
  }
  const auto parsed = config::parseTenant(key, document);
  if (!parsed) return parsed.error();
  if (parsed->name.str() != name) findings.push_back({key + ".name", "must be " + name});
  const auto snapshot = context_.config.get();
  for (const config::TenantModel& model : parsed->models) {
    if (!snapshot->templates.contains(model.template_name)) {
      findings.push_back({key + ".models", "template " + model.template_name + " does not exist"});
    }
  }
  for (const std::string& hash : parsed->key_hashes) {
    const auto owner = snapshot->tenant_by_key_hash.find(hash);
    if (owner != snapshot->tenant_by_key_hash.end() && owner->second != parsed->name) {
      findings.push_back({key + ".key_hashes", "a key is in use already"});
    }
  }
  return findings;
}

void OperatorRoutes::handleStatus(const httplib::Request& /*request*/,
                                  httplib::Response& response) {
  const node::NodeStatus status = context_.node.status();
  json members = json::array();
  for (const auto& member : status.members) members.push_back(memberJson(member));
  json engines = json::array();
  for (const auto& engine : status.engines) engines.push_back(engineJson(engine));
  json heads = json::object();
  for (const auto& head : status.heads) heads[head.model.str()] = head.version;
  const json answer = {{"id", status.self.id.str()},
                       {"zone", status.self.zone.str()},
                       {"ready", status.ready},
                       {"config_revision", status.config_revision},
                       {"members", members},
                       {"engines", engines},
                       {"newest_weights", heads},
                       {"queued", status.queued},
                       {"in_flight", status.in_flight},
                       {"samples_running", status.samples_running},
                       {"steps", status.coordinator.steps},
                       {"samples_wanted", status.coordinator.samples_wanted},
                       {"samples_done", status.coordinator.samples_done},
                       {"samples_replaced_stale", status.coordinator.replaced_stale},
                       {"samples_replaced_lost", status.coordinator.replaced_lost}};
  answerJson(response, 200, answer.dump());
}

void OperatorRoutes::handleExplain(const httplib::Request& request, httplib::Response& response) {
  const auto explanation = context_.node.explain(RequestId(request.matches[1].str()));
  if (!explanation) return answerProblem(response, notFound(), kNoRequest);
  json scores = json::array();
  for (const auto& score : explanation->scores) {
    scores.push_back(
        {{"engine", score.engine.str()}, {"score", score.score}, {"reason", score.reason}});
  }
  answerJson(response, 200,
             json{{"request", explanation->request.str()},
                  {"tenant", explanation->tenant.str()},
                  {"outcome", explanation->outcome},
                  {"waited_ms", toSeconds(explanation->waited) * 1000},
                  {"candidates", scores}}
                 .dump());
}

}  // namespace linenpier::api
