#include "support/standin_duties.h"

#include <nlohmann/json.hpp>

namespace linenpier::test {

StandinDuties::StandinDuties(boost::asio::io_context& loop)
    : loop_(loop),
      server_(loop, [this](http::Request& request, Instant, http::ResponseWriter& writer) {
        return handle(request, writer);
      }) {
  server_.listen({0x7f000001, 0});
}

std::map<std::int64_t, std::vector<std::string>> StandinDuties::reports() const {
  std::map<std::int64_t, std::vector<std::string>> found;
  for (const DutyCall& call : calls_) {
    if (call.path != "/usage" || call.status != 200) continue;
    found[nlohmann::json::parse(call.body)["window"].get<std::int64_t>()].push_back(call.body);
  }
  return found;
}

Task<void> StandinDuties::handle(http::Request& request, http::ResponseWriter& writer) {
  DutyCall call;
  call.path = std::string(request.target());
  call.holder = http::fieldText(request, "Lease-Holder");
  call.token = std::strtoull(http::fieldText(request, "Fencing-Token").c_str(), nullptr, 10);
  call.body = request.body();
  std::uint64_t& highest = highest_token_[call.path];
  call.status = faults_.refuse ? 429 : call.token < highest ? 409 : 200;
  if (call.status == 200) highest = call.token;
  const unsigned status = call.status;
  calls_.push_back(std::move(call));
  if (faults_.lose > 0) {
    --faults_.lose;
    co_await sleepFor(loop_, std::chrono::milliseconds(20));
    writer.breakOff();
    co_return;
  }
  http::Response response;
  response.result(status);
  co_await writer.send(std::move(response));
}

}  // namespace linenpier::test
