// Thread pool for cpp-httplib that starts threads on demand.

#pragma once

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace figwind {

/// Starts a thread if no idle one is left for a task, up to `max_threads`, and
/// keeps it. cpp-httplib's own pool starts all threads at once. A node must
/// allow for more than 620 connections, each with a thread, but usually has far
/// fewer.
class thread_pool : public httplib::TaskQueue {
 public:
  explicit thread_pool(std::size_t max_threads) : max_threads_{max_threads} {}

  void enqueue(std::function<void()> task) override {
    auto lock = std::lock_guard{mutex_};
    tasks_.push_back(std::move(task));
    if (tasks_.size() > idle_threads_ && threads_.size() < max_threads_) {
      threads_.emplace_back([this] { run_tasks(); });
    }
    task_available_.notify_one();
  }

  void shutdown() override {
    {
      auto lock = std::lock_guard{mutex_};
      closing_ = true;
    }
    task_available_.notify_all();
    for (auto& thread : threads_) thread.join();
    threads_.clear();
  }

 private:
  void run_tasks() {
    auto lock = std::unique_lock{mutex_};
    for (;;) {
      ++idle_threads_;
      task_available_.wait(lock,
                           [this] { return closing_ || !tasks_.empty(); });
      --idle_threads_;
      if (tasks_.empty()) return;
      auto task = std::move(tasks_.front());
      tasks_.pop_front();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  std::size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable task_available_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idle_threads_ = 0;
  bool closing_ = false;
};

}  // namespace figwind
