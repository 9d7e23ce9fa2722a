#include "daemon/wire/frame_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <boost/archive/binary_iarchive.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/device/back_inserter.hpp>
#include <boost/iostreams/stream.hpp>
#include <cstring>
#include <exception>

namespace linenpier::wire {

namespace {

constexpr std::array<char, 4> kMagic = {'L', 'N', 'P', '1'};
constexpr std::size_t kCodeBytes = 16;
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kCodeOffset = 8;

using Code = std::array<unsigned char, kCodeBytes>;

Code authenticationCode(const std::string& secret, std::string_view payload) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int digest_bytes = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(payload.data()), payload.size(), digest,
       &digest_bytes);
  Code code{};
  std::memcpy(code.data(), digest, code.size());
  return code;
}

/// Reads alternative number `index` of `Message`.
template <std::size_t I = 0, typename Archive>
bool readAlternative(Archive& archive, std::size_t index, Message& message) {
  if constexpr (I < std::variant_size_v<Message>) {
    if (index != I) return readAlternative<I + 1>(archive, index, message);
    archive >> message.emplace<I>();
    return true;
  } else {
    return false;
  }
}

std::string serializePayload(const Envelope& envelope) {
  std::string payload;
  boost::iostreams::stream<boost::iostreams::back_insert_device<std::string>> stream(payload);
  boost::archive::binary_oarchive archive(stream, boost::archive::no_header);
  const auto index = static_cast<std::uint8_t>(envelope.message.index());
  archive << envelope.from << index;
  std::visit([&archive](const auto& message) { archive << message; }, envelope.message);
  stream.flush();
  return payload;
}

}  // namespace

const char* frameErrorName(FrameError error) {
  switch (error) {
    case FrameError::kTooLarge:
      return "too-large";
    case FrameError::kTruncated:
      return "truncated";
    case FrameError::kBadMagic:
      return "bad-magic";
    case FrameError::kForged:
      return "forged";
    case FrameError::kMalformed:
      return "malformed";
  }
  return "unknown";
}

tl::expected<std::string, FrameError> FrameCodec::encode(const Envelope& envelope) const {
  const std::string payload = serializePayload(envelope);
  if (payload.size() + kFrameHeaderBytes > kMaxFrameBytes) {
    return tl::make_unexpected(FrameError::kTooLarge);
  }
  const Code code = authenticationCode(secret_, payload);
  const auto length = static_cast<std::uint32_t>(payload.size());
  std::string frame(kFrameHeaderBytes, '\0');
  std::memcpy(frame.data(), kMagic.data(), kMagic.size());
  std::memcpy(frame.data() + kLengthOffset, &length, sizeof(length));
  std::memcpy(frame.data() + kCodeOffset, code.data(), code.size());
  return frame + payload;
}

tl::expected<Envelope, FrameError> FrameCodec::decode(std::string_view frame) const {
  if (frame.size() > kMaxFrameBytes) return tl::make_unexpected(FrameError::kTooLarge);
  if (frame.size() < kFrameHeaderBytes) return tl::make_unexpected(FrameError::kTruncated);
  if (std::memcmp(frame.data(), kMagic.data(), kMagic.size()) != 0) {
    return tl::make_unexpected(FrameError::kBadMagic);
  }
  std::uint32_t length = 0;
  std::memcpy(&length, frame.data() + kLengthOffset, sizeof(length));
  if (length != frame.size() - kFrameHeaderBytes) {
    return tl::make_unexpected(FrameError::kTruncated);
  }
  const std::string_view payload = frame.substr(kFrameHeaderBytes);
  const Code code = authenticationCode(secret_, payload);
  if (CRYPTO_memcmp(code.data(), frame.data() + kCodeOffset, code.size()) != 0) {
    return tl::make_unexpected(FrameError::kForged);
  }
  try {
    boost::iostreams::stream<boost::iostreams::array_source> stream(payload.data(), payload.size());
    boost::archive::binary_iarchive archive(stream, boost::archive::no_header);
    Envelope envelope;
    std::uint8_t index = 0;
    archive >> envelope.from >> index;
    if (!readAlternative(archive, index, envelope.message)) {
      return tl::make_unexpected(FrameError::kMalformed);
    }
    return envelope;
  } catch (const std::exception&) {
    return tl::make_unexpected(FrameError::kMalformed);
  }
}

}  // namespace linenpier::wire
