#pragma once

/// @file
/// Coroutines of the event loop, which all run on the loop's thread.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>

#include "common/log.h"
#include "common/time.h"

namespace linenpier {

/// A coroutine that runs on the event loop.
template <typename T>
using Task = boost::asio::awaitable<T>;

/// Starts a detached task on the loop. Exceptions that it does not handle are logged.
template <typename Function>
void spawn(boost::asio::io_context& loop, Function function) {
  boost::asio::co_spawn(loop, std::move(function), [](const std::exception_ptr& error) {
    if (!error) return;
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& exception) {
      LINENPIER_LOG(error, "loop") << "unhandled exception in a task: " << exception.what();
    }
  });
}

/// Timers that expire during a suspension fire on resume as soon as the loop checks its timers,
/// which takes at most the shortest active period.
using machine_timer = boost::asio::basic_waitable_timer<machine_clock>;

inline Task<void> sleepFor(boost::asio::io_context& loop, Duration duration) {
  machine_timer timer(loop);
  timer.expires_after(duration);
  boost::system::error_code error;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
}

/// Wakes tasks that wait for a change. Notifications without a waiter are lost: waiters must check
/// their condition first, with no suspension point between check and wait.
class Signal {
 public:
  explicit Signal(boost::asio::io_context& loop) : timer_(loop) {}

  void notifyAll() { timer_.cancel(); }

  /// Returns after `notifyAll` or after `limit`, whichever comes first.
  Task<void> waitFor(Duration limit) {
    const Instant until = steadyNow() + limit;
    // Changing the expiry cancels other waiters, which check again; so it only moves forward.
    if (waiters_ == 0 || until < timer_.expiry()) timer_.expires_at(until);
    ++waiters_;
    boost::system::error_code error;
    co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
    --waiters_;
  }

 private:
  machine_timer timer_;
  int waiters_ = 0;
};

}  // namespace linenpier
