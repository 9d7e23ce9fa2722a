#pragma once

/// @file
/// A stand-in for a sampler. Implements the platform's published protocol on a raw socket, so that
/// it can also violate it. Test code.

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

/// How the sampler handles a request.
enum class SamplerAct {
  kAnswer,         ///< According to the protocol.
  kShed,           ///< 503: not executed.
  kFail,           ///< 500 from the engine.
  kReject,         ///< 422 from the engine.
  kCutShort,       ///< Closes the connection in the middle of the response.
  kSurplusFirst,   ///< Sends a response to another request first.
  kExtraAfter,     ///< Sends a second response after a complete one.
  kNonsense,       ///< Bytes that are not HTTP.
  kUnframed,       ///< A response delimited by the end of its connection.
  kUnsigned,       ///< A 200 response without its signature.
  kSignedRefusal,  ///< Executes the request, then responds with a signed refusal status.
  kShedTwice,  ///< As kShed; sends the response again in place of the connection's next response.
  kClose,      ///< Closes without a response.
  kSilent,     ///< Never responds.
  kEndless,    ///< A response without end; see `EndlessPart`.
  kRaw,        ///< The bytes of `setRawResponse`; then closes the connection.
};

/// How the sampler handles a request whose body has not arrived with its header.
enum class UploadAct {
  kRead,   ///< Reads the body, then acts according to the script.
  kReset,  ///< Responds without a length with a part of the body, and resets the connection.
  kEnd,    ///< Responds without a length, ends the connection in order, and reads the body.
};

/// The part of a response that kEndless sends until the caller closes the connection.
enum class EndlessPart {
  kStatusLine,
  kHeaderField,
  kHeaderFields,
  kChunkExtension,
  kChunkedBody,
  kUnframedBody,
  kTrailer,
  kEvent,          ///< An event of a stream.
  kRejectionBody,  ///< The body of a 503 response that says that the request was not executed.
  kFailureBody,    ///< The body of a signed 500 response.
  kStaleBody,      ///< The body of a response to another request.
  kInformational,  ///< Responses with status 100.
};

/// Protocol violations that test whether a checker detects them.
enum class SamplerViolation {
  kNone,
  kWrongResponse,  ///< Complete and signed, but for another request.
  kFalseRefusal,   ///< Reports executed requests as not executed.
  kRepeatsEvents,  ///< Sends the text of an event again under the next number.
};

/// A request as received by the sampler.
struct SamplerArrival {
  std::string method;
  std::string target;
  std::string body;
  std::map<std::string, std::string> fields;  ///< Keys are in lower case.
  bool ran = false;                           ///< Neither shed nor addressed to another sampler.
  std::uint64_t version = 0;                  ///< Version of the weights on arrival.
  Instant at{};
};

/// Requests that crash the sampler that executes them.
struct FatalRequests {
  std::string mark;  ///< Substring of their bodies; empty: none.
  /// Delay from the start of execution to the crash.
  Duration after = std::chrono::milliseconds(20);
  /// Delay until the sampler restarts at the same address.
  Duration down = std::chrono::milliseconds(300);
};

class StandinSampler {
 public:
  /// @param events number of events of a streamed response; 0: responses are not streamed.
  /// @param port the port to listen on; 0: any.
  StandinSampler(boost::asio::io_context& loop, std::string id, int events, std::uint16_t port = 0);

  Address address() const;
  const std::string& id() const { return id_; }
  /// Actions for the next requests. Requests beyond them are handled according to the protocol.
  std::deque<SamplerAct>& script() { return script_; }
  const std::vector<SamplerArrival>& arrivals() const { return arrivals_; }
  /// @return the requests that arrived since the last call.
  std::vector<SamplerArrival> takeArrivals() { return std::exchange(arrivals_, {}); }
  const std::vector<std::string>& orders() const { return orders_; }
  std::uint64_t version() const { return version_; }
  /// Sets the zone of subsequent entries.
  void setZone(const std::string& zone) { zone_ = zone; }
  void setVersion(std::uint64_t version) { version_ = version; }
  /// Without checks it accepts orders of any holder.
  void setChecksFences(bool checks) { checks_fences_ = checks; }
  /// While busy it refuses orders.
  void setBusy(bool busy) { busy_ = busy; }
  void setEventGap(Duration gap) { event_gap_ = gap; }
  /// Delays the responses to requests whose path starts with `path`.
  void setSlow(const std::string& path, Duration delay) {
    slow_path_ = path;
    slow_delay_ = delay;
  }
  void setViolation(SamplerViolation violation) { violation_ = violation; }
  /// Sets the status of kSignedRefusal.
  void setRefusalStatus(unsigned status) { refusal_status_ = status; }
  /// Sets the endless part of kEndless.
  void setEndlessPart(EndlessPart part) { endless_part_ = part; }
  /// Sets the bytes of kRaw, by the id of the request.
  void setRawResponse(std::function<std::string(const std::string& id)> response) {
    raw_response_ = std::move(response);
  }
  /// @param status the status of responses that are sent during an upload.
  void setUploadAct(UploadAct act, unsigned status = 200) {
    upload_act_ = act;
    upload_status_ = status;
  }
  /// @return the largest number of bytes of an endless response that were sent before the caller
  /// closed the connection.
  std::size_t longestEndlessResponse() const { return longest_endless_; }
  void setFatal(FatalRequests fatal) { fatal_ = std::move(fatal); }
  /// Makes it keep its id on restarts; its entries and reports then contain its start time.
  void setKeepsId() { start_ = 1'700'000'000'000; }
  /// Sets a callback for crashes.
  void onCrash(std::function<void()> callback) { crash_callback_ = std::move(callback); }
  /// Sets a callback for restarts, which gets the previous id.
  void onRestart(std::function<void(const std::string& before)> callback) {
    restart_callback_ = std::move(callback);
  }
  /// Closes all connections and restarts after a delay.
  void crash();
  /// @return the number of crashes.
  int crashes() const { return crashes_; }
  /// Sets the address in its entries, such as that of a proxy.
  void setListedAddress(const Address& address) { listed_address_ = address; }
  /// Sets the remaining cold time in subsequent entries.
  void setColdFor(Duration cold) { cold_for_ = cold; }
  /// @return the number of requests whose connection was closed during execution.
  int dropped() const { return dropped_; }
  /// @return its entry in the discovery table.
  std::string entry(const std::string& service, const std::string& state = "ready") const;

 private:
  struct Connection;
  Task<void> acceptLoop();
  Task<void> restart(Address address);
  /// Executes a fatal request.
  Task<void> executeFatal(Connection& connection);
  Task<void> serve(std::shared_ptr<Connection> connection);
  Task<bool> answer(Connection& connection, SamplerArrival arrival, SamplerAct act);
  /// Responds to a request whose body is still arriving, and ends the connection.
  Task<void> answerDuringUpload(Connection& connection, SamplerArrival arrival);
  /// @return the next act of the script, which is removed from it.
  SamplerAct takeAct();
  Task<bool> stream(Connection& connection, const SamplerArrival& arrival, bool cut);
  Task<bool> write(Connection& connection, std::string bytes);
  /// Sends an endless response until the caller closes the connection, or a limit of this stand-in.
  Task<bool> sendEndless(Connection& connection, std::string id);
  std::string order(const std::string& body);
  std::string makeResponse(const std::string& id, unsigned status, const std::string& more,
                           const std::string& body) const;

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::string id_;
  int events_;
  std::string zone_ = "z";
  Duration event_gap_ = std::chrono::milliseconds(5);
  std::string slow_path_;  ///< Empty: no response is delayed.
  Duration slow_delay_{};
  Duration cold_for_{};
  std::deque<SamplerAct> script_;
  SamplerViolation violation_ = SamplerViolation::kNone;
  unsigned refusal_status_ = 503;
  EndlessPart endless_part_ = EndlessPart::kChunkedBody;
  std::size_t longest_endless_ = 0;
  std::function<std::string(const std::string&)> raw_response_;
  UploadAct upload_act_ = UploadAct::kRead;
  unsigned upload_status_ = 200;
  std::optional<Address> listed_address_;
  std::vector<SamplerArrival> arrivals_;
  std::vector<std::string> orders_;
  std::uint64_t version_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  bool checks_fences_ = true;
  bool busy_ = false;
  int dropped_ = 0;
  FatalRequests fatal_;
  std::function<void()> crash_callback_;
  std::function<void(const std::string&)> restart_callback_;
  std::vector<std::weak_ptr<Connection>> connections_;
  int crashes_ = 0;
  std::int64_t start_ = 0;  ///< Unix time in milliseconds; 0: not reported.
};

}  // namespace linenpier::test
