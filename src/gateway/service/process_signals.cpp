#include "gateway/service/process_signals.h"

#include <csignal>

namespace linenpier::gateway {

process_signals::process_signals(boost::asio::io_context& loop)
    : stop_signals_(loop, SIGTERM, SIGINT), reload_signal_(loop, SIGHUP) {}

void process_signals::start(std::function<void()> on_stop, std::function<void()> on_reload) {
  this->on_stop_ = std::move(on_stop);
  this->on_reload_ = std::move(on_reload);
  deliver(this->stop_signals_, this->on_stop_);
  deliver(this->reload_signal_, this->on_reload_);
}

void process_signals::deliver(boost::asio::signal_set& signals,
                              const std::function<void()>& handler) {
  signals.async_wait([&signals, &handler](const boost::system::error_code& error, int) {
    if (error) return;
    handler();
    deliver(signals, handler);
  });
}

}  // namespace linenpier::gateway
