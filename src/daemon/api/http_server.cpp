#include "daemon/api/http_server.h"

#include "common/log.h"
#include "daemon/api/elastic_task_queue.h"
#include "daemon/clients/http_listen.h"

namespace linenpier::api {

namespace {

/// Threads beyond the streams, so that refusals, health and operators are always answered.
constexpr std::size_t kReserveThreads = 64;
constexpr int kKeepAliveSeconds = 2;
constexpr int kReadTimeoutSeconds = 5;
constexpr int kWriteTimeoutSeconds = 10;

}  // namespace

HttpServer::HttpServer(ApiContext& context)
    : context_(context),
      ids_(context.settings.id.str(), Random::seedFromSystem()),
      callers_(context, ids_),
      trainers_(context, ids_),
      operators_(context, ids_) {
  server_.new_task_queue = [most = context.settings.max_streams + kReserveThreads] {
    return new ElasticTaskQueue(most);
  };
  server_.set_tcp_nodelay(true);
  server_.set_keep_alive_timeout(kKeepAliveSeconds);
  server_.set_read_timeout(kReadTimeoutSeconds, 0);
  server_.set_write_timeout(kWriteTimeoutSeconds, 0);
  server_.set_payload_max_length(std::size_t{context.settings.max_body_kib} * 1024);
  callers_.registerOn(server_);
  trainers_.registerOn(server_);
  operators_.registerOn(server_);
  registerHealth();
  registerErrors();
}

HttpServer::~HttpServer() {
  stop();
}

tl::expected<void, Findings> HttpServer::start() {
  const Address& address = context_.settings.http;
  if (auto bound = platform::bindHttpServer(server_, address); !bound) return bound;
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  LINENPIER_LOG(info, "api") << "Listening on " << toString(address) << ".";
  return {};
}

void HttpServer::stop() {
  server_.stop();
  if (thread_.joinable()) thread_.join();
}

void HttpServer::registerHealth() {
  server_.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("ok\n", "text/plain");
  });
  server_.Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
    const bool ready = context_.ready && !context_.stopping;
    response.status = ready ? 200 : 503;
    response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  });
  server_.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
    response.set_content(context_.metrics.render(context_.node.status(), context_.transport),
                         "text/plain; version=0.0.4");
  });
}

void HttpServer::registerErrors() {
  // Errors that the library itself finds get the same form as ours.
  server_.set_error_handler([](const httplib::Request&, httplib::Response& response) {
    if (!response.body.empty()) return;
    Problem problem = notFound();
    problem.status = response.status;
    if (response.status == 413) {
      problem.code = "too-large";
      problem.message = "The body is too large.";
    } else if (response.status != 404) {
      problem.code = "bad-request";
      problem.message = "The request cannot be read.";
    }
    answerProblem(response, problem, RequestId());
  });
  server_.set_exception_handler(
      [](const httplib::Request& request, httplib::Response& response, const std::exception_ptr&) {
        LINENPIER_LOG(error, "api") << "Handler of " << request.path << " failed.";
        answerProblem(response,
                      {500, "internal", "The daemon made an error.", upstream::RunState::kUnknown,
                       std::chrono::seconds(1)},
                      RequestId());
      });
}

}  // namespace linenpier::api
