// A lookup that servers have answered many times begins to crash each server
// that runs it, and its caller sends it again. How often does it reach servers
// later than `stable-window` after it has crashed the third?

#include <csignal>

#include "deployment.h"

namespace figwind::review {
namespace {

constexpr auto usual_time = seconds(6);
constexpr auto crashing_time = seconds(22);
/// A crashed server is back after this time.
constexpr auto server_down = seconds(5);
// RULES.md, BUDGET.
constexpr auto crashes_that_are_known = 3;
constexpr auto most_late_retries = 3;

auto run(const std::string& program, record_file& record) -> verdict {
  auto all = deployment{program};
  for (const auto* zone : {"a", "b", "c"}) all.add(zone, "");
  auto entries = std::vector<std::size_t>{};
  for (const auto* zone : {"a", "b", "c", "d"}) {
    entries.push_back(all.add(zone, "counter"));
  }
  auto nodes = std::vector<std::size_t>{};
  for (const auto* zone : {"a", "b", "c", "d"}) {
    nodes.push_back(all.add(zone, "depozit"));
  }

  auto is_crashing = false;
  auto crashes = std::vector<double>{};
  auto late_retries = 0;
  auto servers = std::vector<std::unique_ptr<server>>(nodes.size());
  std::function<void(std::size_t)> start_server = [&](std::size_t i) {
    const auto& x = all.at(nodes[i]);
    // Each start is a new incarnation with a new id.
    servers[i] = std::make_unique<server>(
        all.loop, record, x.ip, x.zone, x.service,
        "i-" + std::to_string(i) + "-" + std::to_string(crashes.size()));
    servers[i]->on_run = [&, i](const server_request& asked) {
      if (!is_crashing || asked.target != "/read/hot") return;
      const auto known = crashes.size() >= crashes_that_are_known
                             ? crashes[crashes_that_are_known - 1]
                             : -1;
      if (known >= 0 && asked.at > known + stable_window.ms) {
        ++late_retries;
        record.line("LATE: %s reaches %s %.0f ms after the third crash",
                    asked.id.c_str(), servers[i]->name().c_str(),
                    asked.at - known);
      }
      crashes.push_back(asked.at);
      record.line("server %s crashes", servers[i]->name().c_str());
      all.after({}, [&, i] { servers[i]->end(); });
      all.after(server_down, [&, i] { start_server(i); });
    };
    servers[i]->start();
  };
  all.start_all();
  for (std::size_t i = 0; i < nodes.size(); ++i) start_server(i);
  const auto text = deployment::state_text(
      1, {{"read", "idempotent", "depozit"}}, {"depozit", "counter"});
  if (!all.put_state("0", text, seconds(20))) return verdict::not_run;

  auto sent = 0;
  auto served = 0;
  const auto send = [&](std::size_t entry, const std::string& target) {
    const auto id = "c" + std::to_string(++sent);
    call_once(all.loop, address_at(all.at(entry).ip, call_port),
              make_call(http::verb::get, target, id, seconds(5)), seconds(6),
              [&, id, target](const exchange_end& end) {
                const auto status = end.answer ? end.answer->result_int() : 0U;
                if (status == 200) ++served;
                record.line("%s %s is answered %u", id.c_str(), target.c_str(),
                            status);
              });
  };
  // Other lookups, all the time.
  all.every(milliseconds(50), [&] {
    send(entries[static_cast<std::size_t>(sent) % entries.size()],
         "/read/" + std::to_string(sent));
  });
  if (!all.run_until(seconds(20), [&] { return served > 50; }))
    return verdict::not_run;
  // All machines have been in touch for longer than `stable-window`.
  all.run_for(seconds(4));

  // Many callers look the same item up.
  auto next = std::size_t{0};
  auto many = true;
  all.every(milliseconds(60), [&] {
    if (many) send(entries[next++ % entries.size()], "/read/hot");
  });
  all.run_for(usual_time);
  many = false;
  all.run_for(seconds(1));
  is_crashing = has_trouble();
  record.line(is_crashing ? "from now on the lookup crashes servers"
                          : "the lookup goes on");
  // One caller sends it again, at the next machine each time.
  all.every(milliseconds(500),
            [&] { send(entries[next++ % entries.size()], "/read/hot"); });
  all.run_for(crashing_time);
  record.line("%d sent, %d served, %zu crashes, %d late retries", sent, served,
              crashes.size(), late_retries);
  is_crashing = false;
  for (const auto& x : servers) x->on_run = {};
  return late_retries > most_late_retries ? verdict::broken : verdict::held;
}

}  // namespace
}  // namespace figwind::review

auto main(int argc, char** argv) -> int {
  using namespace figwind::review;
  if (argc != 3) return static_cast<int>(verdict::not_run);
  std::signal(SIGPIPE, SIG_IGN);
  auto record = record_file{argv[2]};
  const auto result = run(argv[1], record);
  record.line("verdict: %d", static_cast<int>(result));
  return static_cast<int>(result);
}
