#pragma once

/// @file
/// Turns messages into authenticated frames and back.
///
/// Layout: 4 bytes "LNP1", 4 bytes payload length (little endian), 16 bytes of HMAC-SHA256 over the
/// payload under the fleet's shared secret, then the payload: a Boost binary archive without its
/// header, holding the sender, the message's index in `Message`, and the message.

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "daemon/wire/messages.h"

namespace linenpier::wire {

/// The largest frame sent or accepted, in bytes.
constexpr std::size_t kMaxFrameBytes = 48 * 1024;
constexpr std::size_t kFrameHeaderBytes = 24;

enum class FrameError {
  kTooLarge,   ///< Over kMaxFrameBytes.
  kTruncated,  ///< Shorter than its header says.
  kBadMagic,   ///< Not one of our frames.
  kForged,     ///< The authentication code does not match.
  kMalformed,  ///< Authentic, but the payload cannot be read.
};

/// @return a short name for logs and metrics.
const char* frameErrorName(FrameError error);

/// Encodes and decodes frames under one shared secret. Immutable, so safe from any thread.
class FrameCodec {
 public:
  explicit FrameCodec(std::string secret) : secret_(std::move(secret)) {}

  /// @return the frame, or kTooLarge.
  tl::expected<std::string, FrameError> encode(const Envelope& envelope) const;
  /// @param frame one datagram as received; may be hostile.
  /// @return the message with its sender, or why the frame is refused.
  tl::expected<Envelope, FrameError> decode(std::string_view frame) const;

 private:
  std::string secret_;  ///< The fleet's shared key.
};

}  // namespace linenpier::wire
