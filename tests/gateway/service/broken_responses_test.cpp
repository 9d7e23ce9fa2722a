/// @file
/// End-to-end tests of engines that send responses that are not valid HTTP: no caller gets such a
/// response, the engine counts as broken, and nothing that the response says is relied on.

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;
using test::SamplerAct;

namespace {

constexpr int kRequests = 12;

test::FixtureOptions oneEngine() {
  test::FixtureOptions options;
  options.lookup_samplers = 1;
  options.model_samplers = 1;
  return options;
}

test::FixtureOptions twoEngines() {
  test::FixtureOptions options;
  options.events = 4;
  return options;
}

/// Larger than what the buffers of a connection hold, so that the engine responds during the
/// upload.
constexpr std::size_t kUploadBytes = 12 * 1024 * 1024;
constexpr int kUploads = 4;

test::FixtureOptions largeUploads() {
  test::FixtureOptions options = oneEngine();
  options.max_body_bytes = 2 * kUploadBytes;
  return options;
}

http::Request uploadRequest(GatewayFixture& fixture, const std::string& id,
                            const std::string& path) {
  http::Request request = fixture.lookupRequest(id, path);
  request.set("Deadline-Ms", "5000");
  request.body().assign(kUploadBytes, 'u');
  request.prepare_payload();
  return request;
}

/// @return a response whose header consists of these lines and a request id, a signature and a
/// length; `more` follows the signature.
std::string rawResponse(const std::string& status_line, const std::string& id,
                        const std::string& more) {
  const std::string body = "answer to " + id;
  return status_line + "\r\nRequest-Id: " + id + "\r\nResponse-Signature: s-" + id + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Makes an engine send the raw response to all requests.
void sendRaw(test::StandinSampler& engine,
             std::function<std::string(const std::string& id)> response) {
  engine.setRawResponse(std::move(response));
  engine.script().assign(1000, SamplerAct::kRaw);
}

/// Makes an engine respond with the status line and, after the signature, the fields of `more`.
void sendStatus(test::StandinSampler& engine, const std::string& status, const std::string& more) {
  sendRaw(engine, [status, more](const std::string& id) {
    return rawResponse("HTTP/1.1 " + status + " Status", id, more);
  });
}

/// @return a stream of one event, with status 000.
std::string streamWithStatus000(const std::string& id) {
  const std::string event = "id: 1\ndata: broken\n\n";
  return "HTTP/1.1 000 Status\r\nRequest-Id: " + id + "\r\nResponse-Signature: s-" + id +
         "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nContent-Length: " +
         std::to_string(event.size()) + "\r\n\r\n" + event;
}

/// Asserts that a request to engines that send only broken responses gets the gateway's own 502.
Task<void> assertBadGateway(GatewayFixture& fixture, std::string path, std::string what) {
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("r", path));
  cr_expect(outcome.status == http::ExchangeStatus::kOk, "%s: %s", what.c_str(),
            http::toText(outcome.status));
  cr_expect_eq(outcome.response.result_int(), 502U, "%s: got %u", what.c_str(),
               outcome.response.result_int());
  const std::string signature = http::fieldText(outcome.response, "Response-Signature");
  cr_expect(signature.empty(), "%s: signed %s", what.c_str(), signature.c_str());
}

/// Sends requests of the path while one of the engines sends broken responses only.
/// @return how many got the body that a sound engine sends.
Task<int> countWhole(GatewayFixture& fixture, std::string path) {
  int whole = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto outcome = co_await fixture.call(0, fixture.lookupRequest(id, path));
    const bool sound = outcome.status == http::ExchangeStatus::kOk &&
                       outcome.response.result_int() == 200U &&
                       http::fieldText(outcome.response, "Response-Signature") == "s-" + id;
    if (sound) ++whole;
  }
  co_return whole;
}

}  // namespace

// Guards against a status that HTTP does not define and that reaches a caller.
GATEWAY_TEST(broken_responses, a_status_outside_100_to_599_is_not_forwarded, oneEngine()) {
  for (const char* status : {"000", "099", "600", "999"}) {
    sendStatus(fixture.lookup(0), status, "");
    co_await assertBadGateway(fixture, "/look/1", std::string("idempotent, ") + status);
    // Until the engine is used again.
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
    co_await assertBadGateway(fixture, "/once/1", std::string("not idempotent, ") + status);
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
  }
}

// Guards against a broken response that counts as a success of its engine.
GATEWAY_TEST(broken_responses, an_idempotent_request_with_status_000_is_served_elsewhere,
             twoEngines()) {
  sendStatus(fixture.lookup(0), "000", "");
  cr_expect_eq(co_await countWhole(fixture, "/look/1"), kRequests);
}

// Guards against a refusal that is not true: a broken response does not tell what was executed.
GATEWAY_TEST(broken_responses, not_executed_with_status_000_is_not_believed, oneEngine()) {
  sendStatus(fixture.lookup(0), "000", "Not-Executed: 1\r\n");
  co_await assertBadGateway(fixture, "/once/1", "000 with Not-Executed");
}

// Guards against a stream that begins with a broken response.
GATEWAY_TEST(broken_responses, a_stream_with_status_000_is_not_begun, twoEngines()) {
  sendRaw(fixture.model(0), streamWithStatus000);
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto outcome = co_await fixture.call(0, fixture.lookupRequest(id, "/talk/1"));
    cr_expect_eq(outcome.response.result_int(), 200U, "got %u", outcome.response.result_int());
    cr_expect_eq(outcome.response.body().find("broken"), std::string::npos);
  }
  cr_expect_gt(fixture.model(0).arrivals().size(), 0U);
}

// Guards against an item whose text is that of a broken response.
GATEWAY_TEST(broken_responses, an_item_with_status_000_runs_again, twoEngines()) {
  sendRaw(fixture.model(0), streamWithStatus000);
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", 8));
  cr_assert_eq(accepted.response.result_int(), 202U);
  const std::string results = co_await fixture.readAll(0, "job");
  cr_expect_eq(results.find("broken"), std::string::npos, "%s", results.c_str());
  cr_expect_eq(results.find("terminated"), std::string::npos, "%s", results.c_str());
  cr_expect_gt(fixture.model(0).arrivals().size(), 0U);
}

// Guards against the reset of an upload that makes a part of a body look like a whole one: the
// write gets the connection's error, and the read then sees an end in order.
GATEWAY_TEST(broken_responses, a_body_without_length_cut_by_a_reset_of_the_upload_is_not_forwarded,
             largeUploads()) {
  for (const unsigned status : {200U, 500U}) {
    fixture.lookup(0).setUploadAct(test::UploadAct::kReset, status);
    for (int i = 0; i < kUploads; ++i) {
      http::Request request = uploadRequest(fixture, "u" + std::to_string(i), "/once/1");
      const auto outcome = co_await fixture.call(0, std::move(request));
      cr_expect(outcome.status == http::ExchangeStatus::kOk, "%s", http::toText(outcome.status));
      cr_expect_eq(outcome.response.result_int(), 502U, "upload %d to an engine that sends %u: %u",
                   i, status, outcome.response.result_int());
      // Until the engine is used again.
      co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
    }
  }
  cr_expect_eq(fixture.lookup(0).arrivals().size(), 2U * kUploads);
}

// Guards against losing a response that a sound engine sends before it has read the whole upload.
GATEWAY_TEST(broken_responses, a_body_without_length_that_ends_in_order_during_the_upload_is_whole,
             largeUploads()) {
  fixture.lookup(0).setUploadAct(test::UploadAct::kEnd);
  for (int i = 0; i < kUploads; ++i) {
    const std::string id = "u" + std::to_string(i);
    const auto outcome = co_await fixture.call(0, uploadRequest(fixture, id, "/once/1"));
    cr_expect_eq(outcome.response.result_int(), 200U, "got %u", outcome.response.result_int());
    cr_expect_eq(outcome.response.body(), "answer to " + id);
    cr_expect_eq(http::fieldText(outcome.response, "Response-Signature"), "s-" + id);
  }
}

// Guards against a response in whose header the name of a field holds a blank or a control byte.
GATEWAY_TEST(broken_responses, a_field_name_with_a_blank_or_control_byte_is_not_forwarded,
             oneEngine()) {
  const std::string lines[] = {"X Odd: v\r\n", "X\x01Odd: v\r\n", "X-Odd : v\r\n", " X-Odd: v\r\n",
                               "\tX-Odd: v\r\n"};
  for (const std::string& line : lines) {
    sendRaw(fixture.lookup(0),
            [&line](const std::string& id) { return rawResponse("HTTP/1.1 200 OK", id, line); });
    co_await assertBadGateway(fixture, "/once/1", line);
    // Until the engine is used again.
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
  }
}

// Guards against a length that is taken for a part of the signature before it, so that what follows
// the body on the connection is taken for a part of the body.
GATEWAY_TEST(broken_responses, a_length_after_a_blank_does_not_change_signature_and_body,
             oneEngine()) {
  sendRaw(fixture.lookup(0), [](const std::string& id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s-" + id +
           "\r\n Content-Length: 6\r\n\r\nanswerbytes of another response";
  });
  co_await assertBadGateway(fixture, "/once/1", "length after a blank");
}

// Guards against a refusal that is not true: a response that is cut does not tell what was
// executed.
GATEWAY_TEST(broken_responses, not_executed_in_a_response_that_is_cut_is_not_believed,
             oneEngine()) {
  const std::string framings[] = {"Content-Length: 20\r\n\r\ncut",
                                  "Transfer-Encoding: chunked\r\n\r\n14\r\ncut"};
  for (const std::string status : {"503", "429", "421"}) {
    for (const std::string& framing : framings) {
      sendRaw(fixture.lookup(0), [&](const std::string& id) {
        return "HTTP/1.1 " + status + " Status\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\n" +
               framing;
      });
      co_await assertBadGateway(fixture, "/once/1", status + " with " + framing);
      // Until the engine is used again.
      co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
    }
  }
}

// Guards against a body in a coding for which the caller did not ask.
GATEWAY_TEST(broken_responses, a_content_coding_is_forwarded_only_if_requested, oneEngine()) {
  sendRaw(fixture.lookup(0), [](const std::string& id) {
    return rawResponse("HTTP/1.1 200 OK", id, "Content-Encoding: gzip\r\n");
  });
  co_await assertBadGateway(fixture, "/once/1", "gzip");
  // Until the engine is used again.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
  http::Request refusing = fixture.lookupRequest("refusing", "/once/1");
  refusing.set("Accept-Encoding", "identity, gzip;q=0");
  const auto refused = co_await fixture.call(0, std::move(refusing));
  cr_expect_eq(refused.response.result_int(), 502U, "got %u", refused.response.result_int());
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
  http::Request asking = fixture.lookupRequest("asking", "/once/1");
  asking.set("Accept-Encoding", "br, GZip;q=0.5");
  const auto outcome = co_await fixture.call(0, std::move(asking));
  cr_expect_eq(outcome.response.result_int(), 200U, "got %u", outcome.response.result_int());
  cr_expect_eq(http::fieldText(outcome.response, "Content-Encoding"), "gzip");
}

// Guards against a trailer that adds fields to the header, such as a second signature.
GATEWAY_TEST(broken_responses, the_fields_of_a_trailer_are_not_forwarded, oneEngine()) {
  sendRaw(fixture.lookup(0), [](const std::string& id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s-" + id +
           "\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n"
           "Response-Signature: another\r\nX-Odd: v\r\n\r\n";
  });
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("r", "/once/1"));
  cr_expect_eq(outcome.response.result_int(), 200U, "got %u", outcome.response.result_int());
  cr_expect_eq(outcome.response.body(), "answer");
  cr_expect_eq(outcome.response.count("Response-Signature"), 1U);
  cr_expect_eq(http::fieldText(outcome.response, "Response-Signature"), "s-r");
  cr_expect_eq(outcome.response.count("X-Odd"), 0U);
}
