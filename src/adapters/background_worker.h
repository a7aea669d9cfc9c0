// Runs long computations on a thread of their own, one after another, so that
// the event loop goes on with heartbeats and calls.

#pragma once

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <memory>
#include <utility>

#include "adapters/asio.h"

namespace figwind {

/// The destructor waits for the computation in progress and drops the others.
class background_worker {
 public:
  explicit background_worker(event_loop& loop) : loop_{loop} {}

  /// Runs `work()` on the thread, then `done(result)` on the event loop.
  /// Results arrive in the order of the calls. `work` must not use anything
  /// that the loop uses at the same time.
  template <class Work, class Done>
  void run(Work work, Done done) {
    asio::post(thread_, [this, work = std::move(work),
                         done = std::move(done)]() mutable {
      auto result = std::make_shared<decltype(work())>(work());
      asio::post(loop_, [result, done = std::move(done)]() mutable {
        done(std::move(*result));
      });
    });
  }

 private:
  event_loop& loop_;
  asio::thread_pool thread_{1};
};

}  // namespace figwind
