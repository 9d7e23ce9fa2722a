#include "support/standin_duties.h"

#include <algorithm>
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

std::string StandinDuties::tokenScope(const DutyCall& call) {
  if (call.path != "/scale") return call.path;
  const auto order = nlohmann::json::parse(call.body);
  return call.path + " " + order["service"].get<std::string>() + " " +
         order["zone"].get<std::string>();
}

unsigned StandinDuties::execute(DutyCall call) {
  std::uint64_t& highest = highest_token_[tokenScope(call)];
  const bool scarce =
      !faults_.scarce_zone.empty() && tokenScope(call).ends_with(" " + faults_.scarce_zone);
  call.status = faults_.refuse ? 429 : call.token < highest || scarce ? 409 : 200;
  highest = std::max(highest, faults_.refuse ? 0 : call.token);
  if (call.status == 200 && callback_) callback_(call);
  calls_.push_back(call);
  return call.status;
}

Task<void> StandinDuties::handle(http::Request& request, http::ResponseWriter& writer) {
  DutyCall call;
  call.path = std::string(request.target());
  call.holder = http::fieldText(request, "Lease-Holder");
  call.token = std::strtoull(http::fieldText(request, "Fencing-Token").c_str(), nullptr, 10);
  call.body = request.body();
  if (faults_.delay > 0) {
    --faults_.delay;
    spawn(loop_, [this, call]() -> Task<void> {
      co_await sleepFor(loop_, std::chrono::seconds(2));
      execute(call);
    });
    writer.abortConnection();
    co_return;
  }
  const unsigned status = execute(std::move(call));
  if (faults_.lose > 0) {
    --faults_.lose;
    co_await sleepFor(loop_, std::chrono::milliseconds(20));
    writer.abortConnection();
    co_return;
  }
  http::Response response;
  response.result(status);
  co_await writer.send(std::move(response));
}

}  // namespace linenpier::test
