// A server is added and soon taken away: it sends DELETE, which its node
// acknowledges, and serves on for a while. Its first ping arrives after that.
// Does the server get work later than `drain` after the acknowledgement?

#include <csignal>

#include "deployment.h"

namespace figwind::review {
namespace {

auto run(const std::string& program, record_file& record) -> verdict {
  auto all = deployment{program};
  for (const auto* zone : {"a", "b", "c"}) all.add(zone, "");
  const auto entry = all.add("b", "counter");
  auto servers = std::vector<std::unique_ptr<server>>{};
  auto add_server = [&](const std::string& zone,
                        const std::string& name) -> server& {
    const auto& x = all.at(all.add(zone, "contracte"));
    servers.push_back(std::make_unique<server>(all.loop, record, x.ip, x.zone,
                                               x.service, name));
    return *servers.back();
  };
  auto& leaving = add_server("b", "i-leaving");
  for (const auto* zone : {"a", "c"}) {
    add_server(zone, "i-staying-" + std::to_string(servers.size()));
  }

  all.start_all();
  for (std::size_t i = 1; i < servers.size(); ++i) servers[i]->start();
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
  if (!all.run_until(seconds(20), [&] { return served > 50; }))
    return verdict::not_run;
  // All machines have been in touch for longer than `stable-window`.
  all.run_for(seconds(4));

  auto acknowledged_at = -1.0;
  auto late_runs = 0;
  leaving.on_run = [&](const server_request& x) {
    if (acknowledged_at < 0 || x.at < acknowledged_at + drain_bound.ms) return;
    ++late_runs;
    record.line("BROKEN DRAIN: %s reaches %s %.0f ms after the acknowledgement",
                x.id.c_str(), leaving.name().c_str(), x.at - acknowledged_at);
  };
  if (has_trouble()) leaving.first_ping_delay = seconds(3);
  record.line("server %s starts", leaving.name().c_str());
  leaving.start();
  all.run_for(seconds(1));
  leaving.leave([&] { acknowledged_at = record.now(); });
  all.run_for(seconds(8));
  leaving.end();
  record.line("server %s exits", leaving.name().c_str());
  all.run_for(milliseconds(500));
  record.line("%d sent, %d served, %d late runs", sent, served, late_runs);
  if (acknowledged_at < 0 || served < sent / 2) return verdict::not_run;
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
