#include "adapters/clock.h"

#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>

#include "section.h"

namespace {

/// Seconds for which the VM was suspended, as this process sees it.
std::atomic<int> suspended_seconds = 0;

}  // namespace

/// Replaces the function of the C library. As in Linux, the time in which the
/// VM is suspended is missing in CLOCK_MONOTONIC only.
extern "C" auto clock_gettime(clockid_t clock, timespec* out) noexcept -> int {
  const auto result = syscall(SYS_clock_gettime, clock, out);
  const auto stands_still = clock == CLOCK_MONOTONIC;
  if (result == 0 && !stands_still) out->tv_sec += suspended_seconds;
  return static_cast<int>(result);
}

using namespace figwind;
using figwind::test::section;

// Guards against a process that, after its VM was suspended, acts on a
// deadline, lease or leadership that ran out meanwhile.
TEST(clock, counts_the_time_in_which_the_vm_is_suspended) {
  const auto before = steady_now();
  section("it passes while the process runs", [&] {
    while (steady_now() == before) {
    }
    EXPECT_LT(steady_now() - before, seconds(60));
  });
  section("and while the VM is suspended", [&] {
    suspended_seconds = 100;
    const auto after = steady_now();
    suspended_seconds = 0;
    EXPECT_GE(after - before, seconds(100));
  });
}
