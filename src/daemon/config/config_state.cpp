#include "daemon/config/config_state.h"

#include <algorithm>

#include "common/log.h"

namespace linenpier::config {

const Tenant* Snapshot::findTenant(const TenantId& id) const {
  const auto found = tenants.find(id);
  return found == tenants.end() ? nullptr : &found->second;
}

const Tenant* Snapshot::findTenantByKey(const std::string& key) const {
  const auto found = tenant_by_key_hash.find(sha256Hex(key));
  return found == tenant_by_key_hash.end() ? nullptr : findTenant(found->second);
}

const Template* Snapshot::templateFor(const Tenant& tenant, const ModelName& model) const {
  const TenantModel* entry = tenant.findModel(model);
  if (entry == nullptr) return nullptr;
  const auto found = templates.find(entry->template_name);
  return found == templates.end() ? nullptr : &found->second;
}

ConfigState::ConfigState() : snapshot_(std::make_shared<Snapshot>()) {}

bool ConfigState::apply(const std::vector<wire::ConfigItem>& items, Revision complete_to) {
  bool changed = false;
  for (const wire::ConfigItem& item : items) {
    wire::ConfigItem& known = items_[item.key];
    if (known.revision >= item.revision) continue;
    known = item;
    changed = true;
  }
  if (complete_to > revision_) {
    revision_ = complete_to;
    changed = true;
  }
  if (changed) rebuild();
  return changed;
}

wire::ConfigItems ConfigState::itemsSince(Revision have, std::size_t max_bytes) const {
  std::vector<const wire::ConfigItem*> newer;
  for (const auto& [key, item] : items_) {
    if (item.revision > have && item.revision <= revision_) newer.push_back(&item);
  }
  std::sort(newer.begin(), newer.end(), [](const wire::ConfigItem* a, const wire::ConfigItem* b) {
    return a->revision < b->revision;
  });
  wire::ConfigItems answer;
  answer.since = have;
  std::size_t bytes = 0;
  for (const wire::ConfigItem* item : newer) {
    bytes += item->key.size() + item->document.size();
    const bool over = bytes > max_bytes && !answer.items.empty();
    // Items of one revision travel together, so that `complete_to` is honest.
    if (over && item->revision != answer.items.back().revision) return answer;
    answer.items.push_back(*item);
    answer.complete_to = item->revision;
  }
  answer.complete_to = revision_;
  return answer;
}

std::vector<wire::ConfigItem> ConfigState::list(const std::string& prefix) const {
  std::vector<wire::ConfigItem> result;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix) && !item.document.empty()) result.push_back(item);
  }
  return result;
}

void ConfigState::rebuild() {
  auto next = std::make_shared<Snapshot>();
  next->revision = revision_;
  for (const auto& [key, item] : items_) {
    if (item.document.empty()) continue;
    if (key.starts_with(kTemplatePrefix)) {
      if (auto parsed = parseTemplate(key, item.document)) {
        next->templates[parsed->name] = *parsed;
      } else {
        LINENPIER_LOG(error, "config") << "Document is unusable: " << describe(parsed.error());
      }
    } else if (key.starts_with(kTenantPrefix)) {
      if (auto parsed = parseTenant(key, item.document)) {
        for (const std::string& hash : parsed->key_hashes) {
          next->tenant_by_key_hash[hash] = parsed->name;
        }
        next->tenants[parsed->name] = *parsed;
      } else {
        LINENPIER_LOG(error, "config") << "Document is unusable: " << describe(parsed.error());
      }
    }
  }
  for (const auto& [id, tenant] : next->tenants) {
    for (const TenantModel& entry : tenant.models) {
      const Template* rules = next->templateFor(tenant, entry.model);
      const bool serving = rules != nullptr && rules->kind == WorkKind::kServing;
      if (serving) next->serving_models.insert(entry.model);
    }
  }
  snapshot_ = std::move(next);
}

}  // namespace linenpier::config
