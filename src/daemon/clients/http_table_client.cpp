#include "daemon/clients/http_table_client.h"

#include <nlohmann/json.hpp>

namespace linenpier::platform {

using nlohmann::json;

namespace {

table::Row rowFrom(const json& object) {
  return {object.at("key").get<std::string>(), object.at("revision").get<Revision>(),
          object.at("value").get<std::string>()};
}

/// Runs `read` over the answer's JSON.
template <typename T, typename Read>
CallResult<T> parseAnswer(const CallResult<httplib::Response>& response, Read read) {
  if (!response) return tl::make_unexpected(response.error());
  try {
    return read(json::parse(response->body));
  } catch (const json::exception& error) {
    return tl::make_unexpected(CallError{CallFailure::kBadAnswer, error.what()});
  }
}

}  // namespace

HttpTableClient::HttpTableClient(const Address& address, std::string caller, CallTimeouts timeouts)
    : url_(serviceUrl(address)), caller_(std::move(caller)), timeouts_(timeouts) {}

CallResult<table::TransactionAnswer> HttpTableClient::transact(
    const table::Transaction& transaction) {
  json body = {{"checks", json::array()}, {"puts", json::array()}};
  for (const table::Check& check : transaction.checks) {
    body["checks"].push_back({{"key", check.key}, {"revision", check.revision}});
  }
  for (const table::Put& put : transaction.puts) {
    body["puts"].push_back({{"key", put.key}, {"value", put.value}});
  }
  auto client = makeClient(url_, timeouts_);
  const auto response = classify(
      client.Post("/table/transact", {{"X-Caller", caller_}}, body.dump(), "application/json"));
  return parseAnswer<table::TransactionAnswer>(response, [](const json& answer) {
    table::TransactionAnswer result;
    result.committed = answer.at("committed").get<bool>();
    result.revision = answer.at("revision").get<Revision>();
    for (const json& row : answer.at("conflicts")) result.conflicts.push_back(rowFrom(row));
    return result;
  });
}

CallResult<table::Row> HttpTableClient::read(const std::string& key) {
  auto client = makeClient(url_, timeouts_);
  const auto response =
      classify(client.Get("/table/row?key=" + urlEncode(key), {{"X-Caller", caller_}}));
  return parseAnswer<table::Row>(response, rowFrom);
}

CallResult<std::vector<table::Row>> HttpTableClient::list(const std::string& prefix) {
  auto client = makeClient(url_, timeouts_);
  const auto response =
      classify(client.Get("/table/rows?prefix=" + urlEncode(prefix), {{"X-Caller", caller_}}));
  return parseAnswer<std::vector<table::Row>>(response, [](const json& answer) {
    std::vector<table::Row> rows;
    for (const json& row : answer) rows.push_back(rowFrom(row));
    return rows;
  });
}

}  // namespace linenpier::platform
