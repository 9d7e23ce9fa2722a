#pragma once

/** @file
 * What callers, trainers and engines saw in a soak, held against the promises of the product. Pure.
 * Test code.
 */

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace linenpier::soak {

/** The promises that are checked. */
enum class Promise {
  kOwnAnswer,      ///< A success is the engine's whole answer to that very request.
  kOnce,           ///< A request that may run once runs once at most.
  kHonestRefusal,  ///< A refused request or job has not run and never will.
  kItemOnce,     ///< Each item stands once, at a position that keeps it, whole, with its versions.
  kNothingLost,  ///< An accepted job is read to its end.
  kFewEnds,      ///< A request that ends its engines ends few of them, wherever it comes.
  kNamedEngine,  ///< Nothing is sent to an address that only a spoilt entry names.
  kServedAgain,  ///< Some time after the last fault requests are served.
};

const char* toText(Promise promise);

/** A result as a reader got it. */
struct read_result {
  std::string item;
  std::string state;
  std::string text;
  std::set<std::uint64_t> versions;

  bool operator==(const read_result&) const = default;
};

class soak_checker {
 public:
  /** @param events of each whole text. */
  explicit soak_checker(int events) : events_(events) {}

  // What engines saw.
  /** An engine ran a request. @param version of the weights it had. */
  void onRun(const std::string& request, std::uint64_t version);

  // What callers saw.
  void onSent(const std::string& request, bool once);
  void onAnswer(const std::string& request, unsigned status, const std::string& signature,
                const std::string& body);

  // What trainers saw.
  void onJobSent(const std::string& job, const std::vector<std::string>& items);
  void onJobAccepted(const std::string& job) { this->jobs_.at(job).accepted = true; }
  /** Every try was refused. */
  void onJobRefused(const std::string& job) { this->jobs_.at(job).refused = true; }
  void onResult(const std::string& job, std::size_t position, const read_result& result);
  /** A daemon said that there is no such job, some time after it was accepted. */
  void onJobDenied(const std::string& job);

  /** A request came to an address that no whole entry names. */
  void onUnnamedReached(const std::string& target);
  /** An engine ended under the one request that ends its engines. */
  void onEngineEnded() { ++this->ended_; }

  /** @param served of the last requests, after the faults. */
  void onSettled(std::size_t served, std::size_t sent);
  /** Looks at what can only be said when all is over. */
  void finish();

  std::size_t requests() const { return this->requests_.size(); }
  std::size_t items() const { return this->items_; }
  std::size_t ended() const { return this->ended_; }
  const std::vector<std::string>& violations() const { return this->violations_; }

 private:
  struct request {
    bool once = false;
    bool refused = false;
  };
  struct job {
    std::vector<std::string> items;
    bool accepted = false;
    bool refused = false;
    std::map<std::size_t, read_result> results;  ///< By position.
  };
  void report(Promise promise, const std::string& what);
  void checkText(const std::string& job, const read_result& result);
  std::size_t runsOf(const std::string& request) const;

  int events_;
  std::map<std::string, request> requests_;
  std::map<std::string, std::vector<std::uint64_t>> runs_;  ///< Versions, by request or item.
  std::map<std::string, job> jobs_;
  std::size_t ended_ = 0;
  std::size_t items_ = 0;  ///< Results read, each position once.
  std::vector<std::string> violations_;
};

}  // namespace linenpier::soak
