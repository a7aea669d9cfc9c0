// A server leaves while its node is cut off from the control members. The node
// acknowledges the departure; it is stopped and started again before the cut
// heals, after the departure (`before-stop`) or while the server repeats its
// DELETE (`after-start`).
// Does the server get work later than `drain` after the acknowledgement?

#include <csignal>

#include "deployment.h"

namespace figwind::review {
namespace {

/// When the server leaves.
enum class departure { before_stop, after_start };

auto run(const std::string& program, record_file& record, departure when)
    -> verdict {
  auto all = deployment{program};
  for (const auto* zone : {"a", "b", "c"}) all.add(zone, "");
  all.add("a", "counter");
  const auto entry = all.add("b", "counter");
  const auto leaving_node = all.add("b", "contracte");
  auto servers = std::vector<std::unique_ptr<server>>{};
  auto add_server = [&](std::size_t node, const std::string& name) -> server& {
    auto& x = all.at(node);
    servers.push_back(std::make_unique<server>(all.loop, record, x.ip, x.zone,
                                               x.service, name));
    return *servers.back();
  };
  auto& leaving = add_server(leaving_node, "i-leaving");
  for (const auto* zone : {"c", "a", "c"}) {
    add_server(all.add(zone, "contracte"),
               "i-staying-" + std::to_string(servers.size()));
  }

  all.start_all();
  for (const auto& x : servers) x->start();
  const auto text =
      deployment::state_text(1,
                             {{"read", "idempotent", "contracte"},
                              {"act", "non_idempotent", "contracte"}},
                             {"contracte", "counter"});
  if (!all.put_state("0", text, seconds(20))) return verdict::not_run;
  for (std::size_t i = 0; i < all.size(); ++i)
    all.write_settings(i, false, all.at(i).service);

  // Clients: 40 requests a second at one node that is in touch all the time.
  auto sent = 0;
  auto served = 0;
  auto runs_at_leaving = 0;
  all.every(milliseconds(25), [&] {
    const auto id = "c" + std::to_string(++sent);
    const auto is_act = sent % 2 == 0;
    auto asked = make_call(is_act ? http::verb::post : http::verb::get,
                           (is_act ? "/act/" : "/read/") + id, id, seconds(5));
    call_once(all.loop, address_at(all.at(entry).ip, call_port),
              std::move(asked), seconds(6), [&, id](const exchange_end& end) {
                const auto status = end.answer ? end.answer->result_int() : 0U;
                if (status == 200) ++served;
                record.line("%s is answered %u", id.c_str(), status);
              });
  });
  auto acknowledged_at = -1.0;
  auto in_touch_at = -1.0;
  auto late_runs = 0;
  leaving.on_run = [&](const server_request& x) {
    ++runs_at_leaving;
    if (acknowledged_at < 0 || in_touch_at < 0) return;
    if (x.at < acknowledged_at + drain_bound.ms || x.at < in_touch_at) return;
    ++late_runs;
    record.line("BROKEN DRAIN: %s reaches %s %.0f ms after the acknowledgement",
                x.id.c_str(), leaving.name().c_str(), x.at - acknowledged_at);
  };
  if (!all.run_until(seconds(20), [&] { return runs_at_leaving > 20; }))
    return verdict::not_run;
  all.run_for(seconds(4));

  const auto heal_after = [&](duration wait) {
    all.after(wait, [&] {
      record.line("the cut heals");
      all.network.heal();
    });
  };
  const auto trouble = has_trouble();
  if (trouble) {
    record.line("cut: the node of %s from all control members",
                leaving.name().c_str());
    all.cut_from_members(leaving_node);
  }
  // Without an acknowledgement, nothing is promised.
  const auto leave = [&] {
    leaving.leave([&] { acknowledged_at = record.now(); });
  };
  if (when == departure::before_stop) {
    if (trouble) heal_after(seconds(5));
    all.run_for(milliseconds(700));
    leave();
    all.run_until(seconds(2), [&] { return acknowledged_at >= 0; });
  }
  record.line("SIGTERM to the node of %s", leaving.name().c_str());
  all.at(leaving_node).signal(SIGTERM);
  if (!all.run_until(seconds(6),
                     [&] { return all.at(leaving_node).has_ended(); }))
    all.at(leaving_node).kill(SIGKILL);
  record.line("the node has ended");
  // The server repeats its DELETE until the node is back.
  if (when == departure::after_start) leave();
  all.run_for(milliseconds(300));
  record.line("the node starts again");
  all.start(leaving_node, false);
  const auto restarted_at = record.now();
  if (when == departure::after_start) {
    if (trouble) heal_after(milliseconds(700));
    all.run_for(milliseconds(300));
  }
  all.run_for(seconds(2.5));
  in_touch_at = restarted_at + 1500 + stable_window.ms;
  all.run_for(seconds(4.5));
  leaving.end();
  record.line("server %s exits", leaving.name().c_str());
  all.run_for(milliseconds(500));
  record.line("%d sent, %d served, %d late runs", sent, served, late_runs);
  if (served < sent / 2) return verdict::not_run;
  return late_runs > 0 ? verdict::broken : verdict::held;
}

}  // namespace
}  // namespace figwind::review

auto main(int argc, char** argv) -> int {
  using namespace figwind::review;
  if (argc != 4) return static_cast<int>(verdict::not_run);
  std::signal(SIGPIPE, SIG_IGN);
  auto record = record_file{argv[2]};
  const auto when = std::string{argv[3]} == "after-start"
                        ? departure::after_start
                        : departure::before_stop;
  const auto result = run(argv[1], record, when);
  record.line("verdict: %d", static_cast<int>(result));
  return static_cast<int>(result);
}
