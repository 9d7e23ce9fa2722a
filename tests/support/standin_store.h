#pragma once

/// @file
/// A stand-in of the platform's metadata store that speaks its published protocol on a socket, with
/// faults on order. Test code.

#include <map>
#include <string>

#include "common/random.h"
#include "gateway/http/server.h"

namespace linenpier::test {

/// What the store does wrong until told otherwise.
struct StoreFaults {
  bool refuse = false;          ///< 503: nothing is done.
  bool rate_limit = false;      ///< 429: nothing is done.
  bool nonsense = false;        ///< 200 with a body that is no JSON.
  int lose_writes = 0;          ///< So many writes are done and not answered.
  int delay_writes = 0;         ///< So many writes are not answered, and done a little later.
  bool forget_history = false;  ///< The next feed call gets 410.
  bool hang_feeds = false;      ///< Feeds tell nothing, other calls go on.
  bool silent = false;          ///< Nothing is answered.
  bool no_clock = false;        ///< Answers about rows do not tell the time.
};

class StandinStore {
 public:
  explicit StandinStore(boost::asio::io_context& loop);

  Address address() const { return server_.address(); }
  StoreFaults& faults() { return faults_; }

  /// Writes as the platform or its operator does.
  void put(const std::string& table, const std::string& key, const std::string& value);
  void remove(const std::string& table, const std::string& key);
  /// @return the row's value, or nothing.
  std::optional<std::string> get(const std::string& table, const std::string& key) const;
  std::vector<std::string> keys(const std::string& table) const;
  /// @return names of the objects that begin with `prefix`.
  std::vector<std::string> objectNames(const std::string& prefix) const;
  std::uint64_t writes() const { return writes_; }
  /// @return how often a feed of the table told of changes.
  int feedAnswers(const std::string& table) const {
    const auto at = feed_answers_.find(table);
    return at == feed_answers_.end() ? 0 : at->second;
  }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool gone = false;
  };
  using Key = std::pair<std::string, std::string>;  ///< Table and key.

  std::int64_t clockMs() const;
  Task<void> handle(http::Request& request, http::ResponseWriter& writer);
  Task<void> handleFeed(std::string target, http::ResponseWriter& writer);
  Task<void> reply(http::ResponseWriter& writer, unsigned status, std::string body);
  Task<void> hang(http::ResponseWriter& writer);
  std::string readRows(const std::string& target) const;
  /// @return the status, and the answer's body.
  std::pair<unsigned, std::string> transact(const std::string& body);
  std::string rowJson(const Key& key, const Row& row) const;
  std::uint64_t versionOf(const Key& key) const;

  boost::asio::io_context& loop_;
  Instant started_at_ = steadyNow();
  http::Server server_;
  Signal changed_;
  StoreFaults faults_;
  std::map<Key, Row> rows_;  ///< Removed rows stay, marked gone.
  std::map<std::string, std::string> objects_;
  std::map<std::string, int> feed_answers_;
  std::uint64_t version_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace linenpier::test
