#pragma once

/** @file
 * Checks the events of a soak test, as seen by clients, trainers and engines, against the
 * guarantees of the gateway. Does no I/O. Test code.
 */

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace linenpier::soak {

enum class Guarantee {
  kMatchingResponse,       ///< A 200 response is the engine's complete response to that request.
  kAtMostOnce,             ///< A non-idempotent request runs at most once.
  kRefusedNotRun,          ///< A refused request or job is never run.
  kItemExactlyOnce,        ///< Each item is listed once and complete, at a stable position.
  kNoJobLost,              ///< All results of an accepted job can be read.
  kFewCrashes,             ///< A request that crashes engines crashes only a few of them.
  kRegisteredEnginesOnly,  ///< No request is sent to an address from a malformed entry.
  kRecovers,               ///< Requests are served again some time after the last fault.
  kResponds,               ///< A request that was run gets a response unless a process is killed.
  kClosesInTime,           ///< A stopping gateway accepts no request on connections from before.
};

const char* toText(Guarantee guarantee);
/** @return whether the status promises that the request has not run and never will. */
bool isRefusal(unsigned status);

struct read_result {
  std::string item;
  std::string state;
  std::string text;
  std::set<std::uint64_t> versions;

  bool operator==(const read_result&) const = default;
};

class soak_checker {
 public:
  /** @param events number of events in the complete text of an item. */
  explicit soak_checker(int events) : events_(events) {}

  // Events at engines.
  /** An engine ran a request. @param version the engine's weights at that time. */
  void onRun(const std::string& request, std::uint64_t version);

  // Events at clients.
  /** An attempt to send the request has begun. */
  void onSent(const std::string& request, bool at_most_once);
  void onResponse(const std::string& request, unsigned status, const std::string& signature,
                  const std::string& body);

  /** A gateway responded on a connection from before it was told to stop. */
  void onLateResponse(const std::string& request, std::size_t gateway, double seconds_after_stop);
  /** The connection of a request ended without a response, although no process was killed. */
  void onConnectionEnded(const std::string& request, std::size_t gateway);

  // Events at trainers.
  void onJobSent(const std::string& job, const std::vector<std::string>& items);
  void onJobAccepted(const std::string& job) { this->jobs_.at(job).accepted = true; }
  /** An attempt to submit the job has begun. It may take effect unless it is refused. */
  void onJobAttempt(const std::string& job) { ++this->jobs_.at(job).possible; }
  /** The attempt was refused, or not sent for lack of a connection. */
  void onJobAttemptRefused(const std::string& job) { --this->jobs_.at(job).possible; }
  void onResult(const std::string& job, std::size_t position, const read_result& result);
  /** A daemon reported an accepted job as unknown. */
  void onJobDenied(const std::string& job);

  /** A request arrived at an address that is only listed in malformed entries. */
  void onUnregisteredRequest(const std::string& target);
  /** An engine crashed while running the fatal request. */
  void onEngineCrashed() { ++this->crashes_; }

  /** @param served successful ones of the requests sent after the faults. */
  void onSettled(std::size_t served, std::size_t sent);
  /** Runs the checks that need the complete history. */
  void finish();

  std::size_t requests() const { return this->requests_.size(); }
  std::size_t items() const { return this->items_; }
  std::size_t crashes() const { return this->crashes_; }
  const std::vector<std::string>& violations() const { return this->violations_; }

 private:
  struct request {
    bool at_most_once = false;
    bool refused = false;      ///< At least one attempt was refused.
    std::size_t possible = 0;  ///< Attempts that were not refused and may have run.
  };
  struct job {
    std::vector<std::string> items;
    bool accepted = false;
    std::size_t possible = 0;  ///< Attempts that were not refused and may take effect.
    std::map<std::size_t, read_result> results;  ///< By position.
  };
  void report(Guarantee guarantee, const std::string& what);
  void checkItem(const std::string& job, const read_result& result);
  std::size_t runsOf(const std::string& request) const;

  int events_;
  std::map<std::string, request> requests_;
  std::map<std::string, std::vector<std::uint64_t>> runs_;  ///< Versions, by request or item.
  std::map<std::string, job> jobs_;
  std::map<std::string, std::size_t> ended_connections_;  ///< Gateways, by request.
  std::size_t crashes_ = 0;
  std::size_t items_ = 0;  ///< Number of distinct positions read.
  std::vector<std::string> violations_;
};

}  // namespace linenpier::soak
