// Clients upload bodies that the desired state allows. The stand-in for the
// platform ends a process that uses more than its VM's memory, and starts it
// again. How often do processes end by themselves, and how many loans that a
// server has begun are cut off at their callers?

#include <csignal>

#include "deployment.h"

namespace figwind::review {
namespace {

// The site file: `memory_mb = 260` on the machines of the nodes.
constexpr auto memory_limit_kb = 260L * 1024;
// The site file: mean body of an upload.
constexpr auto usual_body = std::size_t{60'000};
constexpr auto large_body = std::size_t{24'000'000};
constexpr auto uploads_at_once = 6;
constexpr auto rounds = 5;
constexpr auto round_period = seconds(5);
constexpr auto restart_delay = milliseconds(500);
// RULES.md, Fault and LOST.
constexpr auto ends_of_a_fault = 3;
constexpr auto machines_of_a_fault = 2;
constexpr auto most_cut_requests = 3;

/// Memory in use; 0 until the process runs the program.
auto resident_kb(pid_t pid) -> long {
  auto file = std::ifstream{"/proc/" + std::to_string(pid) + "/status"};
  auto word = std::string{};
  file >> word >> word;
  if (word != "figwind-platfor") return 0;
  while (file >> word) {
    if (word != "VmRSS:") continue;
    auto kb = 0L;
    file >> kb;
    return kb;
  }
  return 0;
}

/// A client that sends one loan after the other on a connection it keeps.
class loan_client {
 public:
  loan_client(deployment& all, record_file& record, std::size_t node,
              std::string name, const std::set<std::string>& begun)
      : all_{all},
        record_{record},
        node_{node},
        name_{std::move(name)},
        begun_{begun} {}

  int sent = 0;
  int served = 0;
  /// Loans that a server had begun when their kept connection ended.
  int cut = 0;

  void run() {
    const auto fresh = !connection_ || !connection_->usable();
    if (fresh) {
      connection_ = std::make_shared<http_connection>(
          all_.loop, address_at(all_.at(node_).ip, call_port));
    }
    const auto id = name_ + "-" + std::to_string(++sent);
    connection_->send(
        make_call(http::verb::post, "/act/" + id, id, seconds(5), "loan"),
        seconds(6), [this, id, fresh](const exchange_end& end) {
          const auto status = end.answer ? end.answer->result_int() : 0U;
          served += status == 200 ? 1 : 0;
          if (!end.answer && !end.timed_out && !fresh && begun_.count(id) > 0) {
            ++cut;
            record_.line("LOST: %s runs, and its connection ends", id.c_str());
          }
          all_.after(milliseconds(end.answer ? 20 : 200), [this] { run(); });
        });
  }

 private:
  deployment& all_;
  record_file& record_;
  std::size_t node_;
  std::string name_;
  const std::set<std::string>& begun_;
  std::shared_ptr<http_connection> connection_;
};

auto run(const std::string& program, record_file& record) -> verdict {
  auto all = deployment{program};
  for (const auto* zone : {"a", "b", "c"}) all.add(zone, "");
  auto entries = std::vector<std::size_t>{};
  for (const auto* zone : {"a", "b"})
    entries.push_back(all.add(zone, "counter"));
  auto begun = std::set<std::string>{};
  auto servers = std::vector<std::unique_ptr<server>>{};
  for (const auto* service : {"contracte", "documente"}) {
    for (const auto* zone : {"a", "b"}) {
      const auto& x = all.at(all.add(zone, service));
      servers.push_back(
          std::make_unique<server>(all.loop, record, x.ip, x.zone, x.service,
                                   "i-" + x.service + "-" + x.zone));
      // The site file: mean work of a loan and of an upload.
      servers.back()->work = milliseconds(140);
      servers.back()->on_run = [&](const server_request& r) {
        begun.insert(r.id);
      };
    }
  }
  all.start_all();
  for (const auto& x : servers) x->start();
  const auto text = deployment::state_text(
      1,
      {{"act", "non_idempotent", "contracte"}, {"up", "upload", "documente"}},
      {"contracte", "documente", "counter"});
  if (!all.put_state("0", text, seconds(20))) return verdict::not_run;
  auto clients = std::vector<std::unique_ptr<loan_client>>{};
  for (const auto entry : entries) {
    for (auto i = 0; i < 8; ++i) {
      clients.push_back(std::make_unique<loan_client>(
          all, record, entry, "c" + std::to_string(clients.size()), begun));
      clients.back()->run();
    }
  }
  const auto served = [&] {
    auto sum = 0;
    for (const auto& x : clients) sum += x->served;
    return sum;
  };
  if (!all.run_until(seconds(15), [&] { return served() > 100; }))
    return verdict::not_run;

  // The platform.
  auto ends = std::map<std::size_t, int>{};
  auto peaks = std::map<std::size_t, long>{};
  all.every(milliseconds(3), [&] {
    for (auto i = all.member_count(); i < all.size(); ++i) {
      if (!all.at(i).runs()) continue;
      const auto kb = resident_kb(all.at(i).pid());
      peaks[i] = std::max(peaks[i], kb);
      if (kb <= memory_limit_kb) continue;
      ++ends[i];
      record.line("FAULT: the node %s uses %ld MB of %ld MB and is ended",
                  all.at(i).ip.c_str(), kb / 1024, memory_limit_kb / 1024);
      all.at(i).kill(SIGKILL);
      all.after(restart_delay, [&all, i] { all.start(i, false); });
    }
  });

  auto uploads = std::map<unsigned, int>{};
  const auto size = has_trouble() ? large_body : usual_body;
  for (auto round = 0; round < rounds; ++round) {
    for (const auto entry : entries) {
      for (auto i = 0; i < uploads_at_once; ++i) {
        const auto id = "u" + std::to_string(round) + "-" +
                        std::to_string(entry) + "-" + std::to_string(i);
        record.line("%s uploads %zu bytes", id.c_str(), size);
        call_once(all.loop, address_at(all.at(entry).ip, call_port),
                  make_call(http::verb::post, "/up/" + id, id, seconds(5),
                            std::string(size, 's')),
                  seconds(6), [&, id](const exchange_end& end) {
                    const auto status =
                        end.answer ? end.answer->result_int() : 0U;
                    ++uploads[status];
                    record.line("%s is answered %u", id.c_str(), status);
                  });
      }
    }
    all.run_for(round_period);
  }
  all.run_for(seconds(2));

  auto machines = 0;
  auto cut = 0;
  for (const auto& [i, count] : ends) {
    machines += count >= ends_of_a_fault ? 1 : 0;
    record.line("the node %s has ended %d times", all.at(i).ip.c_str(), count);
  }
  for (const auto& [i, kb] : peaks) {
    record.line("the node %s used %ld MB at most", all.at(i).ip.c_str(),
                kb / 1024);
  }
  for (const auto& x : clients) cut += x->cut;
  for (const auto& [status, count] : uploads) {
    record.line("%d uploads were answered %u", count, status);
  }
  record.line("%d machines with %d ends or more, %d loans cut, %d served",
              machines, ends_of_a_fault, cut, served());
  const auto broken =
      machines >= machines_of_a_fault || cut > most_cut_requests;
  return broken ? verdict::broken : verdict::held;
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
