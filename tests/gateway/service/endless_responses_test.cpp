/// @file
/// End-to-end tests of engines that send bytes without end: the gateway closes the connection,
/// holds the engine responsible, serves the requests elsewhere, and its memory stays flat.

#include <fstream>

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::EndlessPart;
using test::GatewayFixture;
using test::SamplerAct;

namespace {

/// A fifth of the memory of the smallest machine.
constexpr std::size_t kMaxGrowthKb = 24 * 1024;
/// Bytes that an engine may send before the gateway closes the connection: the largest response,
/// and what socket buffers hold.
constexpr std::size_t kMaxSentBytes = 16 * 1024 * 1024;
constexpr int kRequests = 24;

test::FixtureOptions threeEngines() {
  test::FixtureOptions options;
  options.lookup_samplers = 3;
  options.model_samplers = 3;
  options.events = 4;
  return options;
}

/// @return the largest memory that this process has used so far.
std::size_t peakMemoryKb() {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) return std::stoull(line.substr(6));
  }
  cr_assert(false, "no VmHWM");
  return 0;
}

void makeEndless(test::StandinSampler& engine, EndlessPart part) {
  engine.setEndlessPart(part);
  engine.script().assign(1000, SamplerAct::kEndless);
}

/// Checks the memory used since `before`, and that the engine's connections were closed.
void checkBounds(const test::StandinSampler& engine, std::size_t before) {
  const std::size_t growth = peakMemoryKb() - before;
  cr_expect_leq(growth, kMaxGrowthKb, "memory grew by %zu KB", growth);
  cr_expect_gt(engine.longestEndlessResponse(), 0U, "no endless response has ended");
  cr_expect_leq(engine.longestEndlessResponse(), kMaxSentBytes, "the engine could send %zu KB",
                engine.longestEndlessResponse() / 1024);
}

/// Sends concurrent requests of the path while one of three engines sends the part without end.
/// @return the number of successful responses.
Task<int> sendRequests(GatewayFixture& fixture, std::string path) {
  int ended = 0;
  int succeeded = 0;
  for (int i = 0; i < kRequests; ++i) {
    spawn(fixture.loop(), [&fixture, &ended, &succeeded, path, i]() -> Task<void> {
      http::Request request = fixture.lookupRequest("r" + std::to_string(i), path);
      request.set("Deadline-Ms", "3000");
      const auto outcome = co_await fixture.call(0, std::move(request));
      if (outcome.response.result_int() == 200) ++succeeded;
      ++ended;
    });
  }
  const bool all = co_await fixture.waitFor([&ended] { return ended == kRequests; });
  cr_assert(all, "%d of %d requests have ended", ended, kRequests);
  co_return succeeded;
}

Task<void> checkLookups(GatewayFixture& fixture, EndlessPart part) {
  const std::size_t before = peakMemoryKb();
  makeEndless(fixture.lookup(0), part);
  const int succeeded = co_await sendRequests(fixture, "/look/1");
  cr_expect_eq(succeeded, kRequests, "%d of %d lookups were answered", succeeded, kRequests);
  checkBounds(fixture.lookup(0), before);
}

}  // namespace

GATEWAY_TEST(endless_responses, a_status_line_without_end_is_cut, threeEngines()) {
  co_await checkLookups(fixture, EndlessPart::kStatusLine);
}

GATEWAY_TEST(endless_responses, a_header_field_without_end_is_cut, threeEngines()) {
  co_await checkLookups(fixture, EndlessPart::kHeaderField);
}

GATEWAY_TEST(endless_responses, header_fields_without_end_are_cut, threeEngines()) {
  co_await checkLookups(fixture, EndlessPart::kHeaderFields);
}

GATEWAY_TEST(endless_responses, informational_responses_without_end_are_cut, threeEngines()) {
  co_await checkLookups(fixture, EndlessPart::kInformational);
}

// Guards against a gateway that runs out of memory, because it keeps a chunk extension until its
// line ends.
GATEWAY_TEST(endless_responses, a_chunk_extension_without_end_is_cut, threeEngines()) {
  co_await checkLookups(fixture, EndlessPart::kChunkExtension);
}

// Guards against a gateway that runs out of memory, because many calls may each read a large body.
GATEWAY_TEST(endless_responses, a_chunked_body_without_end_is_cut, threeEngines()) {
  co_await checkLookups(fixture, EndlessPart::kChunkedBody);
}

GATEWAY_TEST(endless_responses, a_body_without_length_or_end_is_cut, threeEngines()) {
  co_await checkLookups(fixture, EndlessPart::kUnframedBody);
}

GATEWAY_TEST(endless_responses, trailer_fields_without_end_are_cut, threeEngines()) {
  co_await checkLookups(fixture, EndlessPart::kTrailer);
}

// Guards against bodies that are read only to be thrown away, for as long as the engine sends.
GATEWAY_TEST(endless_responses, the_body_of_a_rejection_without_end_is_cut, threeEngines()) {
  co_await checkLookups(fixture, EndlessPart::kRejectionBody);
}

GATEWAY_TEST(endless_responses, the_body_of_a_failure_without_end_is_cut, threeEngines()) {
  co_await checkLookups(fixture, EndlessPart::kFailureBody);
}

GATEWAY_TEST(endless_responses, the_body_of_another_response_without_end_is_cut, threeEngines()) {
  co_await checkLookups(fixture, EndlessPart::kStaleBody);
}

// Guards against a gateway that runs out of memory, because it keeps an event until its empty line.
GATEWAY_TEST(endless_responses, an_event_without_end_in_a_stream_is_cut, threeEngines()) {
  const std::size_t before = peakMemoryKb();
  makeEndless(fixture.model(0), EndlessPart::kEvent);
  const int succeeded = co_await sendRequests(fixture, "/talk/1");
  cr_expect_eq(succeeded, kRequests, "%d of %d streams were complete", succeeded, kRequests);
  checkBounds(fixture.model(0), before);
}

// Guards against the same in the run of an item.
GATEWAY_TEST(endless_responses, an_event_without_end_in_an_item_is_cut, threeEngines()) {
  const std::size_t before = peakMemoryKb();
  makeEndless(fixture.model(0), EndlessPart::kEvent);
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", kRequests));
  cr_assert_eq(accepted.response.result_int(), 202U);
  const std::string results = co_await fixture.readAll(0, "job");
  cr_expect_eq(results.find("terminated"), std::string::npos);
  checkBounds(fixture.model(0), before);
}

// Guards against an item that waits for the end of a body that is only thrown away.
GATEWAY_TEST(endless_responses, the_body_of_a_failed_item_without_end_is_cut, threeEngines()) {
  const std::size_t before = peakMemoryKb();
  makeEndless(fixture.model(0), EndlessPart::kFailureBody);
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", kRequests));
  cr_assert_eq(accepted.response.result_int(), 202U);
  const std::string results = co_await fixture.readAll(0, "job");
  cr_expect_eq(results.find("terminated"), std::string::npos,
               "a response without end counted as a failure of the item");
  checkBounds(fixture.model(0), before);
}
