#pragma once

/** @file
 * Counts the requests that began to run and writes the counts to the store.
 *
 * Every daemon keeps a row a window with all that this life of it has counted. It is written soon
 * after something was counted, so that the loss of the daemon, or of all, loses next to nothing. A
 * daemon that does not reach the store lets another one write. Samples of this daemon's clock go
 * with the same writes.
 */

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/task.h"
#include "gateway/table/async_table.h"
#include "gateway/usage/cluster_clock.h"
#include "gateway/usage/usage_counter.h"

namespace linenpier::usage {

/** Loop thread only. Lives as long as the loop runs. */
class usage_writer {
 public:
  /** Lets another daemon do a write. @return nothing if none did. */
  using write_by_peer = std::function<Task<std::optional<table::TransactionAnswer>>(table::Write)>;

  struct dependencies {
    boost::asio::io_context& loop;
    table::AsyncTable& table;
    const lease::lease_table& leases;
    const lease::lease_keeper& keeper;
    const cluster_clock& clock;
    std::string holder;  ///< Name of this daemon.
    std::function<std::int64_t()> time_of_day_ms;
    write_by_peer by_peer;
  };
  usage_writer(dependencies deps, const usage_options& options)
      : deps_(std::move(deps)), options_(options), counted_(deps_.loop) {}

  void start();
  void onRequestStarted(const TenantId& tenant, Instant at);
  /** @return whether counts wait to be written. */
  bool unsaved() const { return !this->counter_.idle(); }
  std::uint64_t counted() const { return this->total_counted_; }
  /** @return requests that were not counted: too many waited for the store's clock. */
  std::uint64_t dropped() const { return this->total_dropped_; }
  /** @return requests that were counted for a window that had been added up already. */
  std::uint64_t late() const { return this->total_late_; }

 private:
  /** A window in a write that is under way. */
  struct written_window {
    window_number window = 0;
    std::uint64_t changes = 0;  ///< Counted in it when the write was sent.
  };

  Task<void> writeLoop();
  Task<void> writeCounts();
  /** Adds the rows of windows with unsaved counts to the write. */
  std::vector<written_window> addUnsaved(table::Write& write);
  /** Adds a sample of this daemon's clock to the write, if one is due. @return whether it did. */
  bool addSample(Instant now, table::Write& write);
  void onWritten(const std::vector<written_window>& written,
                 const table::TransactionAnswer& answer);
  /** The store refused a window's row, since its revision is another one. */
  void onConflict(const written_window& written, const table::TransactionAnswer& answer);

  dependencies deps_;
  usage_options options_;
  usage_counter counter_;
  Signal counted_;  ///< Something was counted.
  Instant sampled_at_{};
  std::uint64_t total_counted_ = 0;
  std::uint64_t total_dropped_ = 0;
  std::uint64_t total_late_ = 0;
};

}  // namespace linenpier::usage
