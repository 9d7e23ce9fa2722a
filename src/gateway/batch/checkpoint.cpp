#include "gateway/batch/checkpoint.h"

#include <map>
#include <nlohmann/json.hpp>

namespace linenpier::batch {

using nlohmann::json;

item_checkpoints mergeParts(const std::vector<item_checkpoints>& parts) {
  std::map<std::size_t, item_checkpoint> texts;
  for (const item_checkpoints& part : parts) {
    for (const item_checkpoint& added : part) {
      if (added.after_event == 0) {
        texts[added.item_index] = added;
        continue;
      }
      const auto at = texts.find(added.item_index);
      if (at == texts.end() || at->second.last_event != added.after_event) continue;
      item_checkpoint whole = added;
      whole.text = at->second.text + added.text;
      whole.after_event = 0;
      at->second = std::move(whole);
    }
  }
  item_checkpoints merged;
  for (auto& [item, text] : texts) merged.push_back(std::move(text));
  return merged;
}

std::string encodeCheckpoint(const item_checkpoints& checkpoint) {
  json document = json::array();
  for (const item_checkpoint& item : checkpoint) {
    json entry = {{"item", item.item_index},
                  {"last_event", item.last_event},
                  {"versions", item.versions},
                  {"text", item.text},
                  {"finished", item.finished}};
    if (item.after_event > 0) entry["after_event"] = item.after_event;
    if (item.score) {
      entry["scored_by"] = item.score->request_id;
      entry["score"] = item.score->signature;
    }
    document.push_back(std::move(entry));
  }
  const std::vector<std::uint8_t> bytes = json::to_cbor(document);
  return {bytes.begin(), bytes.end()};
}

std::optional<item_checkpoints> decodeCheckpoint(const std::string& bytes) {
  const json document = json::from_cbor(bytes, true, false);
  if (!document.is_array()) return std::nullopt;
  try {
    item_checkpoints checkpoint;
    for (const json& entry : document) {
      item_checkpoint item;
      item.item_index = entry.at("item").get<std::size_t>();
      item.last_event = entry.at("last_event").get<std::uint64_t>();
      item.versions = entry.at("versions").get<std::set<WeightVersion>>();
      item.text = entry.at("text").get<std::string>();
      item.finished = entry.value("finished", false);
      item.after_event = entry.value("after_event", std::uint64_t{0});
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
