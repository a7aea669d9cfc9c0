#include "adapters/fleet_node.h"

#include <utility>

#include "adapters/clock.h"
#include "adapters/fleet_node_parts.h"
#include "adapters/log.h"

namespace figwind {
namespace {

constexpr auto tick_period = milliseconds(10);
constexpr auto link_check_period = milliseconds(50);
// After a start, the node uses its backend server only once `min_drain_holders`
// members have replied with the state before the start, such as a drain. This
// is the longest wait for them.
constexpr auto previous_state_timeout = milliseconds(1500);

auto route_options(const fleet_settings& x) -> route_call_options {
  auto out = route_call_options{};
  out.self = address_at(x.ip, x.link_port);
  out.domain = x.domain;
  // The rest is a margin for retries that are unknown to other nodes, as after
  // restarts.
  constexpr auto used_share = 0.95;
  out.retries.max_ratio = x.repeat_ratio * used_share;
  out.retries.window = x.repeat_window;
  return out;
}

auto subscriber_settings(const fleet_settings& x) -> subscriber_options {
  auto out = subscriber_options{};
  out.self = address_at(x.ip, x.link_port);
  out.domain = x.domain;
  out.start = {static_cast<std::uint64_t>(wall_now().ms)};
  return out;
}

auto seed_of(const fleet_settings& x) -> std::uint64_t {
  return std::hash<std::string>{}(x.name) ^
         static_cast<std::uint64_t>(wall_now().ms * 1000);
}

}  // namespace

fleet_node::fleet_node(event_loop& loop, const fleet_settings& settings,
                       call_header_names header_names,
                       route_config_parser config_parser)
    : loop_{loop},
      settings_{settings},
      header_names_{std::move(header_names)},
      config_parser_{std::move(config_parser)},
      self_address_{address_at(settings.ip, settings.link_port)},
      random_{seed_of(settings)},
      started_at_{steady_now()},
      shutdown_policy_{settings.grace},
      announcement_tracker_{settings.backend_address},
      config_worker_{loop},
      subscriber_{subscriber_settings(settings), link_seeds(settings),
                  steady_now()},
      calls_{route_options(settings), random_source{random_.bits()}},
      crash_detector_{
          {self_address_, {static_cast<std::uint64_t>(wall_now().ms)}}},
      backend_{loop},
      links_{loop,
             settings.ip,
             large_link_use::on_demand,
             {[this](const vm_address& peer, fleet_message m) {
                if (const auto* update = std::get_if<member_update>(&m)) {
                  on_member_update(*update);
                } else if (const auto* x = std::get_if<call_reply>(&m)) {
                  on_call_reply(peer, *x);
                }
              },
              [this](const vm_address& peer) {
                log_info("link_opened", {{"peer", peer.value}});
                metrics_.count_link_event("opened");
                server_update_due_ = true;
                subscriber_.on_reachable(peer);
                send_status_messages();
                const auto crashes = crash_detector_.full_report(steady_now());
                if (!crashes.requests.empty()) links_.send(peer, crashes);
              },
              [this](const vm_address& peer, link_kind kind) {
                on_link_lost(peer, kind);
              }}},
      listener_{
          loop, *parse_endpoint(link_listen_address(settings)),
          [this](const std::shared_ptr<link_session>& x) { on_session(x); }},
      caller_server_{loop, *parse_endpoint(settings.call_address),
                     [this](http_request request,
                            std::shared_ptr<http_exchange> exchange) {
                       on_caller_request(std::move(request),
                                         std::move(exchange));
                     }} {
  backend_.set_address(settings.backend_address);
  links_.set_peers(subscriber_.members());
  links_.check_links(started_at_);
  tick_timer_ = std::make_unique<periodic_timer<std::function<void()>>>(
      loop, tick_period, [this] { tick(); });
  link_check_timer_ = std::make_unique<periodic_timer<std::function<void()>>>(
      loop, link_check_period, [this] { check_links(); });
}

auto fleet_node::is_self(const vm_address& node) const -> bool {
  return node == self_address_;
}

auto fleet_node::is_ready() const -> bool {
  return routes_.has_value() && !stopping_since_;
}

void fleet_node::tick() {
  const auto now = steady_now();
  delay_log_.on_tick(now);
  if (!previous_state_known_) {
    const auto enough =
        subscriber_.reachable_member_count(now) >= min_drain_holders;
    if (enough || now - started_at_ > previous_state_timeout) {
      previous_state_known_ = true;
      report_backend_state({});
    }
  }
  send_status_messages();
  execute(gate_.tick(now));
  report_silent_calls(now);
  const auto& server = announcement_tracker_.current();
  limit_log_.on_tick(server ? server->server.value : "", gate_.rate(), now);
  for (const auto& actions : calls_.on_tick(now)) execute(actions, nullptr);
  std::erase_if(pending_drain_acks_, [&](pending_drain_ack& x) {
    if (now < x.deadline) return false;
    x.on_acknowledged();
    return true;
  });
  refuse_expired_held_requests(now);
  if (server_update_due_) update_servers();
  for (const auto& x : calls_.take_breaker_changes()) {
    log_warning(x.refused ? "route_refused" : "route_accepted",
                {{"route", x.name.value},
                 {"reason", to_string(refusal::no_server)},
                 {"outage_ms", x.outage.ms},
                 {"config_version", version_in_force_.value}});
  }
  if (stopping_since_) advance_shutdown();
}

void fleet_node::check_links() {
  const auto now = steady_now();
  if (links_.check_links(now)) server_update_due_ = true;
  listener_.check_liveness(now);
  backend_.close_expired_connections(now);
}

auto fleet_node::metrics_text() -> std::string {
  metrics_.set_config_version(static_cast<double>(version_in_force_.value));
  metrics_.set_in_flight(gate_.in_flight(), gate_.queued(),
                         static_cast<double>(server_calls_.size()));
  metrics_.set_backend_rate(gate_.rate(),
                            static_cast<double>(limit_log_.total_calls()));
  metrics_.set_ready(is_ready());
  return metrics_.text();
}

void fleet_node::reload(const fleet_settings& settings) {
  settings_.seeds = settings.seeds;
  settings_.service = settings.service;
  settings_.backend_address = settings.backend_address;
  announcement_tracker_.set_address(settings.backend_address);
  backend_.set_address(settings.backend_address);
  subscriber_.set_seeds(link_seeds(settings_));
  server_update_due_ = true;
}

void fleet_node::stop(std::function<void()> done) {
  if (stopping_since_) return;
  stopping_since_ = steady_now();
  on_stopped_ = std::move(done);
  log_info("stopping",
           {{"calls", calls_.active_calls()}, {"held", server_calls_.size()}});
  calls_.wait_for_silent_servers();
  caller_server_.disable_keep_alive();
}

void fleet_node::advance_shutdown() {
  const auto passed = steady_now() - *stopping_since_;
  if (!gate_closed_ && !shutdown_policy_.starts_runs(passed)) {
    gate_closed_ = true;
    gate_.close();
    report_backend_state({});
  }
  const auto idle =
      caller_server_.pending_requests() == 0 && server_calls_.empty();
  if (!shutdown_policy_.may_exit(passed, idle)) return;
  const auto is_closed = caller_server_.shutdown();
  const auto must_exit = shutdown_policy_.may_exit(passed, false);
  if (!is_closed && !must_exit) return;
  if (on_stopped_) std::exchange(on_stopped_, {})();
}

}  // namespace figwind
