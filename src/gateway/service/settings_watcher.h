#pragma once

/** @file
 * Follows the settings file of a running daemon. The platform changes it with a signal or without.
 */

#include <filesystem>
#include <functional>
#include <string>

#include "common/task.h"
#include "gateway/service/gateway_settings.h"

namespace linenpier::gateway {

/// @return the settings in the file, or every finding with file and key.
tl::expected<GatewaySettings, Findings> readGatewaySettings(const std::string& file);

/// Loop thread only.
class settings_watcher {
 public:
  /// Called with each version of the file that is right as a whole.
  using settings_callback = std::function<void(const GatewaySettings&)>;

  settings_watcher(boost::asio::io_context& loop, std::string file, Duration period,
                   settings_callback callback);

  void start();
  /** Reads the file now, as after a signal. A file with findings changes nothing: they are logged.
   */
  void reload();
  std::uint64_t rejectedReloads() const { return rejected_reloads_; }

 private:
  /// What tells one version of the file from another without reading it.
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
