#include "gateway/service/settings_watch.h"

#include "common/event_log.h"
#include "common/read_file.h"

namespace linenpier::gateway {

tl::expected<GatewaySettings, Findings> readGatewaySettings(const std::string& file) {
  const auto text = settings::readFile(file);
  if (!text) return tl::make_unexpected(text.error());
  return parseGatewaySettings(file, *text);
}

settings_watch::settings_watch(boost::asio::io_context& loop, std::string file, Duration period,
                               on_settings callback)
    : loop_(loop), file_(std::move(file)), period_(period), callback_(std::move(callback)) {
  this->seen_ = this->currentStamp();
}

void settings_watch::start() {
  spawn(this->loop_, [this] { return this->run(); });
}

settings_watch::stamp settings_watch::currentStamp() const {
  std::error_code error;
  stamp now;
  now.written_at = std::filesystem::last_write_time(this->file_, error);
  if (error) return this->seen_;
  now.size = std::filesystem::file_size(this->file_, error);
  return error ? this->seen_ : now;
}

Task<void> settings_watch::run() {
  for (;;) {
    co_await sleepFor(this->loop_, this->period_);
    if (this->currentStamp() != this->seen_) this->reload();
  }
}

void settings_watch::reload() {
  this->seen_ = this->currentStamp();
  const auto settings = readGatewaySettings(this->file_);
  if (!settings) {
    ++this->refused_;
    logging::LogEvent("settings", "reload_refused").text("findings", describe(settings.error()));
    return;
  }
  logging::LogEvent("settings", "reloaded").text("store", toString(settings->store));
  this->callback_(*settings);
}

}  // namespace linenpier::gateway
