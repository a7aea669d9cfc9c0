#include "adapters/process_exit.h"

#include <gtest/gtest.h>

#include <future>

#include "adapters/background_worker.h"

using namespace figwind;

// Guards against a process that is killed at its stop because it waits for a
// computation, such as the parse of a large configuration.
TEST(process_exit, does_not_wait_for_a_worker) {
  EXPECT_EXIT(
      {
        auto loop = event_loop{};
        auto worker = background_worker{loop};
        auto started = std::promise<void>{};
        worker.run(
            [&started] {
              started.set_value();
              auto never = std::promise<void>{};
              never.get_future().wait();
              return true;
            },
            [](bool) {});
        started.get_future().wait();
        exit_at_once();
      },
      testing::ExitedWithCode(EXIT_SUCCESS), "");
}
