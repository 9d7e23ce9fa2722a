#include "testbed/standin/store.h"

#include <algorithm>

namespace linenpier::standin {

bool RateLimit::allow(Instant now) {
  const std::lock_guard lock(mutex_);
  tokens_ = std::min(per_second_, tokens_ + toSeconds(now - last_) * per_second_);
  last_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

table::TransactionAnswer TableStore::transact(const table::Transaction& transaction) {
  const std::lock_guard lock(mutex_);
  table::TransactionAnswer answer;
  for (const table::Check& check : transaction.checks) {
    const auto row = rows_.find(check.key);
    const Revision present = row == rows_.end() ? 0 : row->second.revision;
    if (present == check.revision) continue;
    answer.conflicts.push_back(row == rows_.end() ? table::Row{check.key, 0, ""} : row->second);
  }
  if (!answer.conflicts.empty()) return answer;
  answer.committed = true;
  answer.revision = next_revision_++;
  for (const table::Put& put : transaction.puts) {
    rows_[put.key] = {put.key, answer.revision, put.value};
  }
  return answer;
}

table::Row TableStore::read(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto row = rows_.find(key);
  return row == rows_.end() ? table::Row{key, 0, ""} : row->second;
}

std::vector<table::Row> TableStore::list(const std::string& prefix) const {
  const std::lock_guard lock(mutex_);
  std::vector<table::Row> result;
  for (auto row = rows_.lower_bound(prefix); row != rows_.end(); ++row) {
    if (!row->first.starts_with(prefix)) break;
    result.push_back(row->second);
  }
  return result;
}

std::uint64_t TableStore::writes() const {
  const std::lock_guard lock(mutex_);
  return next_revision_ - 1;
}

void ObjectStore::put(const std::string& key, const std::string& body) {
  const std::lock_guard lock(mutex_);
  objects_[key] = body;
}

std::optional<std::string> ObjectStore::get(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto object = objects_.find(key);
  if (object == objects_.end()) return std::nullopt;
  return object->second;
}

std::vector<std::string> ObjectStore::list(const std::string& prefix) const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> keys;
  for (auto object = objects_.lower_bound(prefix); object != objects_.end(); ++object) {
    if (!object->first.starts_with(prefix)) break;
    keys.push_back(object->first);
  }
  return keys;
}

void ObjectStore::remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  objects_.erase(key);
}

void WeightStore::publish(const ModelName& model, WeightVersion version) {
  const std::lock_guard lock(mutex_);
  WeightVersion& newest = newest_[model];
  newest = std::max(newest, version);
}

WeightVersion WeightStore::newest(const ModelName& model) const {
  const std::lock_guard lock(mutex_);
  const auto found = newest_.find(model);
  return found == newest_.end() ? 0 : found->second;
}

}  // namespace linenpier::standin
