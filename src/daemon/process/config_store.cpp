#include "daemon/process/config_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace linenpier::daemon {

using nlohmann::json;
using table::Row;
using table::WriteOutcome;

namespace {

constexpr char kHeadKey[] = "config-head";
constexpr char kItemPrefix[] = "config/";
constexpr int kMaxTries = 6;
constexpr int kMaxHeadRaces = 20;
constexpr std::size_t kAttemptsKept = 8;
constexpr auto kPause = std::chrono::milliseconds(150);

/// An item's row, with the attempts that wrote it lately: an operator's own attempt among them
/// means that the edit was accepted, even if another edit has followed.
struct ItemRow {
  wire::ConfigItem item;
  std::vector<std::string> attempts;
};

std::string toJson(const ItemRow& row) {
  return json{{"key", row.item.key},
              {"revision", row.item.revision},
              {"document", row.item.document},
              {"attempts", row.attempts}}
      .dump();
}

std::optional<ItemRow> parseItemRow(const std::string& text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) return std::nullopt;
  ItemRow row;
  row.item = {object.value("key", ""), object.value("revision", Revision{0}),
              object.value("document", "")};
  row.attempts = object.value("attempts", std::vector<std::string>{});
  return row;
}

Revision headRevision(const Row& head) {
  if (head.revision == 0) return 0;
  const json object = json::parse(head.value, nullptr, false);
  return object.is_object() ? object.value("revision", Revision{0}) : 0;
}

}  // namespace

CallResult<StoredConfig> ConfigStore::read(Revision have) const {
  // The head first: the items read after it are at least as new.
  const auto head = table_->read(kHeadKey);
  if (!head) return tl::make_unexpected(head.error());
  StoredConfig stored;
  stored.revision = headRevision(*head);
  if (stored.revision == have) return stored;
  const auto rows = table_->list(kItemPrefix);
  if (!rows) return tl::make_unexpected(rows.error());
  for (const Row& row : *rows) {
    if (const auto parsed = parseItemRow(row.value)) stored.items.push_back(parsed->item);
  }
  return stored;
}

EditResult ConfigStore::commit(const ConfigEdit& edit, const AttemptId& attempt) const {
  const std::string row_key = kItemPrefix + edit.key;
  bool possibly_applied = false;
  for (int race = 0; race < kMaxHeadRaces; ++race) {
    const auto head = table_->read(kHeadKey);
    const auto row = table_->read(row_key);
    if (!head || !row) {
      return {possibly_applied ? EditOutcome::kUnknown : EditOutcome::kNotAccepted, {}};
    }
    const ItemRow before = parseItemRow(row->value).value_or(ItemRow{});
    const auto& attempts = before.attempts;
    if (std::find(attempts.begin(), attempts.end(), attempt.str()) != attempts.end()) {
      return {EditOutcome::kAccepted, before.item};
    }
    if (before.item.revision != edit.made_from) return {EditOutcome::kConflict, before.item};

    ItemRow after{{edit.key, headRevision(*head) + 1, edit.document}, before.attempts};
    after.attempts.push_back(attempt.str());
    if (after.attempts.size() > kAttemptsKept) after.attempts.erase(after.attempts.begin());
    const json new_head = {{"revision", after.item.revision}, {"attempt", attempt.str()}};
    const table::Transaction transaction{{{kHeadKey, head->revision}, {row_key, row->revision}},
                                         {{kHeadKey, new_head.dump()}, {row_key, toJson(after)}}};
    const auto written = table::writeSettled(*table_, transaction, attempt, kMaxTries,
                                             [] { std::this_thread::sleep_for(kPause); });
    switch (written.outcome) {
      case WriteOutcome::kCommitted:
        return {EditOutcome::kAccepted, after.item};
      case WriteOutcome::kNotWritten:
        return {possibly_applied ? EditOutcome::kUnknown : EditOutcome::kNotAccepted, {}};
      case WriteOutcome::kUnknown:
        possibly_applied = true;
        break;
      case WriteOutcome::kConflict:
        break;  // Somebody changed the head or the item: look again.
    }
  }
  return {possibly_applied ? EditOutcome::kUnknown : EditOutcome::kNotAccepted, {}};
}

}  // namespace linenpier::daemon
