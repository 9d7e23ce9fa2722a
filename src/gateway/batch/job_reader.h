#pragma once

/** @file
 * Calls that read a batch job: pages of its published results, and bodies of its items. Any daemon
 * answers them for any job; the owner from memory, the others from the store.
 *
 * A reader is shown only results that are in the store, up to the watermark in the job's row.
 */

#include <optional>
#include <string>
#include <vector>

#include "gateway/batch/batch_codec.h"
#include "gateway/batch/batch_options.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_store.h"
#include "gateway/forward/field_names.h"
#include "gateway/http/server.h"
#include "gateway/lease/lease_table.h"
#include "gateway/tenants/caller.h"

namespace linenpier::batch {

/** Owns nothing but the number of readers that wait; relies on the known jobs, and on the results
 * in memory of those that this daemon owns. Loop thread only.
 */
class job_reader {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    job_store& store;
    lease::lease_table& leases;
    const batch_codec& codec;
    const forward::field_names& names;
    job_registry& jobs;
    const batch_options& options;
  };

  explicit job_reader(dependencies deps) : deps_(deps) {}

  /** Answers with results from `position` on, once there are any or `wait` is over. Calls about a
   * job of another tenant are answered as if there were no such job.
   */
  Task<void> readResults(JobId id, tenants::caller from, std::size_t position, Duration wait,
                         http::ResponseWriter& writer);
  Task<void> readItem(JobId id, tenants::caller from, ItemId item, http::ResponseWriter& writer);

  /** @return whether readers wait here for results to be published. */
  bool hasWaitingReaders() const { return this->waiting_readers_ > 0; }
  /** Readers that wait are answered with what there is. */
  void stop() { this->stopping_ = true; }

 private:
  struct result_page;
  /** What a reader's answer is made under. */
  struct page_state {
    std::size_t total = 0;      ///< Items of the job.
    std::size_t published = 0;  ///< Results that may be shown.
    bool from_memory = false;
  };

  /** Looks a job up, in the store if need be.
   * @param record stays empty if there is no job, or none that the caller may know of.
   * @return whether that is sure.
   */
  Task<bool> lookUp(JobId id, tenants::caller from, std::optional<job_record>& record);
  std::size_t publishedOf(const JobId& id) const;
  /** Adds published results from this daemon's memory. @return whether it has them. */
  bool readFromMemory(const JobId& id, result_page& page) const;
  /** Adds results from the store, also such as are not published yet. */
  Task<bool> readFromStore(const JobId& id, result_page& page);
  /** Waits until more may be published. */
  Task<void> waitForPublish(JobId id, Duration limit);
  Task<void> replyResults(http::ResponseWriter& writer, const JobId& id, const result_page& page,
                          page_state state) const;
  Task<void> replyPage(http::ResponseWriter& writer, std::size_t total, std::size_t next,
                       const std::vector<std::string>& results) const;
  Task<void> reply(http::ResponseWriter& writer, unsigned status, std::string body = {}) const;

  dependencies deps_;
  std::size_t waiting_readers_ = 0;
  bool stopping_ = false;
};

}  // namespace linenpier::batch
