#pragma once

/** @file
 * Signals of the gateway process: SIGTERM and SIGINT stop it, SIGHUP reloads its settings.
 */

#include <boost/asio/signal_set.hpp>
#include <functional>

namespace linenpier::gateway {

/** Receives signals from its construction on, and delivers them once it is started. Should be
 * constructed first, since a signal that nobody receives ends the process. Used only on the event
 * loop thread.
 */
class process_signals {
 public:
  explicit process_signals(boost::asio::io_context& loop);

  /** Delivers signals, including those received before. Several signals of a kind may be delivered
   * as one.
   */
  void start(std::function<void()> on_stop, std::function<void()> on_reload);

 private:
  static void deliver(boost::asio::signal_set& signals, const std::function<void()>& handler);

  boost::asio::signal_set stop_signals_;
  boost::asio::signal_set reload_signal_;
  std::function<void()> on_stop_;
  std::function<void()> on_reload_;
};

}  // namespace linenpier::gateway
