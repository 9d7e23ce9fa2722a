#pragma once

/// @file
/// A stand-in for the platform's metadata store. Implements its published protocol on a socket,
/// with fault injection. Test code.

#include <deque>
#include <map>
#include <string>

#include "common/random.h"
#include "gateway/http/server.h"

namespace linenpier::test {

/// A store under load. Percentages are shares of the calls, drawn by `StandinStore::setSeed`.
struct StoreOverload {
  /// Time of one write. Writes are served one after another. 0: no queue.
  Duration write_time{};
  /// 429 without any effect for writes that would wait longer.
  Duration max_wait = std::chrono::seconds(1);
  Duration read_time{};             ///< Time of one read; reads are served side by side.
  std::uint64_t lost_percent = 0;   ///< Calls that get no response.
  Duration min_late{};              ///< Minimum delay of the execution of a lost write.
  Duration max_late{};              ///< Maximum of that delay.
  std::uint64_t reset_percent = 0;  ///< Calls without any effect whose connection is reset.
  Duration latency{};               ///< Delay of each call; calls do not wait for each other.
};

/// Active faults of the store.
struct StoreFaults {
  bool refuse = false;          ///< 503 without any effect.
  bool rate_limit = false;      ///< 429 without any effect.
  bool nonsense = false;        ///< 200 with a body that is not JSON.
  int lose_writes = 0;          ///< Number of writes to execute without a response.
  int delay_writes = 0;         ///< Number of writes to execute later, without a response.
  bool forget_history = false;  ///< 410 for the next feed call.
  bool hang_feeds = false;      ///< No feed responses; other calls work.
  bool silent = false;          ///< No responses.
  bool no_clock = false;        ///< Row responses without the store's time.
  StoreOverload overload = {};
};

/// What the store does with one write.
enum class StoreAct {
  kAnswer,
  kRefuse,            ///< 503 without any effect.
  kRateLimit,         ///< 429 without any effect.
  kBreakExecuted,     ///< Executes the write and resets the connection without a response.
  kBreakExecuteLate,  ///< Resets the connection and executes the write later.
  kGarble,            ///< Executes the write and responds with a body that is not JSON.
  kHangExecuteLate,   ///< Executes the write later and never responds.
  kAnswerLate,        ///< Executes the write later and responds then.
};

/// Acts for the next writes that put a row whose "TABLE/KEY" starts with `prefix`. Other calls are
/// not affected.
struct WriteScript {
  std::string prefix;
  std::deque<StoreAct> acts = {};
  Duration delay = std::chrono::milliseconds(400);  ///< Delay of writes that are executed late.
  /// Writes that also put a row with this prefix are not affected; empty: all may be.
  std::string except = {};
};

class StandinStore {
 public:
  explicit StandinStore(boost::asio::io_context& loop);

  Address address() const { return server_.address(); }
  StoreFaults& faults() { return faults_; }
  /// Seeds the draws of `StoreOverload`.
  void setSeed(std::uint64_t seed) { random_ = Random(seed); }
  void setScript(WriteScript script) { script_ = std::move(script); }
  /// @return counts of what the overload did, for the summary of a soak.
  std::uint64_t rateLimited() const { return rate_limited_; }
  std::uint64_t executedLate() const { return executed_late_; }
  /// @return the number of acts that no write has taken yet.
  std::size_t actsLeft() const { return script_.acts.size(); }
  /// @return the key of the row for which the last write took an act.
  const std::string& lastScriptedKey() const { return last_scripted_key_; }

  /// Writes like the platform or its operator.
  void put(const std::string& table, const std::string& key, const std::string& value);
  void remove(const std::string& table, const std::string& key);
  /// @return the row's value, or nothing.
  std::optional<std::string> get(const std::string& table, const std::string& key) const;
  std::vector<std::string> keys(const std::string& table) const;
  /// @return names of the objects that start with `prefix`.
  std::vector<std::string> objectNames(const std::string& prefix) const;
  std::uint64_t writes() const { return writes_; }
  /// @return the number of feed responses with changes of the table.
  int feedAnswers(const std::string& table) const {
    const auto at = feed_answers_.find(table);
    return at == feed_answers_.end() ? 0 : at->second;
  }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  using Key = std::pair<std::string, std::string>;  ///< Table and row key.

  std::int64_t clockMs() const;
  Task<void> handle(http::Request& request, http::ResponseWriter& writer);
  Task<void> handleFeed(std::string target, http::ResponseWriter& writer);
  Task<void> reply(http::ResponseWriter& writer, unsigned status, std::string body);
  Task<void> hang(http::ResponseWriter& writer);
  std::string readRows(const std::string& target) const;
  /// @return the status and body of the response.
  std::pair<unsigned, std::string> transact(const std::string& body);
  /// @return whether the overload left the call without a response.
  Task<bool> loseCall(bool write, const std::string& body, http::ResponseWriter& writer);
  /// Waits for the turn of a write. @return false if too many are waiting.
  Task<bool> waitForTurn();
  Task<void> handleCall(http::Request& request, http::ResponseWriter& writer);
  void transactLater(const std::string& body, Duration delay);
  Task<void> handleWrite(const std::string& body, http::ResponseWriter& writer);
  /// @return the script's act for the write.
  StoreAct takeAct(const std::string& body);
  Task<void> carryOut(StoreAct act, const std::string& body, http::ResponseWriter& writer);
  std::string rowJson(const Key& key, const Row& row) const;
  std::uint64_t versionOf(const Key& key) const;

  boost::asio::io_context& loop_;
  Instant started_at_ = steadyNow();
  http::Server server_;
  Signal change_signal_;
  StoreFaults faults_;
  WriteScript script_;
  std::string last_scripted_key_;
  std::map<Key, Row> rows_;  ///< Includes removed rows, which are marked.
  std::map<std::string, std::string> objects_;
  std::map<std::string, int> feed_answers_;
  std::uint64_t version_ = 0;
  std::uint64_t writes_ = 0;
  Random random_{1};
  Instant queue_end_{};  ///< When the last write in the queue is served.
  std::uint64_t rate_limited_ = 0;
  std::uint64_t executed_late_ = 0;
};

}  // namespace linenpier::test
