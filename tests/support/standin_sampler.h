#pragma once

/// @file
/// A stand-in of one sampler that speaks the platform's published protocol on a raw socket, so that
/// it can also break it. Test code.

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/address.h"
#include "common/task.h"
#include "gateway/http/http_types.h"

namespace linenpier::test {

/// How the sampler answers its next requests.
enum class SamplerAct {
  kAnswer,        ///< As it should.
  kShed,          ///< 503: not executed.
  kFail,          ///< Its own 500.
  kReject,        ///< Its own 422.
  kCutShort,      ///< Closes in the middle of the answer.
  kSurplusFirst,  ///< An answer to another request comes first.
  kExtraAfter,    ///< A second answer follows a whole one.
  kNonsense,      ///< Bytes that are no answer.
  kUnframed,      ///< An answer without length that ends with its connection.
  kUnsigned,      ///< A success without its signature.
  kClose,         ///< Closes without an answer.
  kSilent,        ///< Says nothing.
};

/// What the sampler does against its protocol, so that checkers can show that they see it.
enum class SamplerLie {
  kNone,
  kOtherAnswer,    ///< Whole and signed, but made for somebody else.
  kRefusesRun,     ///< Says of what it ran that it did not run it.
  kRepeatsEvents,  ///< The text of an event stands under the next one's number.
};

/// A request as the sampler got it.
struct SamplerArrival {
  std::string method;
  std::string target;
  std::string body;
  std::map<std::string, std::string> fields;  ///< Names in lower case.
  bool ran = false;                           ///< Neither shed nor meant for another sampler.
  std::uint64_t version = 0;                  ///< Weights when it came.
  Instant at{};
};

/// Requests that end the sampler that begins to run them.
struct FatalRequests {
  std::string mark;                                ///< In their bodies; empty: there are none.
  Duration after = std::chrono::milliseconds(20);  ///< From the begin of such a run.
  /// Until the sampler is back, as another incarnation at the same address.
  Duration down = std::chrono::milliseconds(300);
};

class StandinSampler {
 public:
  /// @param events of a streamed answer; 0: answers are plain.
  StandinSampler(boost::asio::io_context& loop, std::string id, int events);

  Address address() const;
  const std::string& id() const { return id_; }
  /// What the next requests get; when used up, they are answered as they should.
  std::deque<SamplerAct>& script() { return script_; }
  const std::vector<SamplerArrival>& arrivals() const { return arrivals_; }
  /// @return what arrived since the last time.
  std::vector<SamplerArrival> takeArrivals() { return std::exchange(arrivals_, {}); }
  const std::vector<std::string>& orders() const { return orders_; }
  std::uint64_t version() const { return version_; }
  /// Of its entries from now on.
  void setZone(const std::string& zone) { zone_ = zone; }
  void setVersion(std::uint64_t version) { version_ = version; }
  /// Without checks it obeys orders of any holder.
  void setChecksFences(bool checks) { checks_fences_ = checks; }
  /// An order is under way: it takes no other one.
  void setBusy(bool busy) { busy_ = busy; }
  void setEventGap(Duration gap) { event_gap_ = gap; }
  void setLie(SamplerLie lie) { lie_ = lie; }
  void setFatal(FatalRequests fatal) { fatal_ = std::move(fatal); }
  /// It starts again under the id that it has; its entries and reports tell when it started.
  void setKeepsId() { start_ = 1'700'000'000'000; }
  /// Told when the sampler ends.
  void onEnd(std::function<void()> told) { ended_ = std::move(told); }
  /// Told when the sampler is back, with the id that it had.
  void onRestart(std::function<void(const std::string& before)> told) {
    restarted_ = std::move(told);
  }
  /// Ends, which breaks all its connections off, and comes back a while later.
  void crash();
  /// How often it has ended.
  int ends() const { return ends_; }
  /// Entries name this address in place of its own, as where a proxy stands before it.
  void setListedAddress(const Address& address) { listed_ = address; }
  /// How much longer it is cold, as its entry says from now on.
  void setColdFor(Duration cold) { cold_for_ = cold; }
  /// Requests whose connection was closed while they were worked on.
  int dropped() const { return dropped_; }
  /// @return the entry under which discovery lists it.
  std::string entry(const std::string& service, const std::string& state = "ready") const;

 private:
  struct Connection;
  Task<void> acceptLoop();
  Task<void> comeBack(Address address);
  /// Runs a request that is fatal.
  Task<void> runFatal(Connection& connection);
  Task<void> serve(std::shared_ptr<Connection> connection);
  Task<bool> answer(Connection& connection, SamplerArrival arrival, SamplerAct act);
  Task<bool> stream(Connection& connection, const SamplerArrival& arrival, bool cut);
  Task<bool> write(Connection& connection, std::string bytes);
  std::string order(const std::string& body);
  std::string plain(const std::string& id, unsigned status, const std::string& more,
                    const std::string& body) const;

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::string id_;
  int events_;
  std::string zone_ = "z";
  Duration event_gap_ = std::chrono::milliseconds(5);
  Duration cold_for_{};
  std::deque<SamplerAct> script_;
  SamplerLie lie_ = SamplerLie::kNone;
  std::optional<Address> listed_;
  std::vector<SamplerArrival> arrivals_;
  std::vector<std::string> orders_;
  std::uint64_t version_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  bool checks_fences_ = true;
  bool busy_ = false;
  int dropped_ = 0;
  FatalRequests fatal_;
  std::function<void()> ended_;
  std::function<void(const std::string&)> restarted_;
  std::vector<std::weak_ptr<Connection>> connections_;
  int ends_ = 0;
  std::int64_t start_ = 0;  ///< Unix time in milliseconds; 0: not told.
};

}  // namespace linenpier::test
