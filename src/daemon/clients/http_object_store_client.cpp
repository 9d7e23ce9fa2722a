#include "daemon/clients/http_object_store_client.h"

namespace linenpier::platform {

namespace {

std::string pathOf(const std::string& key) {
  return "/objects?key=" + urlEncode(key);
}

}  // namespace

CallResult<void> HttpObjectStoreClient::put(const std::string& key, const std::string& body) {
  const auto response = service_.put(pathOf(key), body);
  if (!response) return tl::make_unexpected(response.error());
  return {};
}

CallResult<std::string> HttpObjectStoreClient::get(const std::string& key) {
  const auto response = service_.get(pathOf(key));
  if (!response) return tl::make_unexpected(response.error());
  return response->body;
}

CallResult<void> HttpObjectStoreClient::remove(const std::string& key) {
  const auto response = service_.remove(pathOf(key));
  if (!response) return tl::make_unexpected(response.error());
  return {};
}

CallResult<std::vector<std::string>> HttpObjectStoreClient::list(const std::string& prefix) {
  return parseAnswer<std::vector<std::string>>(
      service_.get("/objects/list?prefix=" + urlEncode(prefix)),
      [](const nlohmann::json& answer) { return answer.get<std::vector<std::string>>(); });
}

}  // namespace linenpier::platform
