#pragma once

/// @file
/// Threads for the HTTP server that are started when connections need them and end when idle, since
/// each open stream holds one.

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace linenpier::api {

class ElasticTaskQueue : public httplib::TaskQueue {
 public:
  /// @param most threads at most; further connections wait.
  explicit ElasticTaskQueue(std::size_t most) : most_(most) {}

  void enqueue(std::function<void()> task) override;
  /// Waits until every thread has ended.
  void shutdown() override;

 private:
  void work();

  const std::size_t most_;
  std::mutex mutex_;               ///< Guards all members below.
  std::condition_variable wake_;   ///< A task came, or shutdown began.
  std::condition_variable ended_;  ///< A thread ended.
  std::deque<std::function<void()>> tasks_;
  std::size_t threads_ = 0;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

}  // namespace linenpier::api
