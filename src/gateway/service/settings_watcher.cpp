#include "gateway/service/settings_watcher.h"

#include "common/event_log.h"
#include "common/read_file.h"

namespace linenpier::gateway {

tl::expected<GatewaySettings, Findings> readGatewaySettings(const std::string& file) {
  const auto text = settings::readFile(file);
  if (!text) return tl::make_unexpected(text.error());
  return parseGatewaySettings(file, *text);
}

settings_watcher::settings_watcher(boost::asio::io_context& loop, std::string file, Duration period,
                                   settings_callback callback)
    : loop_(loop), file_(std::move(file)), period_(period), callback_(std::move(callback)) {
  this->last_stamp_ = this->currentStamp();
}

void settings_watcher::start() {
  spawn(this->loop_, [this] { return this->pollLoop(); });
}

settings_watcher::file_stamp settings_watcher::currentStamp() const {
  std::error_code error;
  file_stamp now;
  now.written_at = std::filesystem::last_write_time(this->file_, error);
  if (error) return this->last_stamp_;
  now.size = std::filesystem::file_size(this->file_, error);
  return error ? this->last_stamp_ : now;
}

Task<void> settings_watcher::pollLoop() {
  for (;;) {
    co_await sleepFor(this->loop_, this->period_);
    if (this->currentStamp() != this->last_stamp_) this->reload();
  }
}

void settings_watcher::reload() {
  this->last_stamp_ = this->currentStamp();
  const auto settings = readGatewaySettings(this->file_);
  if (!settings) {
    ++this->rejected_reloads_;
    logging::LogEvent("settings", "reload_refused").text("findings", describe(settings.error()));
    return;
  }
  logging::LogEvent("settings", "reloaded").text("store", toString(settings->store_address));
  this->callback_(*settings);
}

}  // namespace linenpier::gateway
