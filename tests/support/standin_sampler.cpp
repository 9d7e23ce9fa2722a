#include "support/standin_sampler.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "support/listen_again.h"

namespace linenpier::test {

namespace asio = boost::asio;
using nlohmann::json;
using tcp = asio::ip::tcp;

struct StandinSampler::Connection {
  explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::string surplus;  ///< Response that is sent once more when the next request has arrived.

  bool clientDisconnected() {
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
};

StandinSampler::StandinSampler(asio::io_context& loop, std::string id, int events,
                               std::uint16_t port)
    : loop_(loop),
      acceptor_(loop, tcp::endpoint(asio::ip::address_v4::loopback(), port)),
      id_(std::move(id)),
      events_(events) {
  spawn(loop_, [this] { return acceptLoop(); });
}

Address StandinSampler::address() const {
  return {0x7f000001, acceptor_.local_endpoint().port()};
}

std::string StandinSampler::entry(const std::string& service, const std::string& state) const {
  json document = {{"service", service},
                   {"address", toString(listed_address_ ? *listed_address_ : address())},
                   {"zone", zone_},
                   {"slots", 8},
                   {"state", state},
                   {"coldRemainingMs", toSeconds(cold_for_) * 1000},
                   {"models", json::array({{{"name", "m"}, {"version", version_}}})}};
  if (start_ != 0) document["born"] = start_;
  return document.dump();
}

Task<void> StandinSampler::acceptLoop() {
  for (;;) {
    tcp::socket socket(loop_);
    boost::system::error_code error;
    co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    const auto connection = std::make_shared<Connection>(std::move(socket));
    std::erase_if(connections_, [](const auto& each) { return each.expired(); });
    connections_.push_back(connection);
    spawn(loop_, [this, connection] { return serve(connection); });
  }
}

void StandinSampler::crash() {
  if (!acceptor_.is_open()) return;  // It has crashed already.
  const Address address = this->address();
  ++crashes_;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& each : connections_) {
    if (const auto connection = each.lock()) connection->socket.close(ignored);
  }
  connections_.clear();
  if (crash_callback_) crash_callback_();
  spawn(loop_, [this, address] { return restart(address); });
}

Task<void> StandinSampler::restart(Address address) {
  co_await sleepFor(loop_, fatal_.down);
  listenAgain(acceptor_, address.port);
  const std::string before = id_;
  if (start_ != 0) {
    start_ += 1 + std::chrono::duration_cast<std::chrono::milliseconds>(fatal_.down).count();
    sequence_ = 0;
    fence_ = 0;
  } else {
    id_ = before.substr(0, before.find('+')) + "+" + std::to_string(crashes_);
  }
  spawn(loop_, [this] { return acceptLoop(); });
  if (restart_callback_) restart_callback_(before);
}

Task<void> StandinSampler::executeFatal(Connection& connection) {
  const int before = crashes_;
  co_await sleepFor(loop_, fatal_.after);
  if (crashes_ != before) co_return;
  if (connection.clientDisconnected()) {
    ++dropped_;
    co_return;
  }
  crash();
}

Task<bool> StandinSampler::write(Connection& connection, std::string bytes) {
  boost::system::error_code error;
  co_await asio::async_write(connection.socket, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

namespace {

/// An endless response: its first bytes, and the bytes that are repeated.
struct endless_response {
  std::string begin;
  std::string repeated;
};

constexpr std::size_t kBlockBytes = 64 * 1024;
/// Time in which the caller fills the buffers of its connection.
constexpr Duration kTimeBeforeReset = std::chrono::milliseconds(50);
/// Ends an endless response that no caller closes.
constexpr std::size_t kMaxEndlessBytes = 300 * 1024 * 1024;

std::string chunkOf(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string repeat(const std::string& text) {
  std::string block;
  while (block.size() < kBlockBytes) block += text;
  return block;
}

endless_response makeEndless(EndlessPart part, const std::string& id) {
  const auto head = [](unsigned status, const std::string& request_id, const std::string& more) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nRequest-Id: " + request_id + "\r\n" +
           more;
  };
  const std::string signature = "Response-Signature: s-" + id + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string bytes = repeat("x");
  switch (part) {
    case EndlessPart::kStatusLine:
      return {"HTTP/1.1 200 ", bytes};
    case EndlessPart::kHeaderField:
      return {head(200, id, "X-Long: "), bytes};
    case EndlessPart::kHeaderFields:
      return {head(200, id, ""), repeat("X-More: y\r\n")};
    case EndlessPart::kChunkExtension:
      return {head(200, id, signature + chunked) + "5;", bytes};
    case EndlessPart::kChunkedBody:
      return {head(200, id, signature + chunked), chunkOf(bytes)};
    case EndlessPart::kUnframedBody:
      return {head(200, id, signature + "\r\n"), bytes};
    case EndlessPart::kTrailer:
      return {head(200, id, signature + chunked) + chunkOf("x") + "0\r\n", repeat("X-More: y\r\n")};
    case EndlessPart::kEvent:
      return {head(200, id, signature + "Content-Type: text/event-stream\r\n" + chunked) +
                  chunkOf("id: 1\ndata: "),
              chunkOf(bytes)};
    case EndlessPart::kRejectionBody:
      return {head(503, id, "Not-Executed: 1\r\n" + chunked), chunkOf(bytes)};
    case EndlessPart::kFailureBody:
      return {head(500, id, signature + chunked), chunkOf(bytes)};
    case EndlessPart::kStaleBody:
      return {head(200, "someone-else", signature + chunked), chunkOf(bytes)};
    case EndlessPart::kInformational:
      return {"", repeat("HTTP/1.1 100 Continue\r\n\r\n")};
  }
  return {};
}

}  // namespace

Task<bool> StandinSampler::sendEndless(Connection& connection, std::string id) {
  const endless_response response = makeEndless(endless_part_, id);
  std::size_t sent = response.begin.size();
  std::string begin = response.begin;
  bool open = co_await write(connection, std::move(begin));
  while (open && sent < kMaxEndlessBytes) {
    std::string block = response.repeated;
    sent += block.size();
    open = co_await write(connection, std::move(block));
  }
  longest_endless_ = std::max(longest_endless_, sent);
  co_return false;
}

SamplerAct StandinSampler::takeAct() {
  if (script_.empty()) return SamplerAct::kAnswer;
  const SamplerAct act = script_.front();
  script_.pop_front();
  return act;
}

namespace {

SamplerArrival makeArrival(const http::Request& request) {
  SamplerArrival arrival;
  arrival.method = std::string(request.method_string());
  arrival.target = std::string(request.target());
  arrival.body = request.body();
  for (const auto& field : request) {
    arrival.fields[boost::to_lower_copy(std::string(field.name_string()))] =
        std::string(field.value());
  }
  return arrival;
}

}  // namespace

Task<void> StandinSampler::answerDuringUpload(Connection& connection, SamplerArrival arrival) {
  const std::string id = arrival.fields["request-id"];
  arrival.ran = true;
  arrival.at = steadyNow();
  arrivals_.push_back(std::move(arrival));
  const bool reset = upload_act_ == UploadAct::kReset;
  const std::string body = "answer to " + id;
  std::string bytes = "HTTP/1.1 " + std::to_string(upload_status_) +
                      " Status\r\nRequest-Id: " + id + "\r\nResponse-Signature: s-" + id +
                      "\r\n\r\n" + body.substr(0, reset ? body.size() / 2 : body.size());
  co_await write(connection, std::move(bytes));
  boost::system::error_code error;
  if (reset) {
    co_await sleepFor(loop_, kTimeBeforeReset);
    connection.socket.set_option(asio::socket_base::linger(true, 0), error);
    connection.socket.close(error);
    co_return;
  }
  connection.socket.shutdown(tcp::socket::shutdown_send, error);
  while (!error) {
    connection.buffer.clear();
    co_await connection.socket.async_read_some(connection.buffer.prepare(kBlockBytes),
                                               asio::redirect_error(asio::use_awaitable, error));
  }
}

Task<void> StandinSampler::serve(std::shared_ptr<Connection> connection) {
  for (;;) {
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    boost::system::error_code error;
    co_await boost::beast::http::async_read_header(
        connection->socket, connection->buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    const bool uploading =
        parser.content_length_remaining().value_or(0) > connection->buffer.size();
    if (uploading && upload_act_ != UploadAct::kRead) {
      co_await answerDuringUpload(*connection, makeArrival(parser.get()));
      co_return;
    }
    if (!parser.is_done()) {
      co_await boost::beast::http::async_read(connection->socket, connection->buffer, parser,
                                              asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) co_return;
    SamplerArrival arrival = makeArrival(parser.get());
    bool keep_open = true;
    if (arrival.target == "/linenpier/order") {
      std::string answer_text = order(arrival.body);
      keep_open = co_await write(*connection, std::move(answer_text));
    } else if (arrival.target == "/linenpier/report") {
      json report = {{"busy", busy_}, {"seq", sequence_}, {"running", 0}, {"waiting", 0}};
      if (start_ != 0) report["born"] = start_;
      std::string text = makeResponse("", 200, "", report.dump());
      keep_open = co_await write(*connection, std::move(text));
    } else {
      const SamplerAct act = takeAct();
      const bool endless_rejection =
          act == SamplerAct::kEndless && endless_part_ == EndlessPart::kRejectionBody;
      const bool shed =
          act == SamplerAct::kShed || act == SamplerAct::kShedTwice || endless_rejection;
      arrival.ran = !shed && arrival.fields["target-instance"] == id_;
      arrival.at = steadyNow();
      arrival.version = version_;
      arrivals_.push_back(arrival);
      if (!connection->surplus.empty()) {
        std::string surplus = std::exchange(connection->surplus, {});
        if (!co_await write(*connection, std::move(surplus))) co_return;
      }
      const bool fatal = arrival.ran && !fatal_.mark.empty() &&
                         arrival.body.find(fatal_.mark) != std::string::npos;
      if (fatal) {
        co_await executeFatal(*connection);
        co_return;
      }
      keep_open = co_await answer(*connection, std::move(arrival), act);
    }
    if (!keep_open) co_return;
  }
}

std::string StandinSampler::makeResponse(const std::string& id, unsigned status,
                                         const std::string& more, const std::string& body) const {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\nRequest-Id: " + id +
         "\r\nInstance-Load: 1,0,8\r\n" + more + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string StandinSampler::order(const std::string& body) {
  const json document = json::parse(body);
  const auto fence = document["fence"].get<std::uint64_t>();
  if (checks_fences_ && fence < fence_) return makeResponse("", 412, "", "");
  fence_ = fence;
  if (busy_) return makeResponse("", 409, "", "");
  if (document.contains("expected") && document["expected"].get<std::uint64_t>() != sequence_) {
    return makeResponse("", 409, "", "");
  }
  ++sequence_;
  orders_.push_back(body);
  version_ = document["version"].get<std::uint64_t>();
  return makeResponse("", 202, "", "");
}

Task<bool> StandinSampler::answer(Connection& connection, SamplerArrival arrival, SamplerAct act) {
  const std::string id = arrival.fields["request-id"];
  const std::string signature = "Response-Signature: s-" + id + "\r\n";
  if (arrival.fields["target-instance"] != id_) {
    std::string misdirected = makeResponse(id, 421, "Instance-Id: " + id_ + "\r\n", "");
    if (act == SamplerAct::kShedTwice) connection.surplus = misdirected;
    co_return co_await write(connection, std::move(misdirected));
  }
  const std::string body =
      "answer to " + (violation_ == SamplerViolation::kWrongResponse ? "somebody" : id);
  if (violation_ == SamplerViolation::kFalseRefusal) {
    std::string refusal = makeResponse(id, 503, "Not-Executed: 1\r\n", "");
    co_return co_await write(connection, std::move(refusal));
  }
  std::string bytes;
  bool keep_open = true;
  switch (act) {
    case SamplerAct::kAnswer:
      if (events_ > 0) co_return co_await stream(connection, arrival, false);
      if (!slow_path_.empty() && arrival.target.starts_with(slow_path_))
        co_await sleepFor(loop_, slow_delay_);
      bytes = makeResponse(id, 200, signature, body);
      break;
    case SamplerAct::kShed:
      bytes = makeResponse(id, 503, "Not-Executed: 1\r\n", "");
      break;
    case SamplerAct::kShedTwice:
      bytes = makeResponse(id, 503, "Not-Executed: 1\r\n", "");
      connection.surplus = bytes;
      break;
    case SamplerAct::kSignedRefusal:
      bytes = makeResponse(id, refusal_status_, signature, "failed");
      break;
    case SamplerAct::kFail:
      bytes = makeResponse(id, 500, signature, "failed");
      break;
    case SamplerAct::kReject:
      bytes = makeResponse(id, 422, signature, "never");
      break;
    case SamplerAct::kCutShort:
      if (events_ > 0) co_return co_await stream(connection, arrival, true);
      bytes = makeResponse(id, 200, signature, body);
      bytes.resize(bytes.size() - 3);
      keep_open = false;
      break;
    case SamplerAct::kSurplusFirst:
      bytes = makeResponse("someone-else", 200, signature, "not yours") +
              makeResponse(id, 200, signature, body);
      break;
    case SamplerAct::kExtraAfter:
      bytes = makeResponse(id, 200, signature, body) + makeResponse(id, 200, signature, "again");
      break;
    case SamplerAct::kNonsense:
      bytes = "what is this?\r\n\r\n";
      keep_open = false;
      break;
    case SamplerAct::kUnframed:
      bytes = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + signature + "\r\n" + body;
      keep_open = false;
      break;
    case SamplerAct::kUnsigned:
      bytes = makeResponse(id, 200, "", body);
      break;
    case SamplerAct::kRaw:
      bytes = raw_response_(id);
      keep_open = false;
      break;
    case SamplerAct::kClose:
      co_return false;
    case SamplerAct::kEndless:
      co_return co_await sendEndless(connection, id);
    case SamplerAct::kSilent:
      while (!connection.clientDisconnected())
        co_await sleepFor(loop_, std::chrono::milliseconds(10));
      ++dropped_;
      co_return false;
  }
  const bool written = co_await write(connection, std::move(bytes));
  co_return written&& keep_open;
}

Task<bool> StandinSampler::stream(Connection& connection, const SamplerArrival& arrival, bool cut) {
  const auto field = [&arrival](const std::string& name) {
    const auto at = arrival.fields.find(name);
    return at == arrival.fields.end() ? std::string() : at->second;
  };
  const std::string id = field("request-id");
  const std::string resumed = field("last-event-id");
  int event = resumed.empty() ? 0 : std::stoi(resumed);
  std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s-" + id +
                     "\r\nWeight-Versions: " + std::to_string(version_) +
                     "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  if (!co_await write(connection, std::move(head))) co_return false;
  const int stop_after = cut ? (event + events_) / 2 : events_;
  while (event < stop_after) {
    co_await sleepFor(loop_, event_gap_);
    ++event;
    const int sent_number =
        violation_ == SamplerViolation::kRepeatsEvents ? std::max(1, event - 1) : event;
    const std::string text = "id: " + std::to_string(event) + "\ndata: " + id + "." +
                             std::to_string(sent_number) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    std::string chunk = size + text + "\r\n";
    if (connection.clientDisconnected() || !co_await write(connection, std::move(chunk))) {
      ++dropped_;
      co_return false;
    }
  }
  if (cut) {
    std::string half = "9\r\nid: 99\nda\r\n";
    co_await write(connection, std::move(half));
    co_return false;
  }
  std::string end = "0\r\n\r\n";
  co_return co_await write(connection, std::move(end));
}

}  // namespace linenpier::test
