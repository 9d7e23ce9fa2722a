#pragma once

/** @file
 * Encoding of batch jobs, results and result pages in requests and responses. Implemented by the
 * platform.
 */

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "gateway/batch/batch_types.h"

namespace linenpier::batch {

class batch_codec {
 public:
  virtual ~batch_codec() = default;

  /** @param bytes body of the request that submits the job. */
  virtual tl::expected<batch_job, Findings> parseJob(const JobId& id,
                                                     std::string_view bytes) const = 0;
  virtual std::string encodeResult(const batch_result& result) const = 0;
  /** @return the result, or nothing if the text is malformed. */
  virtual std::optional<batch_result> decodeResult(std::string_view encoded) const = 0;
  /** @param results encoded results at the positions from `next - results.size()` up to `next`. */
  virtual std::string encodePage(std::size_t total, std::size_t next,
                                 const std::vector<std::string>& results) const = 0;
};

}  // namespace linenpier::batch
