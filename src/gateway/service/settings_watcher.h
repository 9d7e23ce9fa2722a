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

/// @return the settings, or all errors found, each with its file and key.
tl::expected<GatewaySettings, Findings> readGatewaySettings(const std::string& file);

/// Used only on the event loop thread.
class settings_watcher {
 public:
  /// Function that is called with the new settings after each valid change of the settings file.
  using settings_callback = std::function<void(const GatewaySettings&)>;

  settings_watcher(boost::asio::io_context& loop, std::string file, Duration period,
                   settings_callback callback);

  void start();
  /** Reads the settings file immediately. An invalid file is logged and otherwise ignored. */
  void reload();
  std::uint64_t rejectedReloads() const { return rejected_reloads_; }

 private:
  /// Attributes of the settings file that show a change without reading the content.
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
