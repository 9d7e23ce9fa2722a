#include "gateway/suspects/suspect_record.h"

#include <nlohmann/json.hpp>

namespace linenpier::suspects {

using nlohmann::json;

std::string encodeSuspect(const suspect_record& record) {
  json engines = json::array();
  for (const EngineId& engine : record.engines) engines.push_back(engine.str());
  return json{{"ends", record.crashes},
              {"engines", std::move(engines)},
              {"last_ms", record.last_crash_ms},
              {"tried_by", record.isolated_by},
              {"tried_until_ms", record.isolated_until_ms}}
      .dump();
}

std::optional<suspect_record> decodeSuspect(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  try {
    suspect_record record;
    record.crashes = document.at("ends").get<int>();
    for (const json& engine : document.at("engines")) {
      record.engines.emplace_back(engine.get<std::string>());
    }
    record.last_crash_ms = document.at("last_ms").get<std::int64_t>();
    record.isolated_by = document.at("tried_by").get<std::string>();
    record.isolated_until_ms = document.at("tried_until_ms").get<std::int64_t>();
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace linenpier::suspects
