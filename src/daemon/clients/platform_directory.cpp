#include "daemon/clients/platform_directory.h"

namespace linenpier::platform {

using nlohmann::json;

CallResult<MachineList> HttpPlatformDirectory::machines(const ZoneName& zone) {
  const auto response = service_.get("/machines?zone=" + urlEncode(zone.str()));
  return parseAnswer<MachineList>(response, [](const json& answer) {
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
  });
}

CallResult<WeightVersion> HttpPlatformDirectory::newestVersion(const ModelName& model) {
  return parseAnswer<WeightVersion>(
      service_.get("/weights?model=" + urlEncode(model.str())),
      [](const json& answer) { return answer.at("version").get<WeightVersion>(); });
}

}  // namespace linenpier::platform
