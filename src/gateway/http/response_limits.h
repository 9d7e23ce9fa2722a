#pragma once

/// @file
/// Bounds of the memory that responses of peers may use. A peer may send bytes without end: in a
/// header, in a chunk extension, in a body.

#include <cstddef>

namespace linenpier::http {

/// Bounds of one response and of all responses of a connection pool. A response that exceeds one is
/// not read further, and its connection is closed.
struct ResponseLimits {
  /// Bytes that were received but cannot be parsed yet, such as a header, a chunk extension or
  /// trailer fields. Also the maximum size of one read.
  std::size_t max_unparsed_bytes = 64 * 1024;
  std::size_t max_body_bytes = 8 * 1024 * 1024;
  /// Bytes of a body that is read only so that the connection can be reused.
  std::size_t max_discarded_bytes = 64 * 1024;
  /// Responses with a status below 200 before the final response.
  int max_informational = 8;
  /// Bytes of all bodies that are being read, without the first `uncounted_body_bytes` of each.
  std::size_t max_total_bytes = 16 * 1024 * 1024;
  /// Size of a body that is always read, so that a peer that sends large bodies does not prevent
  /// usual ones of others from being read.
  std::size_t uncounted_body_bytes = 64 * 1024;

  bool operator==(const ResponseLimits&) const = default;
};

}  // namespace linenpier::http
