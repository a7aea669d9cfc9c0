// A server leaves; the control members hold its departure on their disks. They
// lose power together with its node, which is back before them. A ping that the
// server sent before it left arrives after that. Does the server get work later
// than `drain` after the acknowledgement?

#include <csignal>

#include "deployment.h"

namespace figwind::review {
namespace {

constexpr auto ping_delay = seconds(5);
constexpr auto node_down = milliseconds(200);
constexpr auto members_down = seconds(2);

auto run(const std::string& program, record_file& record) -> verdict {
  auto all = deployment{program};
  for (const auto* zone : {"a", "b", "c"}) all.add(zone, "");
  const auto entry = all.add("b", "counter");
  const auto leaving_node = all.add("b", "contracte");
  auto servers = std::vector<std::unique_ptr<server>>{};
  auto add_server = [&](std::size_t node, const std::string& name) -> server& {
    const auto& x = all.at(node);
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

  auto sent = 0;
  auto served = 0;
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
  auto runs_at_leaving = 0;
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

  record.line("server %s sends a ping that will be late",
              leaving.name().c_str());
  leaving.ping_late(ping_delay);
  all.run_for(milliseconds(300));
  leaving.leave([&] { acknowledged_at = record.now(); });
  all.run_until(seconds(1), [&] { return acknowledged_at >= 0; });
  if (acknowledged_at < 0) return verdict::not_run;
  all.run_for(milliseconds(500));
  if (has_trouble()) {
    record.line("the control members and the node of %s are killed",
                leaving.name().c_str());
    for (std::size_t i = 0; i < all.member_count(); ++i)
      all.at(i).kill(SIGKILL);
    all.at(leaving_node).kill(SIGKILL);
    all.after(node_down, [&] {
      record.line("the node is back");
      all.start(leaving_node, false);
    });
    all.after(members_down, [&] {
      record.line("the control members are back");
      for (std::size_t i = 0; i < all.member_count(); ++i) all.start(i, false);
    });
  }
  all.run_for(members_down);
  // A second more than the page asks for.
  in_touch_at = record.now() + stable_window.ms + 1000;
  all.run_for(seconds(8));
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
  if (argc != 3) return static_cast<int>(verdict::not_run);
  std::signal(SIGPIPE, SIG_IGN);
  auto record = record_file{argv[2]};
  const auto result = run(argv[1], record);
  record.line("verdict: %d", static_cast<int>(result));
  return static_cast<int>(result);
}
