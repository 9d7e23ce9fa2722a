/// @file
/// linenpierctl: the operator's command line.

#include <docopt/docopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "common/read_file.h"
#include "daemon/clients/http_call.h"
#include "daemon/config/documents.h"
#include "daemon/settings/settings.h"
#include "gateway/trace/step_table.h"
#include "gateway/trace/trace_reader.h"

namespace {

using namespace linenpier;
using nlohmann::json;

constexpr char kUsage[] =
    R"(linenpierctl: edits templates and tenant parameters, and inspects daemons.

Usage:
  linenpierctl [options] (template|tenant) list
  linenpierctl [options] (template|tenant) get NAME
  linenpierctl [options] (template|tenant) put NAME FILE [--from REVISION]
  linenpierctl [options] status
  linenpierctl [options] explain REQUEST
  linenpierctl [options] check FILE
  linenpierctl [options] trace ID [FILE...]
  linenpierctl [options] steps [FILE...]
  linenpierctl --help

Options:
  --daemon ADDRESS  Any daemon's HTTP address [default: 127.0.0.1:7100].
  --key KEY         Operator key; if absent, LINENPIER_OPERATOR_KEY of the environment.
  --from REVISION   Revision of the template or tenant that the edit is based on; 0 to create it
                    [default: 0].
  --json            Print JSON.

trace merges log files (or standard input) of many daemons and prints the events of one request,
item or batch job in time order. steps prints one line per batch job with the times, in seconds
since the first log line, at which the job was submitted, was accepted, started, had its first
event, had all results that the trainer waits for, had them published in the store, was first read
and was ended, and at which the next model version was published and last loaded by an engine.
Neither contacts a daemon.

Exit codes: 0 success, 1 rejected by the daemon, 2 invalid file or arguments, 3 no response from the
daemon, 4 conflict with another edit, 5 outcome unknown.
)";

constexpr int kExitRefused = 1;
constexpr int kExitInvalidInput = 2;
constexpr int kExitUnreachable = 3;
constexpr int kExitConflict = 4;
constexpr int kExitOutcomeUnknown = 5;

using Arguments = std::map<std::string, docopt::value>;

struct Reply {
  int status = 0;  ///< 0 if there was no response.
  json body;
};

class DaemonClient {
 public:
  DaemonClient(const Address& address, const std::string& key)
      : client_(platform::makeClient(platform::serviceUrl(address),
                                     {std::chrono::seconds(1), std::chrono::seconds(30)})) {
    client_.set_bearer_token_auth(key);
  }
  Reply get(const std::string& path) { return read(client_.Get(path)); }
  Reply put(const std::string& path, const json& body) {
    return read(client_.Put(path, body.dump(), "application/json"));
  }

 private:
  static Reply read(const httplib::Result& result) {
    if (!result) return {};
    return {result->status, json::parse(result->body, nullptr, false)};
  }
  httplib::Client client_;
};

int exitCodeOf(const Reply& reply) {
  if (reply.status == 0) return kExitUnreachable;
  if (reply.status == 200) return 0;
  if (reply.status == 409) return kExitConflict;
  const json error = reply.body.is_object() ? reply.body.value("error", json::object()) : json();
  const bool unknown = error.is_object() && error.value("ran", "") == "unknown";
  return unknown ? kExitOutcomeUnknown : kExitRefused;
}

/// Prints a template or tenant with its revision.
void printDocument(const json& item) {
  std::cout << item.value("key", "") << " at revision " << item.value("revision", 0) << "\n"
            << item.value("document", json()).dump(2) << "\n";
}

void printStatus(const json& status) {
  std::cout << "daemon " << status.value("id", "") << " in " << status.value("zone", "")
            << (status.value("ready", false) ? ", ready" : ", not ready") << ", configuration "
            << status.value("config_revision", 0) << "\n";
  for (const json& member : status["members"]) {
    std::cout << "  member " << member.value("id", "") << " in " << member.value("zone", "") << ": "
              << member.value("status", "") << "\n";
  }
  for (const json& engine : status["engines"]) {
    std::cout << "  engine " << engine.value("id", "") << ": " << engine.value("model", "")
              << " version " << engine.value("version", 0) << ", " << engine.value("running", 0)
              << " running of " << engine.value("slots", 0)
              << (engine.value("leaving", false) ? ", leaving" : "") << "\n";
  }
  std::cout << "  queued " << status.value("queued", 0) << ", in flight "
            << status.value("in_flight", 0) << ", samples " << status.value("samples_running", 0)
            << ", steps " << status.value("steps", 0) << "\n";
}

void printReply(const Arguments& arguments, const Reply& reply) {
  if (arguments.at("--json").asBool()) {
    std::cout << reply.body.dump(2) << "\n";
    return;
  }
  if (reply.status == 0) {
    std::cerr << "No response from the daemon.\n";
  } else if (reply.status != 200) {
    const json error = reply.body.is_object() ? reply.body.value("error", json::object()) : json();
    std::cerr << (error.is_object() ? error.value("message", "Request rejected.")
                                    : "Request rejected.")
              << "\n";
    if (reply.body.contains("current") && reply.body["current"].is_object()) {
      printDocument(reply.body["current"]);
    }
  } else if (reply.body.contains("items")) {
    for (const json& item : reply.body["items"]) {
      std::cout << item.value("key", "") << "  revision " << item.value("revision", 0) << "\n";
    }
  } else if (reply.body.contains("document")) {
    printDocument(reply.body);
  } else if (reply.body.contains("members")) {
    printStatus(reply.body);
  } else if (reply.body.contains("revision")) {
    std::cout << "Accepted as revision " << reply.body.value("revision", 0) << ".\n";
  } else {
    std::cout << reply.body.dump(2) << "\n";
  }
}

/// Validates a settings, template or tenant file.
/// @return the exit code.
int checkFile(const std::string& file) {
  const auto text = settings::readFile(file);
  if (!text) {
    std::cerr << describe(text.error());
    return kExitInvalidInput;
  }
  Findings findings;
  if (file.ends_with(".toml")) {
    const auto parsed = settings::parseDaemonSettings(file, *text, {});
    if (!parsed) findings = parsed.error();
  } else {
    const json document = json::parse(*text, nullptr, false);
    const bool is_template = document.is_object() && document.contains("kind");
    if (is_template) {
      const auto parsed = config::parseTemplate(file, *text);
      if (!parsed) findings = parsed.error();
    } else {
      const auto parsed = config::parseTenant(file, *text);
      if (!parsed) findings = parsed.error();
    }
  }
  std::cerr << describe(findings);
  if (findings.empty()) std::cout << file << " is valid.\n";
  return findings.empty() ? 0 : kExitInvalidInput;
}

/// Reads the given log files, or standard input.
/// @return whether all files could be read.
bool readLogs(Arguments& arguments, logging::TraceReader& reader) {
  const std::vector<std::string> files = arguments["FILE"].asStringList();
  if (files.empty()) reader.read(std::cin);
  for (const std::string& file : files) {
    std::ifstream input(file);
    if (!input) {
      std::cerr << file << ": cannot open file\n";
      return false;
    }
    reader.read(input);
  }
  return true;
}

/// Prints the timeline of all training steps in the logs.
int steps(Arguments& arguments) {
  logging::TraceReader reader;
  if (!readLogs(arguments, reader)) return kExitInvalidInput;
  const logging::Trace all = reader.all();
  if (all.lines.empty()) return kExitRefused;
  std::cout << logging::formatSteps(logging::collectSteps(all), all.lines.front().time_ms);
  return 0;
}

/// Prints the trace of one id from the logs.
int trace(Arguments& arguments) {
  logging::TraceReader reader;
  if (!readLogs(arguments, reader)) return kExitInvalidInput;
  const logging::Trace found = reader.linesFor(arguments["ID"].asString());
  std::cout << (arguments["--json"].asBool() ? logging::toJson(found) : logging::toText(found));
  return found.lines.empty() ? kExitRefused : 0;
}

/// @return the FILE argument; docopt parses it as a list, since `trace` takes several.
std::string fileArgument(Arguments& arguments) {
  return arguments["FILE"].asStringList().at(0);
}

int run(Arguments& arguments) {
  if (arguments["trace"].asBool()) return trace(arguments);
  if (arguments["steps"].asBool()) return steps(arguments);
  if (arguments["check"].asBool()) return checkFile(fileArgument(arguments));
  const auto address = parseAddress(arguments["--daemon"].asString());
  if (!address) {
    std::cerr << "--daemon must be an IP address and port.\n";
    return kExitInvalidInput;
  }
  const char* from_environment = std::getenv("LINENPIER_OPERATOR_KEY");
  const std::string key = arguments["--key"]
                              ? arguments["--key"].asString()
                              : std::string(from_environment ? from_environment : "");
  DaemonClient client(*address, key);
  const std::string kind = arguments["template"].asBool() ? "template" : "tenant";
  Reply reply;
  if (arguments["status"].asBool()) {
    reply = client.get("/admin/status");
  } else if (arguments["explain"].asBool()) {
    reply = client.get("/admin/explain/" + arguments["REQUEST"].asString());
  } else if (arguments["list"].asBool()) {
    reply = client.get("/admin/" + kind);
  } else if (arguments["get"].asBool()) {
    reply = client.get("/admin/" + kind + "/" + arguments["NAME"].asString());
  } else {
    const auto text = settings::readFile(fileArgument(arguments));
    const json document = text ? json::parse(*text, nullptr, false) : json();
    if (!document.is_object()) {
      std::cerr << fileArgument(arguments) << " is not a JSON object.\n";
      return kExitInvalidInput;
    }
    const auto from = static_cast<Revision>(std::stoull(arguments["--from"].asString()));
    reply = client.put("/admin/" + kind + "/" + arguments["NAME"].asString(),
                       {{"made_from", from}, {"document", document}});
  }
  printReply(arguments, reply);
  return exitCodeOf(reply);
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  return run(arguments);
}
