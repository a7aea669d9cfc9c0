// Start-up and durable writes on the real disk of the temporary folder.

#include <stdlib.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "adapters/posix_files.h"
#include "figure.h"
#include "figwind/config_store.h"

using namespace figwind;
using namespace figwind::bench;

namespace {

constexpr log_index changes = 10'000;
constexpr log_index compact_after = 1000;

// Prints a figure that has no stated target.
void print_measured(const std::string& name, const std::string& unit,
                    double value, std::optional<double> baseline = {}) {
  print({name, unit, value, baseline, std::nullopt, goal::at_most});
}

auto first_members() -> membership {
  return {{{{1}, {"127.0.0.1:1"}, {101}, true, {}}}};
}

// Twelve classes, about 1.3 KB.
auto text_of(log_index number) -> std::string {
  auto text = std::string{};
  for (auto i = 1; i <= 12; ++i) {
    auto rank = std::to_string(i);
    text += "[class loan-confirmation-" + rank +
            "]\nservice = contracte\nidempotent = no\nlatency = " +
            std::to_string(100 + number) + " ms\nsuccess = 0.999\n" +
            "importance = " + rank + "\n";
  }
  return text;
}

auto command(log_index n) -> log_entry {
  auto change = config_change{{1, n}, {n - 1}, "operator", text_of(n), {}};
  return {n, 1, entry_kind::command, encode_change(change)};
}

auto elapsed_ms(std::chrono::steady_clock::time_point since) -> double {
  auto time = std::chrono::steady_clock::now() - since;
  return std::chrono::duration<double, std::milli>{time}.count();
}

// Writes all changes, 20 a batch, with or without compaction.
void fill(const std::string& folder, bool compact) {
  auto files = posix_files{};
  files.open(folder);
  auto disk = disk_storage{files};
  disk.open();
  auto store = config_store{};
  auto state = hard_state{1, {1}, {101}, {}, false};
  auto snapshot = log_snapshot{0, 0, first_members(), {}};
  disk.write({0, state, snapshot, {}});
  for (log_index n = 1; n <= changes;) {
    auto batch = persist_batch{};
    for (auto i = 0; i < 20; ++i, ++n) {
      batch.entries.push_back(command(n));
      store.apply(batch.entries.back().bytes);
    }
    disk.write(batch);
    if (compact && (n - 1) % compact_after == 0 && n <= changes) {
      snapshot = {n - 1, 1, first_members(), store.snapshot()};
      disk.write({0, state, snapshot, {}});
    }
  }
}

// Time until the store holds all changes again.
auto start(const std::string& folder) -> double {
  auto begin = std::chrono::steady_clock::now();
  auto files = posix_files{};
  files.open(folder);
  auto disk = disk_storage{files};
  auto opened = value(disk.open());
  auto store = config_store{};
  store.restore(opened.snapshot->state);
  for (const auto& e : opened.entries) store.apply(e.bytes);
  auto time = elapsed_ms(begin);
  if (store.current().version.value != changes) std::abort();
  return time;
}

void bench_start(const std::string& folder) {
  fill(folder + "/plain", false);
  fill(folder + "/compacted", true);
  auto plain = start(folder + "/plain");
  auto compacted = start(folder + "/compacted");
  print_measured("storage/start_with_10000_changes", "ms", compacted, plain);
  auto size = [](const std::string& path) {
    auto bytes = std::uintmax_t{0};
    for (const auto& f : std::filesystem::directory_iterator{path}) {
      bytes += f.file_size();
    }
    return static_cast<double>(bytes);
  };
  print_measured("storage/bytes_with_10000_changes", "B",
                 size(folder + "/compacted"), size(folder + "/plain"));
}

void bench_write(const std::string& folder) {
  auto files = posix_files{};
  files.open(folder + "/write");
  auto disk = disk_storage{files};
  disk.open();
  disk.write({0, hard_state{}, log_snapshot{0, 0, first_members(), {}}, {}});
  auto times = std::vector<double>{};
  for (log_index n = 1; n <= 500; ++n) {
    auto batch = persist_batch{n, std::nullopt, std::nullopt, {command(n)}};
    auto begin = std::chrono::steady_clock::now();
    disk.write(batch);
    times.push_back(elapsed_ms(begin));
  }
  std::sort(times.begin(), times.end());
  print_measured("storage/durable_write/p50", "ms", times[times.size() / 2]);
  print_measured("storage/durable_write/p99", "ms",
                 times[times.size() * 99 / 100]);
}

}  // namespace

auto main() -> int {
  auto name = (std::filesystem::temp_directory_path() / "figwind-XXXXXX");
  auto folder = name.string();
  if (::mkdtemp(folder.data()) == nullptr) return 0;
  bench_start(folder);
  bench_write(folder);
  std::filesystem::remove_all(folder);
}
