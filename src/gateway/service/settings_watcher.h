#pragma once

/** @file
 * Reloads the settings file of a running daemon when it changes or on request.
 */

#include <filesystem>
#include <functional>
#include <string>

#include "common/task.h"
#include "gateway/service/gateway_settings.h"

namespace linenpier::gateway {

/// @return the settings, or all findings, each with file and key.
tl::expected<GatewaySettings, Findings> readGatewaySettings(const std::string& file);

/// Loop thread only.
class settings_watcher {
 public:
  /// Called with the new settings after each valid change.
  using settings_callback = std::function<void(const GatewaySettings&)>;

  settings_watcher(boost::asio::io_context& loop, std::string file, Duration period,
                   settings_callback callback);

  void start();
  /** Reads the file now. An invalid file is logged and otherwise ignored. */
  void reload();
  std::uint64_t rejectedReloads() const { return rejected_reloads_; }

 private:
  /// Detects changes of the file without reading it.
  struct file_stamp {
    std::filesystem::file_time_type written_at{};
    std::uintmax_t size = 0;

    bool operator==(const file_stamp&) const = default;
  };

  file_stamp currentStamp() const;
  Task<void> pollLoop();

  boost::asio::io_context& loop_;
  std::string file_;
  Duration period_;
  settings_callback callback_;
  file_stamp last_stamp_;
  std::uint64_t rejected_reloads_ = 0;
};

}  // namespace linenpier::gateway
