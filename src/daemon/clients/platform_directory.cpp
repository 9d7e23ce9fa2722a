#include "daemon/clients/platform_directory.h"

#include <nlohmann/json.hpp>

namespace linenpier::platform {

using nlohmann::json;

HttpPlatformDirectory::HttpPlatformDirectory(const Address& address, std::string caller,
                                             CallTimeouts timeouts)
    : url_(serviceUrl(address)), caller_(std::move(caller)), timeouts_(timeouts) {}

CallResult<MachineList> HttpPlatformDirectory::machines(const ZoneName& zone) {
  auto client = makeClient(url_, timeouts_);
  const auto response =
      classify(client.Get("/machines?zone=" + urlEncode(zone.str()), {{"X-Caller", caller_}}));
  if (!response) return tl::make_unexpected(response.error());
  try {
    const json answer = json::parse(response->body);
    MachineList list;
    for (const json& daemon : answer.at("daemons")) {
      const auto address = parseAddress(daemon.at("control").get<std::string>());
      if (!address) continue;
      list.daemons.push_back({DaemonId(daemon.at("id").get<std::string>()), *address,
                              ZoneName(daemon.at("zone").get<std::string>()),
                              RegionName(daemon.at("region").get<std::string>())});
    }
    for (const json& engine : answer.at("engines")) {
      list.engines.push_back({EngineId(engine.at("id").get<std::string>()),
                              ZoneName(engine.at("zone").get<std::string>()),
                              ModelName(engine.at("model").get<std::string>()),
                              engine.at("url").get<std::string>(),
                              engine.at("leaving").get<bool>()});
    }
    return list;
  } catch (const json::exception& error) {
    return tl::make_unexpected(CallError{CallFailure::kBadAnswer, error.what()});
  }
}

CallResult<WeightVersion> HttpPlatformDirectory::newestVersion(const ModelName& model) {
  auto client = makeClient(url_, timeouts_);
  const auto response =
      classify(client.Get("/weights?model=" + urlEncode(model.str()), {{"X-Caller", caller_}}));
  if (!response) return tl::make_unexpected(response.error());
  const json answer = json::parse(response->body, nullptr, false);
  if (!answer.is_object() || !answer.contains("version")) {
    return tl::make_unexpected(CallError{CallFailure::kBadAnswer, "no version"});
  }
  return answer["version"].get<WeightVersion>();
}

}  // namespace linenpier::platform
