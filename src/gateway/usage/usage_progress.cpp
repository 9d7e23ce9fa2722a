#include "gateway/usage/usage_progress.h"

#include <cstdlib>

namespace linenpier::usage {

namespace {

constexpr char kCountsSeparator = ' ';  ///< Separates the window's number from its counts.

}  // namespace

std::string encodeProgress(const usage_report& report) {
  return std::to_string(report.window) + kCountsSeparator + encodeCounts(report.counts);
}

usage_progress decodeProgress(Revision revision, const std::string& value) {
  usage_progress progress;
  progress.revision = revision;
  progress.report.window = std::strtoll(value.c_str(), nullptr, 10);
  const std::size_t separator = value.find(kCountsSeparator);
  if (separator == std::string::npos) return progress;
  const auto counts = decodeCounts(value.substr(separator + 1));
  progress.report.counts = counts.value_or(tenant_counts{});
  return progress;
}

}  // namespace linenpier::usage
