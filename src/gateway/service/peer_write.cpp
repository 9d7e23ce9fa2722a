#include "gateway/service/peer_write.h"

#include "gateway/service/peer_rows.h"

namespace linenpier::gateway {

using nlohmann::json;

std::string encodeWrite(const table::Write& write) {
  json checks = json::array();
  for (const table::Check& check : write.transaction.checks) {
    checks.push_back({{"key", check.key}, {"revision", check.revision}});
  }
  json puts = json::array();
  for (const table::Put& put : write.transaction.puts) {
    puts.push_back({{"key", put.key}, {"value", put.value}});
  }
  return json{{"checks", std::move(checks)}, {"puts", std::move(puts)}}.dump();
}

std::optional<table::Write> decodeWrite(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  try {
    table::Write write;
    for (const json& check : document.at("checks")) {
      write.transaction.checks.push_back(
          {check.at("key").get<std::string>(), check.at("revision").get<Revision>()});
    }
    for (const json& put : document.at("puts")) {
      write.transaction.puts.push_back(
          {put.at("key").get<std::string>(), put.at("value").get<std::string>()});
    }
    return write;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string encodeAnswer(const table::TransactionAnswer& answer) {
  const json document = {{"committed", answer.committed},
                         {"revision", answer.revision},
                         {"conflicts", encodeRows(answer.conflicts)}};
  return document.dump();
}

std::optional<table::TransactionAnswer> decodeAnswer(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  try {
    table::TransactionAnswer answer;
    answer.committed = document.at("committed").get<bool>();
    answer.revision = document.at("revision").get<Revision>();
    answer.conflicts = decodeRows(document.at("conflicts"));
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace linenpier::gateway
