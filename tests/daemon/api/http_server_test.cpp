#include "daemon/api/http_server.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "daemon/clients/http_call.h"
#include "daemon/process/daemon.h"
#include "testbed/standin/store.h"
#include "testbed/standin/token_text.h"

using namespace linenpier;
using nlohmann::json;

namespace {

constexpr char kOperatorKey[] = "operator-key";
constexpr std::size_t kBodyKib = 64;

/// The table in memory; can be switched off.
class FakeTable : public table::TableClient {
 public:
  std::atomic<bool> up{true};
  CallResult<table::TransactionAnswer> transact(const table::Transaction& transaction) override {
    if (!up) return down<table::TransactionAnswer>();
    return store_.transact(transaction);
  }
  CallResult<table::Row> read(const std::string& key) override {
    if (!up) return down<table::Row>();
    return store_.read(key);
  }
  CallResult<std::vector<table::Row>> list(const std::string& prefix) override {
    if (!up) return down<std::vector<table::Row>>();
    return store_.list(prefix);
  }

 private:
  template <typename T>
  static CallResult<T> down() {
    return tl::make_unexpected(CallError{CallFailure::kUnavailable, "down"});
  }
  standin::TableStore store_;
};

class FakeObjects : public object_store::ObjectStoreClient {
 public:
  CallResult<void> put(const std::string& key, const std::string& body) override {
    store_.put(key, body);
    return {};
  }
  CallResult<std::string> get(const std::string& key) override {
    const auto body = store_.get(key);
    if (!body) return tl::make_unexpected(CallError{CallFailure::kRejected, "absent"});
    return *body;
  }
  CallResult<std::vector<std::string>> list(const std::string& prefix) override {
    return store_.list(prefix);
  }
  CallResult<void> remove(const std::string& key) override {
    store_.remove(key);
    return {};
  }

 private:
  standin::ObjectStore store_;
};

/// Answers every generation at once; can break streams after the first token.
class FakeEngines : public engine::EngineClient {
 public:
  std::atomic<bool> breaks{false};
  std::atomic<int> begun{0};
  engine::StreamEnd generate(const std::string& /*url*/, const engine::GenerateRequest& request,
                             const engine::PieceSink& sink) override {
    ++begun;
    const std::uint32_t length = standin::answerLength(request.prompt, request.max_tokens);
    for (std::uint32_t i = request.resume_tokens; i < length; ++i) {
      if (!sink({standin::tokenAt(request.prompt, i), 1, 3})) return engine::StreamEnd::kCancelled;
      if (breaks.exchange(false)) return engine::StreamEnd::kBroken;
    }
    return engine::StreamEnd::kComplete;
  }
  void cancel(const std::string& /*url*/, const AttemptId& /*attempt*/) override {}
  CallResult<wire::EngineReport> load(const std::string& url) override {
    return wire::EngineReport{EngineId(url), 0, 0, 8, 3, 0, false};
  }
  CallResult<engine::OrderOutcome> order(const std::string& /*url*/,
                                         const engine::FencedOrder& /*order*/) override {
    return engine::OrderOutcome::kDone;
  }
};

class FakeDirectory : public platform::PlatformDirectory {
 public:
  std::atomic<bool> up{true};
  CallResult<platform::MachineList> machines(const ZoneName& zone) override {
    if (!up) return tl::make_unexpected(CallError{CallFailure::kUnreachable, "gone"});
    platform::MachineList list;
    for (const char* name : {"e1", "e2"}) {
      list.engines.push_back({EngineId(name), zone, ModelName("permits"), name, false});
    }
    return list;
  }
  CallResult<WeightVersion> newestVersion(const ModelName& /*model*/) override { return 3; }
};

/// A whole daemon in this process, with everything around it faked.
class Fixture {
 public:
  explicit Fixture(std::uint16_t port, bool table_up = true, bool platform_up = true) {
    settings_.id = DaemonId("d-test");
    settings_.zone = ZoneName("z");
    settings_.region = RegionName("r");
    settings_.http = {0x7f000001, port};
    settings_.control = {0x7f000001, static_cast<std::uint16_t>(port + 1)};
    settings_.advertise = settings_.control;
    settings_.secret = "sixteen characters";
    settings_.operator_key = kOperatorKey;
    settings_.max_body_kib = kBodyKib;
    table->up = table_up;
    directory->up = platform_up;
    services_ = {table, objects, engines, directory};
    daemon_ = std::make_unique<daemon::Daemon>(settings_, services_,
                                               [this](wire::FrameError) { ++refused_frames; });
    cr_assert(daemon_->start().has_value());
    context_ = std::make_unique<api::ApiContext>(api::ApiContext{
        settings_, services_, daemon_->node(), daemon_->effects(), daemon_->config(),
        daemon_->transport(), metrics_, ready_, stopping_, open_});
    server_ = std::make_unique<api::HttpServer>(*context_);
    cr_assert(server_->start().has_value());
  }
  ~Fixture() {
    server_->stop();
    daemon_->stop();
  }

  /// Waits until the daemon is ready and has two tenants.
  void configure() {
    waitUntil([this] { return daemon_->node().status().ready; });
    ready_ = true;
    putAccepted("template/basic", R"({"name":"basic","kind":"serving","max_tokens":100})");
    putAccepted("tenant/firm", tenant("firm", "permits"));
    putAccepted("tenant/waves", tenant("waves", "captions"));
    waitUntil([this] { return daemon_->config().get()->tenants.size() == 2; });
  }
  httplib::Client client() {
    return platform::makeClient(platform::serviceUrl(settings_.http),
                                {std::chrono::seconds(2), std::chrono::seconds(20)});
  }
  httplib::Result post(const std::string& key, const std::string& body,
                       httplib::Headers headers = {}) {
    headers.emplace("Authorization", "Bearer " + key);
    return client().Post("/v1/completions", headers, body, "application/json");
  }
  httplib::Result putItem(const std::string& key, const std::string& document,
                          Revision made_from = 0) {
    const json body = {{"made_from", made_from}, {"document", json::parse(document)}};
    return client().Put("/admin/" + key, {{"Authorization", std::string("Bearer ") + kOperatorKey}},
                        body.dump(), "application/json");
  }
  /// An item that must be accepted at once; says what the daemon answered otherwise.
  void putAccepted(const std::string& key, const std::string& document) {
    const httplib::Result result = putItem(key, document);
    cr_assert(static_cast<bool>(result), "%s: no answer: %s", key.c_str(),
              httplib::to_string(result.error()).c_str());
    cr_assert_eq(result->status, 200, "%s: %d %s", key.c_str(), result->status,
                 result->body.c_str());
  }
  template <typename Done>
  static void waitUntil(Done done) {
    for (int i = 0; i < 1000 && !done(); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    cr_assert(done());
  }
  const Address& control() const { return settings_.control; }
  daemon::Daemon& daemon() { return *daemon_; }

  std::shared_ptr<FakeTable> table = std::make_shared<FakeTable>();
  std::shared_ptr<FakeObjects> objects = std::make_shared<FakeObjects>();
  std::shared_ptr<FakeEngines> engines = std::make_shared<FakeEngines>();
  std::shared_ptr<FakeDirectory> directory = std::make_shared<FakeDirectory>();
  std::atomic<int> refused_frames{0};

 private:
  static std::string tenant(const std::string& name, const std::string& model) {
    return json{{"name", name},
                {"key_hashes", {config::sha256Hex(name + "-key")}},
                {"models", {{{"model", model}, {"template", "basic"}}}}}
        .dump();
  }
  settings::DaemonSettings settings_;
  daemon::Services services_;
  api::ApiMetrics metrics_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint32_t> open_{0};
  std::unique_ptr<daemon::Daemon> daemon_;
  std::unique_ptr<api::ApiContext> context_;
  std::unique_ptr<api::HttpServer> server_;
};

json errorOf(const httplib::Result& result) {
  return json::parse(result->body, nullptr, false).value("error", json::object());
}

constexpr char kRight[] = R"({"model":"permits","prompt":"a;len=5;","max_tokens":10})";

}  // namespace

Test(http_server, bad_requests_are_refused_as_not_run_and_the_daemon_goes_on) {
  Fixture fixture(18110);
  fixture.configure();
  struct Case {
    std::string key;
    std::string body;
    int status;
  };
  const std::vector<Case> cases = {
      {"firm-key", "{", 400},
      {"firm-key", R"({"model":"permits"})", 400},
      {"firm-key", R"({"model":"permits","prompt":"x","max_tokens":-1})", 400},
      {"firm-key", R"({"model":"permits","prompt":"x","max_tokens":101})", 400},
      {"nobody", kRight, 401},
      {"", kRight, 401},
      {"firm-key", R"({"model":"captions","prompt":"x"})", 404},
      {"firm-key", R"({"model":"no-such-model","prompt":"x"})", 404},
  };
  for (const Case& bad : cases) {
    const auto result = fixture.post(bad.key, bad.body);
    cr_assert(result);
    cr_assert_eq(result->status, bad.status, "%s", bad.body.c_str());
    cr_assert(errorOf(result).value("ran", "") == "not-run");
  }
  cr_assert_eq(fixture.engines->begun.load(), 0);
  // Another tenant's model cannot be told from one that does not exist.
  const auto foreign = errorOf(fixture.post("firm-key", cases[6].body));
  cr_assert(foreign == errorOf(fixture.post("firm-key", cases[7].body)));
  const auto good = fixture.post("firm-key", kRight);
  cr_assert_eq(good->status, 200);
  const json answer = json::parse(good->body);
  cr_assert(answer["choices"][0]["text"] == standin::wholeText("a;len=5;", 10));
  cr_assert_eq(answer["weight_versions"][0]["version"].get<int>(), 3);
}

Test(http_server, oversized_bodies_and_headers_are_refused) {
  Fixture fixture(18120);
  fixture.configure();
  const auto large = fixture.post("firm-key", std::string((kBodyKib + 1) * 1024, ' '));
  cr_assert(!large || large->status == 413);
  const auto header = fixture.post("firm-key", kRight, {{"X-Large", std::string(100000, 'x')}});
  cr_assert(!header || header->status >= 400);
  cr_assert_eq(fixture.post("firm-key", kRight)->status, 200);
}

Test(http_server, forged_and_truncated_frames_are_counted_and_survived) {
  Fixture fixture(18130);
  fixture.configure();
  const int handle = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in to = toSocketAddress(fixture.control());
  const wire::FrameCodec stranger("another secret of a fleet");
  const std::string forged = *stranger.encode({DaemonId("d"), wire::ConfigRequest{1}});
  for (const std::string& frame : {forged, forged.substr(0, 20), std::string("x")}) {
    sendto(handle, frame.data(), frame.size(), 0, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  }
  ::close(handle);
  Fixture::waitUntil([&] { return fixture.refused_frames >= 3; });
  cr_assert_eq(fixture.post("firm-key", kRight)->status, 200);
}

Test(http_server, without_a_platform_the_daemon_waits_and_says_that_it_is_not_ready) {
  Fixture fixture(18140, false, false);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  auto client = fixture.client();
  cr_assert_eq(client.Get("/healthz")->status, 200);
  cr_assert_eq(client.Get("/readyz")->status, 503);
  const auto refused = fixture.post("firm-key", kRight);
  cr_assert_eq(refused->status, 503);
  cr_assert(refused->has_header("Retry-After"));
  cr_assert(errorOf(refused).value("ran", "") == "not-run");
  // A daemon that has not read the key's row cannot say that the request did not run.
  const auto keyed = fixture.post("firm-key", kRight,
                                  {{"X-Not-Repeatable", "true"}, {"Idempotency-Key", "fee-4"}});
  cr_assert_eq(keyed->status, 503);
  cr_assert(errorOf(keyed).value("ran", "") == "unknown");
  fixture.table->up = true;
  fixture.directory->up = true;
  fixture.configure();
  cr_assert_eq(fixture.post("firm-key", kRight)->status, 200);
}

Test(http_server, a_conflicting_edit_is_refused_with_both_revisions) {
  Fixture fixture(18150);
  fixture.configure();
  const std::string document = R"({"name":"basic","kind":"serving","priority":1})";
  const auto stale = fixture.putItem("template/basic", document, 0);
  cr_assert_eq(stale->status, 409);
  const json conflict = json::parse(stale->body);
  cr_assert_eq(conflict["made_from"].get<int>(), 0);
  cr_assert_eq(conflict["current"]["revision"].get<int>(), 1);
  cr_assert_eq(fixture.putItem("template/basic", document, 1)->status, 200);
  cr_assert_eq(fixture.putItem("template/basic", R"({"name":"basic","kind":"x"})", 4)->status, 422);
}

Test(http_server, a_not_repeatable_request_runs_once_and_its_answer_is_replayed) {
  Fixture fixture(18160);
  fixture.configure();
  const httplib::Headers once = {{"X-Not-Repeatable", "true"}, {"Idempotency-Key", "fee-1"}};
  const auto first = fixture.post("firm-key", kRight, once);
  cr_assert_eq(first->status, 200);
  httplib::Result second = fixture.post("firm-key", kRight, once);
  // The answer is recorded in the background; until then the outcome is unknown to others.
  Fixture::waitUntil([&] {
    second = fixture.post("firm-key", kRight, once);
    return second->status == 200;
  });
  cr_assert(second->body == first->body);
  cr_assert_eq(fixture.engines->begun.load(), 1);
  const auto reused = fixture.post("firm-key", R"({"model":"permits","prompt":"other"})", once);
  cr_assert_eq(reused->status, 422);
  cr_assert_eq(fixture.post("firm-key", kRight, {{"X-Not-Repeatable", "true"}})->status, 400);
}

Test(http_server, a_broken_not_repeatable_request_is_unknown_and_never_sent_again) {
  Fixture fixture(18170);
  fixture.configure();
  const httplib::Headers once = {{"X-Not-Repeatable", "true"}, {"Idempotency-Key", "fee-2"}};
  fixture.engines->breaks = true;
  const auto broken = fixture.post("firm-key", kRight, once);
  cr_assert_eq(broken->status, 502);
  cr_assert(errorOf(broken).value("ran", "") == "unknown");
  const auto again = fixture.post("firm-key", kRight, once);
  cr_assert_eq(again->status, 409);
  cr_assert(errorOf(again).value("ran", "") == "unknown");
  cr_assert_eq(fixture.engines->begun.load(), 1);
}

Test(http_server, a_broken_repeatable_request_goes_on_elsewhere_and_is_whole) {
  Fixture fixture(18180);
  fixture.configure();
  fixture.engines->breaks = true;
  const auto result = fixture.post("firm-key", kRight);
  cr_assert_eq(result->status, 200);
  const json answer = json::parse(result->body);
  cr_assert(answer["choices"][0]["text"] == standin::wholeText("a;len=5;", 10));
  cr_assert_eq(fixture.engines->begun.load(), 2);
}

Test(http_server, a_not_repeatable_request_is_refused_as_not_run_while_the_table_is_down) {
  Fixture fixture(18190);
  fixture.configure();
  fixture.table->up = false;
  const httplib::Headers once = {{"X-Not-Repeatable", "true"}, {"Idempotency-Key", "fee-3"}};
  const auto refused = fixture.post("firm-key", kRight, once);
  cr_assert_eq(refused->status, 503);
  cr_assert(errorOf(refused).value("ran", "") == "not-run");
  cr_assert(refused->has_header("Retry-After"));
  cr_assert_eq(fixture.post("firm-key", kRight)->status, 200,
               "a plain lookup is served all the same");
  fixture.table->up = true;
  cr_assert_eq(fixture.post("firm-key", kRight, once)->status, 200);
  cr_assert_eq(fixture.engines->begun.load(), 2);
}

Test(http_server, explanations_and_status_need_the_operators_key) {
  Fixture fixture(18200);
  fixture.configure();
  auto client = fixture.client();
  cr_assert_eq(client.Get("/admin/status")->status, 401);
  cr_assert_eq(client.Get("/admin/status", {{"Authorization", "Bearer firm-key"}})->status, 401);
  const httplib::Headers key = {{"Authorization", std::string("Bearer ") + kOperatorKey}};
  cr_assert_eq(client.Get("/admin/status", key)->status, 200);
  const auto answered = fixture.post("firm-key", kRight);
  const std::string id = answered->get_header_value("X-Request-Id");
  cr_assert_eq(client.Get("/admin/explain/" + id, key)->status, 200);
  cr_assert_eq(client.Get("/admin/explain/other-request", key)->status, 404);
}
