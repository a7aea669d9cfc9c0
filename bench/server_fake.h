// Servers as queues with slots and a service time, called by entry nodes of
// several failure domains on a virtual clock.

#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "figwind/balancer.h"
#include "figwind/retry.h"

namespace figwind::bench {

/// A deployment of section 1 of the design page, with one service.
struct deployment {
  std::string name;
  int domains = 4;
  int servers = 4;
  int slots = 75;
  /// One node on each VM.
  int entry_nodes = 16;
};

inline const auto sprijin = deployment{"ro-centru", 4, 4, 75, 16};
inline const auto zdrojowa = deployment{"pl-central", 3, 5, 70, 14};

struct load_shape {
  double calls_per_node = 250;
  double service_ms = 40;
  /// Exponential service times; otherwise even between half and 1.5 times.
  bool exponential = true;
  /// One random server is slowed `slow_factor` times in each period.
  double slow_factor = 10;
  double slow_ms = 0;
  double period_ms = 2500;
  double total_ms = 30'000;
  /// Share of calls of another class that take 100 times as long.
  double long_share = 0;
  /// Nodes of the first domain get this many times the calls.
  double skew = 1;
  /// Servers of other domains are not used.
  bool local_only = false;
  bool round_robin = false;
  bool hedging = false;
};

struct load_figures {
  /// Of the short calls.
  std::vector<double> latencies;
  int calls = 0;
  /// Of all calls, until demand ends.
  int answered = 0;
  int attempts = 0;
  int refused = 0;
  int remote = 0;

  auto quantile(double q) -> double {
    const auto at = static_cast<std::ptrdiff_t>(
        q * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + at,
                     latencies.end());
    return latencies[static_cast<std::size_t>(at)];
  }
};

class load_run {
 public:
  load_run(deployment where, load_shape shape, std::uint64_t seed)
      : where_{std::move(where)}, shape_{shape}, random_{seed} {
    auto slow_random = random_source{seed + 1};
    const auto periods = shape.total_ms / shape.period_ms + 2;
    for (auto i = 0; i < static_cast<int>(periods); ++i) {
      slow_.push_back(static_cast<int>(
          slow_random.index(static_cast<std::size_t>(where_.servers))));
    }
    for (auto i = 0; i < where_.servers; ++i) {
      infos_.push_back({{{"s" + std::to_string(i)}, {1}},
                        {"s" + std::to_string(i)},
                        domain(i),
                        where_.slots,
                        550});
    }
    servers_.resize(infos_.size());
    for (auto i = 0; i < where_.entry_nodes; ++i) {
      auto settings = balancer_settings{};
      settings.self = {"n" + std::to_string(i)};
      settings.domain = domain(i);
      if (shape.local_only) settings.subset.remote = 0;
      nodes_.push_back(node{balancer{settings}});
      nodes_.back().routes.set_servers(service_, infos_);
      next_arrival(i);
    }
  }

  auto run() -> load_figures {
    while (!events_.empty()) {
      auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.act();
    }
    return std::move(figures_);
  }

 private:
  struct event {
    double at = 0;
    std::uint64_t order = 0;
    std::function<void()> act;
    auto operator<(const event& o) const -> bool {
      return at != o.at ? at > o.at : order > o.order;
    }
  };
  struct node {
    balancer routes;
    retry_throttle share{};
    hedge_timer timer{};
    std::size_t turn = 0;
  };
  struct request {
    int node = 0;
    double start = 0;
    bool is_long = false;
    bool done = false;
    int allowance = max_chain_retries;
    std::vector<node_id> tried{};
    std::vector<std::size_t> attempts{};
  };
  struct attempt {
    std::size_t request = 0;
    std::size_t server = 0;
    attempt_ticket ticket = 0;
    double sent = 0;
    double delay = 0;
    bool over = false;
    bool running = false;
  };
  struct backend {
    int busy = 0;
    std::deque<std::size_t> queue;
  };

  auto domain(int i) const -> failure_domain {
    return {"d" + std::to_string(i % where_.domains)};
  }

  void at(double when, std::function<void()> act) {
    events_.push({when, order_++, std::move(act)});
  }

  auto now() const -> time_point { return {now_}; }

  void next_arrival(int n) {
    const auto busy = n % where_.domains == 0 ? shape_.skew : 1.0;
    const auto rate = shape_.calls_per_node * busy;
    const auto gap = -std::log(1 - random_.uniform()) * 1000 / rate;
    if (now_ + gap > shape_.total_ms) return;
    at(now_ + gap, [this, n] {
      next_arrival(n);
      arrive(n);
    });
  }

  void arrive(int n) {
    const auto is_long =
        shape_.long_share > 0 && random_.chance(shape_.long_share);
    requests_.push_back({n, now_, is_long});
    ++figures_.calls;
    nodes_[static_cast<std::size_t>(n)].share.count_first_attempt();
    send(requests_.size() - 1, true);
  }

  auto node_of(std::size_t r) -> node& {
    return nodes_[static_cast<std::size_t>(requests_[r].node)];
  }

  auto pick(std::size_t r, bool first) -> server_choice {
    auto& n = node_of(r);
    if (!shape_.round_robin) {
      const auto may_probe = first && !requests_[r].is_long;
      return n.routes.choose(service_, requests_[r].tried, now(), random_,
                             may_probe);
    }
    return {&infos_[n.turn++ % infos_.size()]};
  }

  void send(std::size_t r, bool first) {
    auto& q = requests_[r];
    auto& n = node_of(r);
    const auto chosen = pick(r, first);
    if (chosen.target == nullptr) return refuse(r);
    const auto number = attempts_.size();
    auto a = attempt{};
    a.request = r;
    a.server = server_index(chosen.target->id);
    a.sent = now_;
    a.delay = chosen.target->domain == domain(q.node) ? 0.05 : 4.5;
    if (!shape_.round_robin) {
      const auto kind = class_name{q.is_long ? "scan" : "lookup"};
      a.ticket = n.routes.start_attempt(service_, chosen, kind, now());
    }
    attempts_.push_back(a);
    q.tried.push_back(chosen.target->id);
    q.attempts.push_back(number);
    ++figures_.attempts;
    figures_.remote += a.delay > 1 ? 1 : 0;
    at(now_ + a.delay, [this, number] { reach(number); });
    const auto wait = chosen.probe ? 0.0 : n.timer.delay().ms;
    if (first && !q.is_long && shape_.hedging && (chosen.probe || wait > 0)) {
      at(now_ + wait, [this, r] { hedge(r); });
    }
  }

  auto server_index(const node_id& id) const -> std::size_t {
    return std::stoul(id.address.value.substr(1));
  }

  void hedge(std::size_t r) {
    auto& q = requests_[r];
    if (q.done || q.attempts.size() != 1 || q.allowance == 0) return;
    if (!node_of(r).share.try_take_hedge()) return;
    --q.allowance;
    send(r, false);
  }

  void refuse(std::size_t r) {
    auto& q = requests_[r];
    for (const auto a : q.attempts) {
      if (!attempts_[a].over) return;
    }
    if (!q.done) ++figures_.refused;
    q.done = true;
  }

  void reach(std::size_t a) {
    if (attempts_[a].over) return;
    auto& s = servers_[attempts_[a].server];
    const auto limit = static_cast<std::size_t>(where_.slots);
    if (s.busy < where_.slots) return start(a);
    if (shape_.round_robin || s.queue.size() < limit) {
      s.queue.push_back(a);
      return;
    }
    at(now_ + attempts_[a].delay, [this, a] { overloaded(a); });
  }

  void overloaded(std::size_t a) {
    if (attempts_[a].over) return;
    attempts_[a].over = true;
    const auto r = attempts_[a].request;
    auto& n = node_of(r);
    n.routes.refuse_attempt(attempts_[a].ticket, refusal::overload, now());
    n.share.count_attempt_end(true);
    auto& q = requests_[r];
    if (q.done) return;
    if (q.allowance == 0 || !n.share.try_take_retry()) return refuse(r);
    --q.allowance;
    send(r, false);
  }

  void start(std::size_t a) {
    ++servers_[attempts_[a].server].busy;
    attempts_[a].running = true;
    const auto work = shape_.exponential
                          ? -shape_.service_ms * std::log(1 - random_.uniform())
                          : shape_.service_ms * (0.5 + random_.uniform());
    at(end_of(attempts_[a].server, work), [this, a] { complete(a); });
  }

  /// When `work` started now ends on a server that is slowed now and then.
  auto end_of(std::size_t s, double work) const -> double {
    auto t = now_;
    while (true) {
      const auto period = static_cast<std::size_t>(t / shape_.period_ms);
      const auto from = static_cast<double>(period) * shape_.period_ms;
      const auto mine =
          period < slow_.size() && slow_[period] == static_cast<int>(s);
      const auto slow = mine && t < from + shape_.slow_ms;
      const auto until = slow ? from + shape_.slow_ms : from + shape_.period_ms;
      const auto factor = slow ? shape_.slow_factor : 1.0;
      if (t + work * factor <= until) return t + work * factor;
      work -= (until - t) / factor;
      t = until;
    }
  }

  void complete(std::size_t a) {
    if (!attempts_[a].running) return;
    leave(a);
    at(now_ + attempts_[a].delay, [this, a] { answer(a); });
  }

  void leave(std::size_t a) {
    attempts_[a].running = false;
    auto& s = servers_[attempts_[a].server];
    --s.busy;
    while (!s.queue.empty() && s.busy < where_.slots) {
      const auto next = s.queue.front();
      s.queue.pop_front();
      if (!attempts_[next].over) start(next);
    }
  }

  void answer(std::size_t a) {
    if (attempts_[a].over) return;
    end_attempt(a, attempt_outcome::answered);
    auto& q = requests_[attempts_[a].request];
    node_of(attempts_[a].request).share.count_attempt_end(false);
    q.done = true;
    figures_.answered += now_ <= shape_.total_ms ? 1 : 0;
    if (!q.is_long) figures_.latencies.push_back(now_ - q.start);
    for (const auto other : q.attempts) {
      if (!attempts_[other].over) cancel(other);
    }
  }

  void end_attempt(std::size_t a, attempt_outcome end) {
    attempts_[a].over = true;
    if (shape_.round_robin) return;
    auto& n = node_of(attempts_[a].request);
    n.routes.finish_attempt(attempts_[a].ticket, end, now());
    const auto is_long = requests_[attempts_[a].request].is_long;
    if (end == attempt_outcome::answered && !is_long) {
      n.timer.observe({now_ - attempts_[a].sent});
    }
  }

  void cancel(std::size_t a) {
    end_attempt(a, attempt_outcome::cancelled);
    at(now_ + attempts_[a].delay, [this, a] {
      if (attempts_[a].running) leave(a);
    });
  }

  deployment where_;
  load_shape shape_;
  random_source random_;
  service_name service_{"depozit"};
  std::vector<int> slow_;
  std::vector<server> infos_;
  std::vector<backend> servers_;
  std::vector<node> nodes_;
  std::vector<request> requests_;
  std::vector<attempt> attempts_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  double now_ = 0;
  load_figures figures_;
};

}  // namespace figwind::bench
