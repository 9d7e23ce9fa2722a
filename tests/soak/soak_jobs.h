#pragma once

/** @file
 * The trainer of a soak test: submits jobs, reads their results twice and ends them. Test code.
 */

#include <optional>
#include <string>
#include <vector>

#include "soak/soak_world.h"

namespace linenpier::soak {

/** Loop thread only; must outlive the loop. */
class soak_jobs {
 public:
  explicit soak_jobs(soak_world& world) : world_(world) {}

  void start();

 private:
  struct job {
    std::string id;
    std::vector<std::string> items;
    bool held_back = false;  ///< Results are stored before they are published.
    bool unlucky = false;    ///< Engines crash several times while they run the first item.
    Instant accepted_at{};
  };

  Task<void> jobLoop();
  Task<void> runJob(job each);
  /** Submits the job at one gateway after the other until one accepts it. Gives up after a drawn
   * number of attempts. @return whether the job was accepted.
   */
  Task<bool> submitJob(job* each);
  Task<bool> readAllResults(job each, std::size_t gateway);
  /** Reads the results again from all gateways after a while, when late writes are executed. */
  Task<void> readAgain(job each);
  /** @return the next position to read; nothing if the page could not be read. */
  Task<std::optional<std::size_t>> readPage(job each, std::size_t position, std::size_t gateway);
  Task<void> endJob(std::string id);

  soak_world& world_;
};

}  // namespace linenpier::soak
