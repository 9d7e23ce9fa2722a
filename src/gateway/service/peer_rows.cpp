#include "gateway/service/peer_rows.h"

namespace linenpier::gateway {

using nlohmann::json;

json encodeRows(const std::vector<table::Row>& rows) {
  json entries = json::array();
  for (const table::Row& row : rows) {
    entries.push_back({{"key", row.key}, {"revision", row.revision}, {"value", row.value}});
  }
  return entries;
}

std::vector<table::Row> decodeRows(const json& entries) {
  std::vector<table::Row> rows;
  rows.reserve(entries.size());
  for (const json& entry : entries) {
    rows.push_back({entry.at("key").get<std::string>(), entry.at("revision").get<Revision>(),
                    entry.at("value").get<std::string>()});
  }
  return rows;
}

}  // namespace linenpier::gateway
