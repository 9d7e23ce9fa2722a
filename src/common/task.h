#pragma once

/// @file
/// Coroutines of the event loop. Everything that uses them runs on one thread, the loop's.

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

/// An asynchronous result on the event loop.
template <typename T>
using Task = boost::asio::awaitable<T>;

/// Runs `task` on the loop on its own. An exception that escapes it is logged, never fatal.
template <typename Function>
void spawn(boost::asio::io_context& loop, Function function) {
  boost::asio::co_spawn(loop, std::move(function), [](const std::exception_ptr& error) {
    if (!error) return;
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& escaped) {
      LINENPIER_LOG(error, "loop") << "A task ended with an exception: " << escaped.what();
    }
  });
}

/// What passed while the machine was suspended is over when it wakes, as soon as the loop looks at
/// any timer: within the shortest of its periods.
using machine_timer = boost::asio::basic_waitable_timer<machine_clock>;

inline Task<void> sleepFor(boost::asio::io_context& loop, Duration duration) {
  machine_timer timer(loop);
  timer.expires_after(duration);
  boost::system::error_code error;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
}

/// Wakes tasks that wait for something to change. A wake-up without a waiter is not remembered:
/// waiters check their condition first, and nothing else runs between check and wait.
class Signal {
 public:
  explicit Signal(boost::asio::io_context& loop) : timer_(loop) {}

  void notifyAll() { timer_.cancel(); }

  /// Returns after `notifyAll` or after `limit`, whichever comes first.
  Task<void> waitFor(Duration limit) {
    const Instant until = steadyNow() + limit;
    // Setting the expiry cancels other waiters, which then check again; so it only moves forward.
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
