#include "daemon/clients/http_table_client.h"

namespace linenpier::platform {

using nlohmann::json;

namespace {

table::Row rowFrom(const json& object) {
  return {object.at("key").get<std::string>(), object.at("revision").get<Revision>(),
          object.at("value").get<std::string>()};
}

}  // namespace

CallResult<table::TransactionAnswer> HttpTableClient::transact(
    const table::Transaction& transaction) {
  json body = {{"checks", json::array()}, {"puts", json::array()}};
  for (const table::Check& check : transaction.checks) {
    body["checks"].push_back({{"key", check.key}, {"revision", check.revision}});
  }
  for (const table::Put& put : transaction.puts) {
    body["puts"].push_back({{"key", put.key}, {"value", put.value}});
  }
  const auto response = service_.post("/table/transact", body.dump());
  return parseAnswer<table::TransactionAnswer>(response, [](const json& answer) {
    table::TransactionAnswer result;
    result.committed = answer.at("committed").get<bool>();
    result.revision = answer.at("revision").get<Revision>();
    for (const json& row : answer.at("conflicts")) result.conflicts.push_back(rowFrom(row));
    return result;
  });
}

CallResult<table::Row> HttpTableClient::read(const std::string& key) {
  return parseAnswer<table::Row>(service_.get("/table/row?key=" + urlEncode(key)), rowFrom);
}

CallResult<std::vector<table::Row>> HttpTableClient::list(const std::string& prefix) {
  const auto response = service_.get("/table/rows?prefix=" + urlEncode(prefix));
  return parseAnswer<std::vector<table::Row>>(response, [](const json& answer) {
    std::vector<table::Row> rows;
    for (const json& row : answer) rows.push_back(rowFrom(row));
    return rows;
  });
}

}  // namespace linenpier::platform
