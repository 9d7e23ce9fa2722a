#include "daemon/clients/http_object_store_client.h"

#include <nlohmann/json.hpp>

namespace linenpier::platform {

HttpObjectStoreClient::HttpObjectStoreClient(const Address& address, std::string caller,
                                             CallTimeouts timeouts)
    : url_(serviceUrl(address)), caller_(std::move(caller)), timeouts_(timeouts) {}

CallResult<void> HttpObjectStoreClient::put(const std::string& key, const std::string& body) {
  auto client = makeClient(url_, timeouts_);
  const auto response = classify(client.Put(
      "/objects?key=" + urlEncode(key), {{"X-Caller", caller_}}, body, "application/octet-stream"));
  if (!response) return tl::make_unexpected(response.error());
  return {};
}

CallResult<std::string> HttpObjectStoreClient::get(const std::string& key) {
  auto client = makeClient(url_, timeouts_);
  const auto response =
      classify(client.Get("/objects?key=" + urlEncode(key), {{"X-Caller", caller_}}));
  if (!response) return tl::make_unexpected(response.error());
  return response->body;
}

CallResult<void> HttpObjectStoreClient::remove(const std::string& key) {
  auto client = makeClient(url_, timeouts_);
  const std::string path = "/objects?key=" + urlEncode(key);
  const auto response = classify(client.Delete(path, {{"X-Caller", caller_}}));
  if (!response) return tl::make_unexpected(response.error());
  return {};
}

CallResult<std::vector<std::string>> HttpObjectStoreClient::list(const std::string& prefix) {
  auto client = makeClient(url_, timeouts_);
  const auto response =
      classify(client.Get("/objects/list?prefix=" + urlEncode(prefix), {{"X-Caller", caller_}}));
  if (!response) return tl::make_unexpected(response.error());
  const auto answer = nlohmann::json::parse(response->body, nullptr, false);
  if (!answer.is_array()) {
    return tl::make_unexpected(CallError{CallFailure::kBadAnswer, "not an array"});
  }
  std::vector<std::string> keys;
  for (const auto& key : answer) {
    if (key.is_string()) keys.push_back(key.get<std::string>());
  }
  return keys;
}

}  // namespace linenpier::platform
