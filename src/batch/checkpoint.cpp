#include "batch/checkpoint.h"

#include <nlohmann/json.hpp>

namespace linenpier::batch {

using nlohmann::json;

std::string encodeCheckpoint(const Checkpoint& checkpoint) {
  json document = json::array();
  for (const ItemCheckpoint& item : checkpoint) {
    json entry = {{"item", item.item_index},
                  {"last_event", item.last_event},
                  {"versions", item.versions},
                  {"text", item.text},
                  {"finished", item.finished}};
    if (item.score) {
      entry["scored_by"] = item.score->request_id;
      entry["score"] = item.score->signature;
    }
    document.push_back(std::move(entry));
  }
  const std::vector<std::uint8_t> bytes = json::to_cbor(document);
  return {bytes.begin(), bytes.end()};
}

std::optional<Checkpoint> decodeCheckpoint(const std::string& bytes) {
  const json document = json::from_cbor(bytes, true, false);
  if (!document.is_array()) return std::nullopt;
  try {
    Checkpoint checkpoint;
    for (const json& entry : document) {
      ItemCheckpoint item;
      item.item_index = entry.at("item").get<std::size_t>();
      item.last_event = entry.at("last_event").get<std::uint64_t>();
      item.versions = entry.at("versions").get<std::set<WeightVersion>>();
      item.text = entry.at("text").get<std::string>();
      item.finished = entry.value("finished", false);
      if (entry.contains("score")) {
        item.score = reward_score{entry.at("scored_by").get<std::string>(),
                                  entry.at("score").get<std::string>()};
      }
      checkpoint.push_back(std::move(item));
    }
    return checkpoint;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace linenpier::batch
