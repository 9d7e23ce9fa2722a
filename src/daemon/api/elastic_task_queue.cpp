#include "daemon/api/elastic_task_queue.h"

namespace linenpier::api {

namespace {
constexpr auto kIdleTime = std::chrono::seconds(10);
}

void ElasticTaskQueue::enqueue(std::function<void()> task) {
  const std::lock_guard lock(mutex_);
  tasks_.push_back(std::move(task));
  if (tasks_.size() <= idle_ || threads_ >= most_) {
    wake_.notify_one();
    return;
  }
  ++threads_;
  std::thread([this] { work(); }).detach();
}

void ElasticTaskQueue::shutdown() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  wake_.notify_all();
  ended_.wait(lock, [this] { return threads_ == 0; });
}

void ElasticTaskQueue::work() {
  std::unique_lock lock(mutex_);
  while (true) {
    if (tasks_.empty() && !stopping_) {
      ++idle_;
      wake_.wait_for(lock, kIdleTime, [this] { return stopping_ || !tasks_.empty(); });
      --idle_;
    }
    if (tasks_.empty()) break;
    const auto task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
  --threads_;
  // Notified under the lock: after it is released, the queue may be destroyed.
  ended_.notify_all();
}

}  // namespace linenpier::api
