#pragma once

/** @file
 * Handles requests that read batch jobs: pages of published results, and bodies of items. Any
 * daemon serves any job; the owner from memory, the others from the store.
 *
 * Readers see only results that are stored, up to the number published in the job's row.
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

/** Owns only the number of waiting readers; results are read from the job registry or the store.
 * The class must be used from the event loop thread only.
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

  /** Responds with the results from `position` on as soon as there are any, or after `wait`. For a
   * job of another tenant, the response is the same as for an unknown job.
   */
  Task<void> readResults(JobId id, tenants::caller from, std::size_t position, Duration wait,
                         http::ResponseWriter& writer);
  Task<void> readItem(JobId id, tenants::caller from, ItemId item, http::ResponseWriter& writer);

  /** @return whether readers wait at this daemon for results to be published. */
  bool hasWaitingReaders() const { return this->waiting_readers_ > 0; }
  /** Answers waiting readers with the results that are available now. */
  void stop() { this->stopping_ = true; }

 private:
  struct result_page;
  /** State of the job that a response is based on. */
  struct page_state {
    std::size_t total = 0;      ///< Items of the job.
    std::size_t published = 0;  ///< Results that readers may see.
    bool from_memory = false;
  };

  /** Finds a job, in the store if it is not known.
   * @param record stays empty if there is no such job or the caller may not access it.
   * @return whether the answer is reliable; false if the store did not respond.
   */
  Task<bool> lookUp(JobId id, tenants::caller from, std::optional<job_record>& record);
  std::size_t publishedOf(const JobId& id) const;
  /** Adds published results from memory. @return whether they are in memory. */
  bool readFromMemory(const JobId& id, result_page& page) const;
  /** Adds results from the store, including unpublished ones. */
  Task<bool> readFromStore(const JobId& id, result_page& page);
  /** Waits until more results may be published. */
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
