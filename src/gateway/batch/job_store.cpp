#include "gateway/batch/job_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "gateway/batch/checkpoint_rows.h"
#include "gateway/table/store_keys.h"

namespace linenpier::batch {

using nlohmann::json;
using table::jobKey;
using table::jobObjectName;
using table::kResultTable;
using table::numberedKey;
using table::numberedKeyEnd;

namespace {

/// Markers in the value of a result's row, between the item's index and the result or the name of
/// its object.
constexpr char kInline = '=';
constexpr char kObject = '@';
constexpr std::size_t kMaxRemovedAtOnce = 90;  ///< The store accepts 100 entries per write.
/// Maximum number of obsolete rows removed in the write that adds a part. Leaves room for the
/// part's own rows within the limit of the store.
constexpr std::size_t kMaxRemovedWithPart = 60;
/// Maximum size of the values in a write, unencoded. The store accepts 1 MB, and the encoding adds
/// a third.
constexpr std::size_t kMaxWriteBytes = 600 * 1024;

std::string resultRowKey(const JobId& id, std::size_t position) {
  return kResultTable + "/" + numberedKey(id, position);
}

/** @return the number at the end of a row's key. */
std::size_t numberOf(const std::string& key) {
  return std::strtoull(key.c_str() + key.rfind('/') + 1, nullptr, 10);
}

std::string largeResultName(const JobId& id, std::size_t position, Revision fence) {
  return table::resultObjectPrefix(id) + std::to_string(position) + "-" + std::to_string(fence);
}

}  // namespace

const char* toText(FencedWriteOutcome outcome) {
  switch (outcome) {
    case FencedWriteOutcome::kCommitted:
      return "committed";
    case FencedWriteOutcome::kFenceLost:
      return "fence_lost";
    case FencedWriteOutcome::kNotCommitted:
      return "not_committed";
    case FencedWriteOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string encodeRecord(const job_record& record) {
  json document = {{"owner", record.owner.str()},
                   {"host", record.host},
                   {"path", record.path},
                   {"model", record.model.str()},
                   {"tenant", record.tenant.str()},
                   {"total", record.total},
                   {"body_rows", record.body_rows},
                   {"released", record.published},
                   {"ended", record.ended},
                   {"begun", record.started},
                   {"accepted_ms", record.accepted_ms}};
  for (const RouteName& each : record.other_routes) {
    document["other_routes"].push_back(each.str());
  }
  return document.dump();
}

std::optional<job_record> decodeRecord(const JobId& id, const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  try {
    job_record record;
    record.id = id;
    record.owner = LeaseId(document.at("owner").get<std::string>());
    record.host = document.at("host").get<std::string>();
    record.path = document.at("path").get<std::string>();
    record.model = ModelName(document.value("model", ""));
    record.tenant = TenantId(document.value("tenant", ""));
    for (const auto& name : document.value("other_routes", std::vector<std::string>{})) {
      record.other_routes.insert(RouteName(name));
    }
    record.total = document.at("total").get<std::size_t>();
    record.body_rows = document.value("body_rows", std::size_t{0});
    record.published = document.value("released", std::size_t{0});
    record.ended = document.at("ended").get<bool>();
    record.started = document.value("begun", true);
    record.accepted_ms = document.at("accepted_ms").get<std::int64_t>();
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

bool mayAccess(const job_record& record, const tenants::caller& from) {
  const bool needs_key = from.key_status != tenants::KeyStatus::kNotNeeded;
  return !needs_key || record.tenant.empty() || record.tenant == from.tenant;
}

Task<CallResult<bool>> job_store::putJob(JobId id, std::string bytes) {
  co_return co_await this->objects_.put(jobObjectName(id), std::move(bytes));
}

std::vector<table::Put> job_store::bodyRows(const JobId& id, const std::string& bytes) const {
  std::vector<table::Put> rows;
  if (bytes.size() > kMaxWriteBytes) return rows;
  for (std::size_t at = 0; at < bytes.size(); at += this->row_bytes_) {
    const std::string key = table::kBodyTable + "/" + numberedKey(id, rows.size());
    rows.push_back({key, bytes.substr(at, this->row_bytes_)});
  }
  return rows;
}

Task<CallResult<std::string>> job_store::getJob(job_record record) {
  if (record.body_rows == 0) {
    co_return co_await this->objects_.get(jobObjectName(record.id));
  }
  std::string bytes;
  std::size_t read = 0;
  while (read < record.body_rows) {
    table::RowRange range{table::kBodyTable, numberedKey(record.id, read),
                          numberedKeyEnd(record.id), 0};
    const auto page = co_await this->table_.read(range);
    if (!page) co_return tl::make_unexpected(page.error());
    if (page->rows.empty()) {
      co_return tl::make_unexpected(
          CallError{CallFailure::kRejected, "rows of the submitted job are missing"});
    }
    for (const table::Row& row : page->rows) bytes += row.value;
    read += page->rows.size();
  }
  co_return bytes;
}

fenced_write_result job_store::toWriteResult(const CallResult<table::TransactionAnswer>& answer,
                                             const std::string& job_key, Revision fence) const {
  fenced_write_result write_result;
  if (!answer) {
    write_result.outcome = certainlyNotProcessed(answer.error().failure)
                               ? FencedWriteOutcome::kNotCommitted
                               : FencedWriteOutcome::kUnknown;
    write_result.failure = answer.error().detail;
    return write_result;
  }
  if (answer->committed) {
    write_result.outcome = FencedWriteOutcome::kCommitted;
    write_result.revision = answer->revision;
    return write_result;
  }
  const auto row = std::find_if(answer->conflicts.begin(), answer->conflicts.end(),
                                [&](const table::Row& each) { return each.key == job_key; });
  const bool present = row != answer->conflicts.end();
  const Revision current = present ? row->revision : 0;
  if (present) write_result.current = *row;
  if (current != fence) {
    write_result.outcome = FencedWriteOutcome::kFenceLost;
    return write_result;
  }
  // The write was rejected although its only condition, the revision of the job's row, is met: it
  // may be retried.
  write_result.outcome = FencedWriteOutcome::kNotCommitted;
  return write_result;
}

Task<fenced_write_result> job_store::putRecord(job_record record, Revision fence,
                                               std::vector<table::Put> also) {
  const std::string key = jobKey(record.id);
  table::Write write;
  write.transaction.checks.push_back({key, fence});
  write.transaction.puts.push_back({key, encodeRecord(record)});
  for (table::Put& put : also) write.transaction.puts.push_back(std::move(put));
  const auto answer = co_await this->table_.write(std::move(write));
  co_return this->toWriteResult(answer, key, fence);
}

namespace {
table::RowRange recordRange(const JobId& id) {
  return table::singleRow(table::kCoordinationTable, table::kJobPrefix + id.str());
}
}  // namespace

Task<bool> job_store::isReachable(JobId id, Duration timeout) {
  table::RowRange range = recordRange(id);
  range.timeout = timeout;
  const auto page = co_await this->table_.read(range);
  co_return page.has_value();
}

Task<CallResult<table::Row>> job_store::getRecord(JobId id) {
  const table::RowRange range = recordRange(id);
  const auto page = co_await this->table_.read(range);
  if (!page) co_return tl::make_unexpected(page.error());
  co_return page->rows.empty() ? table::Row{jobKey(id), 0, ""} : page->rows.front();
}

Task<fenced_write_result> job_store::append(JobId id, Revision fence, std::size_t position,
                                            std::vector<stored_result> results,
                                            std::optional<job_record> publish) {
  const std::string job_key = jobKey(id);
  table::Write write;
  write.transaction.checks.push_back({job_key, fence});
  if (publish) write.transaction.puts.push_back({job_key, encodeRecord(*publish)});
  for (const stored_result& result : results) {
    std::string value = std::to_string(result.item_index);
    if (result.encoded.size() + value.size() + 1 <= this->row_bytes_) {
      value += kInline + result.encoded;
    } else {
      const std::string name = largeResultName(id, position, fence);
      const auto put = co_await this->objects_.put(name, result.encoded);
      if (!put) {
        co_return fenced_write_result{FencedWriteOutcome::kNotCommitted, 0, std::nullopt,
                                      put.error().detail};
      }
      value += kObject + name;
    }
    const std::string key = resultRowKey(id, position);
    write.transaction.puts.push_back({key, std::move(value)});
    ++position;
  }
  const auto answer = co_await this->table_.write(std::move(write));
  co_return this->toWriteResult(answer, job_key, fence);
}

Task<fenced_write_result> job_store::putCheckpoint(JobId id, Revision fence,
                                                   checkpoint_write part) {
  const std::string job_key = jobKey(id);
  const std::string prefix = table::kCheckpointTable + "/";
  table::Write write;
  write.transaction.checks.push_back({job_key, fence});
  std::size_t bytes = 0;
  std::size_t number = part.first_row;
  for (std::string& row : part.rows) {
    if (bytes > 0 && bytes + row.size() > kMaxWriteBytes) {
      // Incomplete parts are skipped by readers, so that a part may be written in several
      // transactions.
      const auto partial = co_await this->table_.write(std::move(write));
      const fenced_write_result write_result = this->toWriteResult(partial, job_key, fence);
      if (write_result.outcome != FencedWriteOutcome::kCommitted) co_return write_result;
      write = table::Write{};
      write.transaction.checks.push_back({job_key, fence});
      bytes = 0;
    }
    bytes += row.size();
    write.transaction.puts.push_back({prefix + numberedKey(id, number), std::move(row)});
    ++number;
  }
  for (std::size_t old = part.obsolete_from; old < part.first_row; ++old) {
    if (write.removes.size() >= kMaxRemovedWithPart) break;
    write.removes.push_back(prefix + numberedKey(id, old));
  }
  const auto answer = co_await this->table_.write(std::move(write));
  co_return this->toWriteResult(answer, job_key, fence);
}

Task<bool> job_store::removeObjects(std::string prefix) {
  const auto names = co_await this->objects_.list(prefix);
  if (!names) co_return false;
  for (const std::string& name : *names) {
    const auto removed = co_await this->objects_.remove(name);
    if (!removed) co_return false;
  }
  co_return true;
}

Task<bool> job_store::removeRows(std::string table, JobId id, Revision fence) {
  for (;;) {
    table::RowRange range{table, numberedKey(id, 0), numberedKeyEnd(id), kMaxRemovedAtOnce};
    const auto page = co_await this->table_.read(range);
    if (!page) co_return false;
    if (page->rows.empty()) co_return true;
    table::Write write;
    write.transaction.checks.push_back({jobKey(id), fence});
    for (const table::Row& row : page->rows) write.removes.push_back(row.key);
    const auto answer = co_await this->table_.write(std::move(write));
    if (!answer || !answer->committed) co_return false;
  }
}

Task<bool> job_store::removeJob(JobId id, Revision fence) {
  const bool results_gone = co_await this->removeRows(kResultTable, id, fence);
  if (!results_gone) co_return false;
  const bool body_gone = co_await this->removeRows(table::kBodyTable, id, fence);
  if (!body_gone) co_return false;
  const bool large_gone = co_await this->removeObjects(table::resultObjectPrefix(id));
  if (!large_gone) co_return false;
  const bool checkpoints_gone = co_await this->removeRows(table::kCheckpointTable, id, fence);
  if (!checkpoints_gone) co_return false;
  const auto job_gone = co_await this->objects_.remove(jobObjectName(id));
  if (!job_gone) co_return false;
  // The row is removed last, so that any daemon can complete an interrupted removal.
  table::Write write;
  write.transaction.checks.push_back({jobKey(id), fence});
  write.removes.push_back(jobKey(id));
  const auto answer = co_await this->table_.write(std::move(write));
  co_return answer.has_value() && answer->committed;
}

Task<CallResult<stored_checkpoint>> job_store::getCheckpoint(JobId id) {
  stored_checkpoint stored;
  std::vector<std::string> values;
  table::RowRange range{table::kCheckpointTable, numberedKey(id, 0), numberedKeyEnd(id), 0};
  for (;;) {
    auto page = co_await this->table_.read(range);
    if (!page) co_return tl::make_unexpected(page.error());
    for (table::Row& row : page->rows) {
      const std::size_t number = numberOf(row.key);
      if (values.empty()) stored.first_row = number;
      stored.next_row = number + 1;
      values.push_back(std::move(row.value));
    }
    if (!page->has_more || page->rows.empty()) break;
    range.from = numberedKey(id, stored.next_row);
  }
  stored.texts = mergeParts(partsFromRows(values));
  co_return stored;
}

Task<CallResult<stored_results>> job_store::results(JobId id, std::size_t position,
                                                    std::size_t limit) {
  table::RowRange range{kResultTable, numberedKey(id, position), numberedKeyEnd(id), limit};
  const auto page = co_await this->table_.read(range);
  if (!page) co_return tl::make_unexpected(page.error());
  stored_results found;
  found.clock_ms = page->clock_ms;
  for (const table::Row& row : page->rows) {
    const std::size_t marker = row.value.find_first_not_of("0123456789");
    if (marker == std::string::npos ||
        row.key != resultRowKey(id, position + found.results.size())) {
      co_return tl::make_unexpected(CallError{CallFailure::kBadAnswer, "a result row is missing"});
    }
    stored_result result;
    result.item_index = std::strtoull(row.value.c_str(), nullptr, 10);
    result.encoded = row.value.substr(marker + 1);
    if (row.value[marker] == kObject) {
      auto bytes = co_await this->objects_.get(result.encoded);
      if (!bytes) co_return tl::make_unexpected(bytes.error());
      result.encoded = std::move(*bytes);
    }
    found.results.push_back(std::move(result));
  }
  co_return found;
}

Task<CallResult<stored_progress>> job_store::getProgress(JobId id) {
  stored_progress progress;
  for (;;) {
    auto page = co_await this->results(id, progress.results.size(), 0);
    if (!page) co_return tl::make_unexpected(page.error());
    progress.clock_ms = page->clock_ms;
    if (page->results.empty()) break;
    for (stored_result& each : page->results) progress.results.push_back(std::move(each));
  }
  auto checkpoint = co_await this->getCheckpoint(id);
  if (!checkpoint) co_return tl::make_unexpected(checkpoint.error());
  progress.checkpoint = std::move(*checkpoint);
  co_return progress;
}

}  // namespace linenpier::batch
