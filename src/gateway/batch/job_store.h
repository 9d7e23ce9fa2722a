#pragma once

/** @file
 * What of a batch job lies in the store, and under which condition it is written.
 *
 * - the job as handed in: rows that are written with the job's row, or an object that is written
 *   before it if the job is too large for one write;
 * - the job's row: its revision is the fence of the owner. Written under its last revision;
 * - checkpoints: the text of unfinished items, as rows that are added while the job's row has the
 *   owner's revision;
 * - results: a row a position, written only while the job's row has the owner's revision and the
 *   position is empty. So a position has one content for ever, whoever takes itself for the owner.
 *   Readers are shown those that the job's row publishes.
 */

#include <memory>

#include "gateway/batch/batch_types.h"
#include "gateway/batch/checkpoint.h"
#include "gateway/table/async_table.h"
#include "gateway/tenants/caller.h"

namespace linenpier::batch {

/** A result as it lies in the store. */
struct stored_result {
  std::size_t item_index = 0;
  std::string encoded;  ///< As readers get it.
};

struct stored_results {
  std::vector<stored_result> results;  ///< From the asked position on, without gaps.
  std::int64_t clock_ms = 0;
};

/** A checkpoint as it lies in the store, and the rows that hold it. */
struct stored_checkpoint {
  checkpoint_texts texts;
  std::size_t first_row = 0;
  std::size_t next_row = 0;  ///< Behind the last one.
};

/** All that an owner of a job has written of it. */
struct stored_progress {
  std::vector<stored_result> results;  ///< By position, from the first on.
  stored_checkpoint checkpoint;
  std::int64_t clock_ms = 0;  ///< The store's clock when it was read.
};

/** A part of a checkpoint on its way into the store. */
struct checkpoint_write {
  std::vector<std::string> rows;  ///< See `toRows`.
  std::size_t first_row = 0;      ///< Number of the first.
  /// Rows from this one up to `first_row` are removed once the part is written.
  std::size_t obsolete_from = 0;
};

/** What came of a conditional write. */
enum class FencedWriteOutcome {
  kCommitted,
  kFenceLost,     ///< The job's row has another revision.
  kNotCommitted,  ///< Certainly not done; again later.
  kUnknown,       ///< May be done yet; only the same write may follow.
};

struct fenced_write_result {
  FencedWriteOutcome outcome = FencedWriteOutcome::kUnknown;
  Revision revision = 0;              ///< Of what was written.
  std::optional<table::Row> current;  ///< The job's row, if the fence is lost and the row exists.
};

std::string encodeRecord(const job_record& record);
/** @return nothing if the text is no job record. */
std::optional<job_record> decodeRecord(const JobId& id, const std::string& text);

/** @return whether the caller may know of the job. */
bool mayAccess(const job_record& record, const tenants::caller& from);

class job_store {
 public:
  job_store(table::AsyncTable& table, table::AsyncObjects& objects, std::size_t row_bytes)
      : table_(table), objects_(objects), row_bytes_(row_bytes) {}

  /** @return the rows that hold a job as handed in, to be written with its row; none if it is too
   *     large for that.
   */
  std::vector<table::Put> bodyRows(const JobId& id, const std::string& bytes) const;
  /** Keeps a job that is too large for rows. */
  Task<CallResult<bool>> putJob(JobId id, std::string bytes);
  /** @return the job as handed in. */
  Task<CallResult<std::string>> getJob(job_record record);

  /** Writes the job's row if its revision is `fence` (0: absent), with `also` in one transaction.
   */
  Task<fenced_write_result> putRecord(job_record record, Revision fence,
                                      std::vector<table::Put> also);
  /** @return whether the store answers a question about the job in time. */
  Task<bool> isReachable(JobId id, Duration timeout);
  /** @return the row; revision 0 if there is none. */
  Task<CallResult<table::Row>> getRecord(JobId id);

  /** Appends results from `position` on under the fence.
   * @param publish the job's row with what readers are shown from then on, in the same write: it
   *     gets a new revision, which is the fence then.
   */
  Task<fenced_write_result> append(JobId id, Revision fence, std::size_t position,
                                   std::vector<stored_result> results,
                                   std::optional<job_record> publish);
  /** @return how much of a part of a checkpoint a row takes, in bytes. */
  std::size_t rowBytes() const { return this->row_bytes_; }
  /** Keeps what unfinished items have so far. */
  Task<fenced_write_result> putCheckpoint(JobId id, Revision fence, checkpoint_write part);
  /** Removes everything of a job that has ended, its row last. May be repeated.
   * @return whether nothing is left.
   */
  Task<bool> removeJob(JobId id, Revision fence);
  /** @return the checkpoint, its parts put together; empty if there is none. */
  Task<CallResult<stored_checkpoint>> getCheckpoint(JobId id);
  /** Reads results from `position` on, at most `limit` rows (0: as many as one answer holds). */
  Task<CallResult<stored_results>> results(JobId id, std::size_t position, std::size_t limit);
  /** Reads all results and the checkpoint of a job. */
  Task<CallResult<stored_progress>> getProgress(JobId id);

 private:
  /** Removes the job's rows of a table that has many of each job. @return whether none is left. */
  Task<bool> removeRows(std::string table, JobId id, Revision fence);
  Task<bool> removeObjects(std::string prefix);
  fenced_write_result toWriteResult(const CallResult<table::TransactionAnswer>& answer,
                                    const std::string& job_key, Revision fence) const;

  table::AsyncTable& table_;
  table::AsyncObjects& objects_;
  std::size_t row_bytes_;  ///< Larger values become objects.
};

}  // namespace linenpier::batch
