#include "figwind/balancer.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace figwind {

namespace {

/// Expected completions over which the slowness of a server is estimated. With
/// 6 completions and a threshold of 2.5, 5% of the calls left the domain
/// although no server was slow.
constexpr auto slowness_window = 10.0;
/// Weight of the prior assumption that a server has the mean latency.
constexpr auto slowness_prior = 1.0;
/// Slowness from which on a server is ejected.
constexpr auto ejection_slowness = 3.0;
/// Slowness below which servers count as equally fast.
constexpr auto equal_speed_slowness = 1.5;
/// Answers over which the relative latency of a server is estimated, and the
/// weight, in answers, of the prior assumption that it is 1. Single latencies
/// differ far more than servers do.
constexpr auto latency_answers = 30.0;
constexpr auto latency_prior = 4.0;
/// A server gets calls in proportion to this power of its speed. A server that
/// is twice as fast gets four times as many calls, and slow ones are still
/// observed.
constexpr auto speed_exponent = 2.0;
/// Exponent of the ratio of two loads. Of two servers, one with a load higher
/// by a tenth gets a third of the calls.
constexpr auto load_exponent = 8.0;
/// Number of entry nodes that are assumed to use a server as much as this one
/// does.
constexpr auto assumed_entry_nodes = 4.0;
/// Time constant with which observations lose their weight.
constexpr auto observation_time_constant = seconds(5);
/// Longest latency of a successful probe, in mean latencies of the class.
constexpr auto max_probe_latency = 2.0;
/// Successful probes that end an ejection. A server that is 10 times slower
/// passes one probe in 5, so one is not enough.
constexpr auto probes_to_restore = 2;
/// The same after errors. A server that fails half of its calls passes six
/// probes in 1 of 64 cases.
constexpr auto probes_to_restore_after_errors = 6;
constexpr auto min_probe_interval = milliseconds(50);
constexpr auto max_probe_interval = milliseconds(1600);
constexpr auto min_backoff = milliseconds(2);
constexpr auto max_backoff = milliseconds(50);
constexpr auto max_unreachable_backoff = seconds(1);
/// The same at a server that limits the rate of its calls. Of a hundred entry
/// nodes, each may send it a call every few seconds.
constexpr auto max_limited_backoff = seconds(4);
/// Factor of the backoff after an answer of such a server. With doubling after
/// a refusal, three of four attempts succeed in the long run.
constexpr auto limited_backoff_decrease = 0.8;
constexpr auto unlimited = 1e9;

/// Mean latency of one class, robust against single long latencies.
struct latency_mean {
  double mean_ms = 0;
  double count = 0;

  void add(double ms) {
    constexpr auto max_count = 100.0;
    // An answer of a slow server counts as at most 4 mean latencies.
    const auto capped = count < 1 ? ms : std::min(ms, 4 * mean_ms);
    count = std::min(count + 1, max_count);
    mean_ms += (capped - mean_ms) / count;
  }
};

/// Observations of one server. Slowness is the time that its calls have spent
/// in flight, in mean latencies of their classes, for each completion. Calls
/// still in flight count, so a stalled server is detected before it answers.
struct observed_server {
  server info;
  bool draining = false;
  int in_flight = 0;
  /// Sum of 1 / mean latency over the calls in flight.
  double rate = 0;
  double exposure = slowness_window;
  double completions = slowness_window;
  time_point last_update;
  bool ejected = false;
  int successful_probes = 0;
  bool had_errors = false;
  bool probe_in_flight = false;
  duration probe_interval = min_probe_interval;
  time_point next_probe;
  time_point backoff_until;
  duration backoff = min_backoff;
  duration unreachable_backoff = min_backoff;
  bool rate_limited = false;
  /// Calls of this node in flight at which the server recently refused one.
  /// Other entry nodes use the rest of its slots.
  double own_limit = unlimited;
  /// Mean latency of its answers, relative to the mean latencies of their
  /// classes.
  double relative_latency = 1;
  double latency_samples = 0;

  void advance(time_point now) {
    const auto elapsed = now - last_update;
    if (elapsed.ms <= 0) return;
    last_update = now;
    // A server without calls yields no observations, so earlier ones lose
    // weight.
    const auto decay = std::exp(-(elapsed / observation_time_constant));
    exposure = slowness_window + (exposure - slowness_window) * decay;
    completions = slowness_window + (completions - slowness_window) * decay;
    const auto added = rate * elapsed.ms;
    if (added <= 0) return;
    const auto kept = std::exp(-added / slowness_window);
    exposure = exposure * kept + slowness_window * (1 - kept);
    completions *= kept;
  }

  auto slowness() const -> double {
    return (exposure + slowness_prior) / (completions + slowness_prior);
  }

  auto full(time_point now) const -> bool {
    const auto limit = std::min<double>(own_limit, info.slots);
    return in_flight >= limit || now < backoff_until;
  }

  /// A server that cannot be reached ends its calls at once, so it has none in
  /// flight; only a backoff keeps calls away from it.
  void count_no_answer(time_point now) {
    constexpr auto weight = 4.0;
    exposure += weight;
    unreachable_backoff =
        std::min(unreachable_backoff * 2, max_unreachable_backoff);
    backoff_until = std::max(backoff_until, now + unreachable_backoff);
  }

  /// An error costs callers more than a slow answer. With this weight, a server
  /// that fails half of its calls is ejected, and one that fails a seventh of
  /// them gets fewer.
  void count_error() {
    constexpr auto weight = 5.0;
    completions += 1;
    exposure += 1 + weight;
    had_errors = true;
  }

  void count_refusal(time_point now) {
    lower_limit();
    backoff_until = now + backoff;
    const auto most = rate_limited ? max_limited_backoff : max_backoff;
    backoff = std::min(backoff * 2, most);
  }

  void shorten_backoff(time_point now) {
    if (!rate_limited) {
      backoff = min_backoff;
      return;
    }
    backoff = std::max(backoff * limited_backoff_decrease, min_backoff);
    backoff_until = now + backoff;
  }

  void lower_limit() {
    const auto refused_at = std::min<double>(own_limit, in_flight + 1);
    own_limit = std::max(refused_at * 0.9, 1.0);
  }

  void raise_limit() {
    if (own_limit < info.slots) own_limit += 1 / own_limit;
  }

  void add_latency(double relative) {
    constexpr auto max_relative = 4.0;
    latency_samples = std::min(latency_samples + 1, latency_answers);
    relative_latency += (std::min(relative, max_relative) - relative_latency) /
                        (latency_samples + latency_prior);
  }

  /// Expected latency of a call, in mean latencies of its class.
  auto cost() const -> double {
    // Small differences between the last few calls are random.
    const auto slow = slowness() < equal_speed_slowness ? 1.0 : slowness();
    return std::max(slow, relative_latency);
  }

  auto weight() const -> double {
    return std::pow(relative_latency, -speed_exponent);
  }

  auto load() const -> double {
    const auto used = assumed_entry_nodes * in_flight / std::max(info.slots, 1);
    return cost() * (1 + used);
  }
};

using observed_server_ptr = std::shared_ptr<observed_server>;

struct service_state {
  std::vector<observed_server_ptr> local;
  std::vector<observed_server_ptr> remote;
  std::map<class_name, latency_mean> mean_latencies;

  template <class Visit>
  void for_each(Visit&& visit) const {
    for (const auto& s : local) visit(s);
    for (const auto& s : remote) visit(s);
  }

  auto size() const -> std::size_t { return local.size() + remote.size(); }

  auto ejected_count() const -> std::size_t {
    auto count = std::size_t{0};
    for_each(
        [&](const observed_server_ptr& s) { count += s->ejected ? 1 : 0; });
    return count;
  }
};

struct active_attempt {
  service_state* service = nullptr;
  observed_server_ptr target;
  latency_mean* class_latency = nullptr;
  time_point started;
  double rate = 0;
  bool probe = false;
};

auto contains(std::span<const node_id> excluded, const node_id& id) -> bool {
  return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

/// Draws one candidate; faster servers have a higher weight. Returns its index.
auto draw_candidate(const std::vector<observed_server*>& candidates,
                    double total, random_source& random) -> std::size_t {
  auto left = random.uniform() * total;
  for (auto i = std::size_t{0}; i + 1 < candidates.size(); ++i) {
    left -= candidates[i]->weight();
    if (left < 0) return i;
  }
  return candidates.size() - 1;
}

/// Draws two candidates and returns one of them, most likely the one with the
/// lower load.
auto choose_of_two(std::vector<observed_server*>& candidates,
                   random_source& random) -> observed_server* {
  if (candidates.empty()) return nullptr;
  auto total = 0.0;
  for (const auto* x : candidates) total += x->weight();
  const auto first = draw_candidate(candidates, total, random);
  auto* a = candidates[first];
  if (candidates.size() == 1) return a;
  total -= a->weight();
  candidates[first] = candidates.back();
  candidates.pop_back();
  auto* b = candidates[draw_candidate(candidates, total, random)];
  // Small differences in load are random and have little influence.
  const auto ratio = std::pow(a->load() / b->load(), load_exponent);
  return random.chance(1 / (1 + ratio)) ? a : b;
}

template <class Accept>
void collect_candidates(const std::vector<observed_server_ptr>& from,
                        std::span<const node_id> excluded,
                        std::vector<observed_server*>& out, Accept&& accept) {
  for (const auto& s : from) {
    if (s->draining || contains(excluded, s->info.id)) continue;
    if (accept(*s)) out.push_back(s.get());
  }
}

}  // namespace

struct balancer::state {
  balancer_settings settings;
  std::map<service_name, service_state> services;
  std::unordered_map<attempt_ticket, active_attempt> attempts;
  attempt_ticket next_ticket = 1;
  std::vector<observed_server*> candidates;

  auto round_trip(const observed_server& s) const -> double {
    return s.info.domain == settings.domain ? 0.0
                                            : settings.remote_round_trip.ms;
  }

  void eject_if_slow(service_state& service, observed_server& s,
                     time_point now);
  auto server_due_for_probe(const service_state& service,
                            std::span<const node_id> excluded, time_point now)
      -> observed_server*;
  auto pick_server(const service_state& service,
                   std::span<const node_id> excluded, time_point now,
                   random_source& random) -> observed_server*;
  auto remove_attempt(attempt_ticket ticket, time_point now) -> active_attempt;
  void end_probe(active_attempt& r, attempt_outcome end, double relative,
                 time_point now);
  auto keep_observations(const service_state& old,
                         const std::vector<server>& chosen)
      -> std::vector<observed_server_ptr>;
};

balancer::balancer(balancer_settings settings)
    : state_{std::make_unique<state>()} {
  state_->settings = std::move(settings);
}

balancer::balancer(balancer&&) noexcept = default;
auto balancer::operator=(balancer&&) noexcept -> balancer& = default;
balancer::~balancer() = default;

auto balancer::state::keep_observations(const service_state& old,
                                        const std::vector<server>& chosen)
    -> std::vector<observed_server_ptr> {
  auto out = std::vector<observed_server_ptr>{};
  for (const auto& info : chosen) {
    auto kept = observed_server_ptr{};
    old.for_each([&](const observed_server_ptr& s) {
      if (s->info.id == info.id) kept = s;
    });
    if (!kept) kept = std::make_shared<observed_server>();
    kept->info = info;
    // The list may be older than the server's own notice that it is draining.
    kept->draining = kept->draining || info.draining;
    out.push_back(std::move(kept));
  }
  return out;
}

void balancer::set_servers(const service_name& service,
                           const std::vector<server>& servers) {
  const auto& settings = state_->settings;
  auto split = split_by_domain(servers, settings.domain);
  const auto local = rendezvous_subset(settings.self, std::move(split.local),
                                       settings.subset.local);
  const auto remote = rendezvous_subset(settings.self, std::move(split.remote),
                                        settings.subset.remote);
  auto& observed = state_->services[service];
  auto new_local = state_->keep_observations(observed, local);
  observed.remote = state_->keep_observations(observed, remote);
  observed.local = std::move(new_local);
}

void balancer::state::eject_if_slow(service_state& service, observed_server& s,
                                    time_point now) {
  s.advance(now);
  if (s.ejected || s.slowness() < ejection_slowness) return;
  const auto share =
      settings.max_ejected_share.value * static_cast<double>(service.size());
  const auto limit = service.size() < 2 ? 0.0 : std::max(share, 1.0);
  if (static_cast<double>(service.ejected_count() + 1) > limit) return;
  s.ejected = true;
  s.successful_probes = 0;
  s.probe_interval = min_probe_interval;
  s.next_probe = now + s.probe_interval;
}

auto balancer::state::server_due_for_probe(const service_state& service,
                                           std::span<const node_id> excluded,
                                           time_point now) -> observed_server* {
  observed_server* due = nullptr;
  service.for_each([&](const observed_server_ptr& s) {
    if (!s->ejected || s->probe_in_flight || s->draining) return;
    if (now < s->next_probe || contains(excluded, s->info.id)) return;
    due = s.get();
  });
  return due;
}

auto balancer::state::pick_server(const service_state& service,
                                  std::span<const node_id> excluded,
                                  time_point now, random_source& random)
    -> observed_server* {
  const auto free = [now](const observed_server& s) {
    return !s.ejected && !s.full(now);
  };
  const auto not_backing_off = [now](const observed_server& s) {
    return now >= s.backoff_until;
  };
  const auto any = [](const observed_server&) { return true; };
  const auto attempt = [&](bool local, bool remote, auto accept) {
    candidates.clear();
    if (local) collect_candidates(service.local, excluded, candidates, accept);
    if (remote)
      collect_candidates(service.remote, excluded, candidates, accept);
    return choose_of_two(candidates, random);
  };
  if (auto* s = attempt(true, false, free)) return s;
  if (auto* s = attempt(false, true, free)) return s;
  if (auto* s = attempt(true, true, not_backing_off)) return s;
  // Leaves the refusal to the server node, which has its exact slots and the
  // importance of its queued calls; the load at this node is an estimate.
  return attempt(true, true, any);
}

auto balancer::choose(const service_name& service,
                      std::span<const node_id> excluded, time_point now,
                      random_source& random, bool may_probe) -> server_choice {
  const auto found = state_->services.find(service);
  if (found == state_->services.end()) return {.reason = refusal::no_server};
  auto& observed = found->second;
  observed.for_each([&](const observed_server_ptr& s) {
    state_->eject_if_slow(observed, *s, now);
  });
  if (may_probe) {
    if (auto* s = state_->server_due_for_probe(observed, excluded, now)) {
      return {&s->info, true, state_->round_trip(*s) > 0};
    }
  }
  if (auto* s = state_->pick_server(observed, excluded, now, random)) {
    return {&s->info, false, state_->round_trip(*s) > 0};
  }
  auto serving = false;
  observed.for_each(
      [&](const observed_server_ptr& s) { serving |= !s->draining; });
  return {.reason = serving ? refusal::overload : refusal::no_server};
}

auto balancer::start_attempt(const service_name& service,
                             const server_choice& chosen,
                             const class_name& kind, time_point now)
    -> attempt_ticket {
  const auto found = state_->services.find(service);
  if (found == state_->services.end()) return 0;
  auto& observed = found->second;
  auto target = observed_server_ptr{};
  observed.for_each([&](const observed_server_ptr& s) {
    if (&s->info == chosen.target) target = s;
  });
  if (!target) return 0;
  auto& mean = observed.mean_latencies[kind];
  target->advance(now);
  ++target->in_flight;
  // The round trip to another failure domain is expected, too.
  const auto expected = mean.mean_ms + state_->round_trip(*target);
  const auto rate = mean.mean_ms > 0 ? 1 / expected : 0.0;
  target->rate += rate;
  target->probe_in_flight |= chosen.probe;
  const auto ticket = state_->next_ticket++;
  state_->attempts[ticket] = {&observed, target, &mean,
                              now,       rate,   chosen.probe};
  return ticket;
}

auto balancer::state::remove_attempt(attempt_ticket ticket, time_point now)
    -> active_attempt {
  const auto found = attempts.find(ticket);
  if (found == attempts.end()) return {};
  auto r = std::move(found->second);
  attempts.erase(found);
  auto& s = *r.target;
  s.advance(now);
  --s.in_flight;
  s.rate = s.in_flight == 0 ? 0.0 : std::max(s.rate - r.rate, 0.0);
  if (r.probe) s.probe_in_flight = false;
  return r;
}

void balancer::state::end_probe(active_attempt& r, attempt_outcome end,
                                double relative, time_point now) {
  auto& s = *r.target;
  if (!s.ejected) return;
  if (end == attempt_outcome::cancelled && relative <= max_probe_latency)
    return;
  if (end == attempt_outcome::answered && relative <= max_probe_latency) {
    s.next_probe = now;
    const auto needed =
        s.had_errors ? probes_to_restore_after_errors : probes_to_restore;
    if (++s.successful_probes < needed) return;
    s.ejected = false;
    s.had_errors = false;
    s.exposure = slowness_window;
    s.completions = slowness_window;
    return;
  }
  s.successful_probes = 0;
  s.probe_interval = std::min(s.probe_interval * 2, max_probe_interval);
  s.next_probe = now + s.probe_interval;
}

void balancer::set_rate_limited(attempt_ticket ticket, bool is_limited,
                                time_point now) {
  const auto found = state_->attempts.find(ticket);
  if (found == state_->attempts.end()) return;
  auto& s = *found->second.target;
  if (s.rate_limited && !is_limited) {
    s.backoff = min_backoff;
    s.backoff_until = now;
  }
  s.rate_limited = is_limited;
}

void balancer::finish_attempt(attempt_ticket ticket, attempt_outcome end,
                              time_point now) {
  auto r = state_->remove_attempt(ticket, now);
  if (r.target == nullptr) return;
  auto& s = *r.target;
  const auto elapsed_ms = (now - r.started).ms - state_->round_trip(s);
  const auto latency = std::max(elapsed_ms, 0.01);
  const auto relative =
      r.class_latency->mean_ms > 0 ? latency / r.class_latency->mean_ms : 1;
  if (r.probe) state_->end_probe(r, end, relative, now);
  if (end == attempt_outcome::answered) {
    s.completions += r.rate > 0 ? 1 : 0;
    s.shorten_backoff(now);
    s.unreachable_backoff = min_backoff;
    s.raise_limit();
    s.add_latency(relative);
    r.class_latency->add(latency);
  }
  // A quick error must not make a server look fast.
  if (end == attempt_outcome::other_error && r.rate > 0) {
    s.completions += 1;
    s.exposure += std::max(1 - (now - r.started).ms * r.rate, 0.0);
  }
  if (end == attempt_outcome::server_error) s.count_error();
  if (end == attempt_outcome::no_answer) s.count_no_answer(now);
  state_->eject_if_slow(*r.service, s, now);
}

void balancer::refuse_attempt(attempt_ticket ticket, refusal reason,
                              time_point now) {
  auto r = state_->remove_attempt(ticket, now);
  if (r.target == nullptr) return;
  auto& s = *r.target;
  if (reason == refusal::draining) s.draining = true;
  if (reason != refusal::overload) return;
  s.count_refusal(now);
}

void balancer::mark_draining(const service_name& service, const node_id& id) {
  state_->services[service].for_each([&](const observed_server_ptr& s) {
    if (s->info.id == id) s->draining = true;
  });
}

auto balancer::has_room(const service_name& service, time_point now) const
    -> bool {
  const auto found = state_->services.find(service);
  if (found == state_->services.end()) return false;
  auto has_room = false;
  found->second.for_each([&](const observed_server_ptr& s) {
    has_room |=
        !s->rate_limited && !s->draining && !s->ejected && !s->full(now);
  });
  return has_room;
}

auto balancer::subset(const service_name& service) const
    -> std::vector<server> {
  auto out = std::vector<server>{};
  const auto found = state_->services.find(service);
  if (found == state_->services.end()) return out;
  found->second.for_each(
      [&](const observed_server_ptr& s) { out.push_back(s->info); });
  return out;
}

auto balancer::ejected_servers(const service_name& service) const
    -> std::vector<node_id> {
  auto out = std::vector<node_id>{};
  const auto found = state_->services.find(service);
  if (found == state_->services.end()) return out;
  found->second.for_each([&](const observed_server_ptr& s) {
    if (s->ejected) out.push_back(s->info.id);
  });
  return out;
}

auto balancer::mean_latency(const service_name& service,
                            const class_name& kind) const -> duration {
  const auto found = state_->services.find(service);
  if (found == state_->services.end()) return {};
  const auto mean = found->second.mean_latencies.find(kind);
  return {mean == found->second.mean_latencies.end() ? 0.0
                                                     : mean->second.mean_ms};
}

}  // namespace figwind
