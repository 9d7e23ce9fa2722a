#pragma once

/** @file
 * Storage of batch jobs.
 *
 * - the submitted job: rows written together with the job's row, or an object written before it if
 *   the job is too large for one write;
 * - the job's row: its revision is the owner's fence, on which each update is conditional;
 * - checkpoints: text of unfinished items, in rows that are added under the fence;
 * - results: one row per position, written only under the fence. A write that does not publish
 *   leaves the fence valid. A position never changes all the same: each run of the job has a fence
 *   of its own, reads the results under it before it appends, and repeats an unanswered append
 *   unchanged. Readers see the number of results published in the job's row.
 */

#include <memory>

#include "gateway/batch/batch_types.h"
#include "gateway/batch/checkpoint.h"
#include "gateway/table/async_table.h"
#include "gateway/tenants/caller.h"

namespace linenpier::batch {

struct stored_result {
  std::size_t item_index = 0;  ///< Index of the item in the job.
  std::string encoded;         ///< Encoded result, as returned to readers.
};

struct stored_results {
  std::vector<stored_result> results;  ///< Results from the requested position on, without gaps.
  std::int64_t clock_ms = 0;
};

/** A checkpoint as stored, and the range of its rows. */
struct stored_checkpoint {
  item_checkpoints texts;
  std::size_t first_row = 0;
  std::size_t next_row = 0;  ///< Number of the row after the checkpoint's last row.
};

/** Everything that the owners of a job have stored. */
struct stored_progress {
  std::vector<stored_result> results;  ///< Results by position, starting at 0.
  stored_checkpoint checkpoint;
  std::int64_t clock_ms = 0;  ///< The store's clock at the time of reading.
};

/** A part of a checkpoint to write. */
struct checkpoint_write {
  std::vector<std::string> rows;  ///< Values of the part's rows, from `toRows`.
  std::size_t first_row = 0;      ///< Number of the part's first row.
  /// First of the rows before `first_row` that are removed after the part is written.
  std::size_t obsolete_from = 0;
};

/** Outcome of a write that is conditional on the job's fence. */
enum class FencedWriteOutcome {
  kCommitted,
  kFenceLost,     ///< The job's row has another revision.
  kNotCommitted,  ///< The write was not committed and may be retried.
  kUnknown,       ///< The write may be committed; only the identical write may be retried.
};

/** @return the name of the outcome in log lines. */
const char* toText(FencedWriteOutcome outcome);

struct fenced_write_result {
  FencedWriteOutcome outcome = FencedWriteOutcome::kUnknown;
  Revision revision = 0;              ///< Revision of the written rows.
  std::optional<table::Row> current;  ///< The job's row, if the fence is lost and the row exists.
  std::string failure = {};  ///< Why the call to the store failed, for the log; empty: answered.
};

std::string encodeRecord(const job_record& record);
/** @return the record, or nothing if the text is malformed. */
std::optional<job_record> decodeRecord(const JobId& id, const std::string& text);

/** @return whether the caller may access the job. */
bool mayAccess(const job_record& record, const tenants::caller& from);

class job_store {
 public:
  job_store(table::AsyncTable& table, table::AsyncObjects& objects, std::size_t row_bytes)
      : table_(table), objects_(objects), row_bytes_(row_bytes) {}

  /** @return the rows of a submitted job, to be written together with its row; none if the job is
   *     too large.
   */
  std::vector<table::Put> bodyRows(const JobId& id, const std::string& bytes) const;
  /** Stores a job that is too large for rows as an object. */
  Task<CallResult<bool>> putJob(JobId id, std::string bytes);
  /** @return the job as submitted. */
  Task<CallResult<std::string>> getJob(job_record record);

  /** Writes the job's row if its revision is `fence` (0: absent), with `also` in the same
   * transaction.
   */
  Task<fenced_write_result> putRecord(job_record record, Revision fence,
                                      std::vector<table::Put> also);
  /** @return whether the store responds in time. */
  Task<bool> isReachable(JobId id, Duration timeout);
  /** @return the job's row; its revision is 0 if there is none. */
  Task<CallResult<table::Row>> getRecord(JobId id);

  /** Appends results at `position` under the fence.
   * @param publish the updated job's row, if results are published in the same transaction. Its new
   *     revision becomes the fence.
   */
  Task<fenced_write_result> append(JobId id, Revision fence, std::size_t position,
                                   std::vector<stored_result> results,
                                   std::optional<job_record> publish);
  /** @return the maximum size of a row's value. */
  std::size_t rowBytes() const { return this->row_bytes_; }
  /** Writes a part of a checkpoint under the fence. */
  Task<fenced_write_result> putCheckpoint(JobId id, Revision fence, checkpoint_write part);
  /** Removes all data of an ended job, its row last. Idempotent.
   * @return whether everything is removed.
   */
  Task<bool> removeJob(JobId id, Revision fence);
  /** @return the job's merged checkpoint; empty if the job has none. */
  Task<CallResult<stored_checkpoint>> getCheckpoint(JobId id);
  /** Reads results from `position` on, at most `limit` rows (0: as many as one response holds). */
  Task<CallResult<stored_results>> results(JobId id, std::size_t position, std::size_t limit);
  /** Reads all results and the checkpoint of a job. */
  Task<CallResult<stored_progress>> getProgress(JobId id);

 private:
  /** Removes the job's rows from a table with several rows per job. @return whether none is left.
   */
  Task<bool> removeRows(std::string table, JobId id, Revision fence);
  Task<bool> removeObjects(std::string prefix);
  fenced_write_result toWriteResult(const CallResult<table::TransactionAnswer>& answer,
                                    const std::string& job_key, Revision fence) const;

  table::AsyncTable& table_;
  table::AsyncObjects& objects_;
  std::size_t row_bytes_;  ///< Maximum size of a row's value; larger ones are stored as objects.
};

}  // namespace linenpier::batch
