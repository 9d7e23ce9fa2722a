#include "daemon/wire/frame_codec.h"

#include <criterion/criterion.h>

using namespace linenpier;
using wire::FrameError;

namespace {

const wire::FrameCodec kCodec("a secret of the fleet");

std::string frameOf(wire::Message message) {
  return kCodec.encode({DaemonId("d-1"), std::move(message)}).value();
}

wire::SampleResult someResult() {
  wire::SampleResult result;
  result.sample = {{TenantId("firm"), TrainerId("wording"), 7}, 3, 1};
  result.ok = true;
  result.text = "text";
  result.pieces = {{4, 10}, {5, 2}};
  return result;
}

}  // namespace

Test(frame_codec, a_message_comes_back_as_it_was_sent) {
  const auto envelope = kCodec.decode(frameOf(someResult()));
  cr_assert(envelope.has_value());
  cr_assert(envelope->from == DaemonId("d-1"));
  const auto& result = std::get<wire::SampleResult>(envelope->message);
  cr_assert(result.sample == someResult().sample);
  cr_assert_eq(result.pieces.size(), 2U);
  cr_assert(result.pieces[1] == someResult().pieces[1]);
}

Test(frame_codec, every_truncation_is_refused) {
  const std::string frame = frameOf(someResult());
  for (std::size_t length = 0; length < frame.size(); ++length) {
    const auto decoded = kCodec.decode(frame.substr(0, length));
    cr_assert_not(decoded.has_value());
    cr_assert(decoded.error() == FrameError::kTruncated);
  }
}

Test(frame_codec, every_changed_byte_is_refused) {
  const std::string frame = frameOf(someResult());
  for (std::size_t position = 0; position < frame.size(); ++position) {
    std::string changed = frame;
    changed[position] = static_cast<char>(changed[position] ^ 1);
    cr_assert_not(kCodec.decode(changed).has_value(), "byte %zu", position);
  }
}

Test(frame_codec, another_fleets_frame_is_forged) {
  const wire::FrameCodec other("another fleet's secret");
  const auto frame = other.encode({DaemonId("d-1"), wire::ConfigRequest{1}});
  cr_assert(kCodec.decode(*frame).error() == FrameError::kForged);
}

Test(frame_codec, a_message_over_the_bound_is_not_sent) {
  wire::SampleResult result = someResult();
  result.text.assign(wire::kMaxFrameBytes, 'x');
  cr_assert(kCodec.encode({DaemonId("d"), result}).error() == FrameError::kTooLarge);
  cr_assert(kCodec.decode(std::string(wire::kMaxFrameBytes + 1, 'x')).error() ==
            FrameError::kTooLarge);
}
