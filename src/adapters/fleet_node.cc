#include "adapters/fleet_node.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <cmath>
#include <cstdio>
#include <set>
#include <utility>

#include "adapters/clock.h"
#include "adapters/log.h"
#include "figwind/parse.h"

namespace figwind {
namespace {

constexpr auto tick_period = milliseconds(10);
constexpr auto link_check_period = milliseconds(50);
// Number of members that must hold a drain before the node acknowledges it, so
// that the drain survives the node.
constexpr std::size_t min_drain_holders = 2;
constexpr auto drain_ack_timeout = milliseconds(600);
// After a start, the node uses its backend server only once `min_drain_holders`
// members have replied with the state before the start, such as a drain. This
// is the longest wait for them.
constexpr auto previous_state_timeout = milliseconds(1500);
// Time after the deadline of a call in which the backend server may still
// respond.
constexpr auto response_grace = milliseconds(150);
// Retry-After of a stopping node: callers retry on another VM or after the
// restart of the node.
constexpr auto stopping_retry_after = milliseconds(1200);
constexpr std::uint64_t local_session = 0;

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_misdirected = 421;
constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

auto retry_after(duration x) -> std::pair<std::string, std::string> {
  auto text = std::array<char, 32>{};
  std::snprintf(text.data(), text.size(), "%.3f", x.ms / 1000);
  return {"Retry-After", text.data()};
}

auto find_header(const header_list& all, const std::string& name)
    -> const std::string* {
  for (const auto& [key, value] : all) {
    if (is_same_header_name(key, name)) return &value;
  }
  return nullptr;
}

/// True if the status promises that the request has not run.
auto promises_not_run(int status) -> bool {
  return status == 408 || status == status_misdirected || status == 429 ||
         status == status_unavailable;
}

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

/// True if the backend server has completed the call without an error.
auto is_complete(const call_reply& x) -> bool {
  return x.end == call_end::answered && x.status < status_server_error;
}

/// Response for a request that ended without one of a backend server.
auto to_http_response(const end_action& x) -> http_server_response {
  switch (x.outcome) {
    case route_outcome::not_run:
      return {status_unavailable, {retry_after(x.retry_after)}, {}};
    case route_outcome::timed_out:
      return {status_timeout, {}, {}};
    default:
      return {status_bad_gateway, {}, {}};
  }
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
             {[this](const vm_address&, fleet_message m) {
                if (const auto* update = std::get_if<member_update>(&m)) {
                  on_member_update(*update);
                } else if (const auto* x = std::get_if<call_reply>(&m)) {
                  on_call_reply(*x);
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
              [this](const vm_address& peer, bool large) {
                on_link_lost(peer, large);
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

auto fleet_node::caller_service() const -> std::string {
  // A restored announcement may be from another VM that had this address, so
  // the configured service takes precedence.
  if (!settings_.service.value.empty()) return settings_.service.value;
  const auto& server = announcement_tracker_.current();
  return server ? server->service.value : std::string{};
}

auto fleet_node::mean_retry_probability() const -> double {
  auto sum = 0.0;
  for (const auto& [which, x] : server_calls_)
    sum += x.request.chain.retry_probability;
  return server_calls_.empty()
             ? 0
             : sum / static_cast<double>(server_calls_.size());
}

auto fleet_node::parent_request_of(const std::string& id) const -> std::string {
  return header_names_.parent_request_of ? header_names_.parent_request_of(id)
                                         : std::string{};
}

auto fleet_node::chain_from_id(const std::string& id, int priority) const
    -> call_chain {
  auto out = call_chain{};
  auto root = id;
  for (auto parent = parent_request_of(id); !parent.empty();
       parent = parent_request_of(parent)) {
    root = parent;
    ++out.depth;
  }
  out.root = hash_request_id(root);
  out.priority = priority;
  // The run that made the call is unknown, as after a restart of the node.
  // Estimate its retry share from the calls at the local server.
  if (out.depth > 0) out.retry_probability = mean_retry_probability();
  return out;
}

// Entry node.

void fleet_node::on_caller_request(http_request request,
                                   std::shared_ptr<http_exchange> exchange) {
  const auto now = steady_now();
  const auto closed = stopping_since_ && !shutdown_policy_.accepts_requests(
                                             now - *stopping_since_);
  if (!routes_ && !closed) {
    hold_until_configured(std::move(request), std::move(exchange));
    return;
  }
  if (closed) {
    refuse_not_ready(*exchange, stopping_retry_after);
    return;
  }
  const auto* to = routes_->find(request.host, request.target);
  if (to == nullptr) {
    const auto id = request.header(header_names_.request_id);
    log_request("request_without_route", hash_request_id(id), [&] {
      return log_fields{{"request", id},
                        {"host", request.host},
                        {"config_version", version_in_force_.value}};
    });
    exchange->respond({status_not_found, {}, {}});
    return;
  }
  auto call = caller_request{};
  call.request_id_text = request.header(header_names_.request_id);
  if (call.request_id_text.empty()) {
    exchange->respond({status_bad_request, {}, {}});
    return;
  }
  const auto time_left = parse_number(request.header(header_names_.time_left));
  auto routed = route_request{};
  auto parent = parent_request_of(call.request_id_text);
  if (const auto* run = running_calls_.find(parent)) {
    routed.chain = running_calls::downstream_chain(*run);
    routed.calls_left = running_calls_.expected_calls_left(*run);
  } else {
    routed.chain = chain_from_id(call.request_id_text, to->priority);
  }
  call.parent_request_id = std::move(parent);
  call.root_request = routed.chain.root;
  routed.time_left = time_left ? milliseconds(*time_left) : to->timeout;
  call.request = std::move(request);
  call.exchange = std::move(exchange);
  call.route_name = to->name;
  call.is_idempotent = to->retry == retry_rule::idempotent;
  call.started_at = now;
  const auto actions = calls_.start(*to, routed, now);
  const auto number = actions.call;
  auto& kept = caller_requests_[number] = std::move(call);
  // The exchange holds this handler and is destroyed before the node.
  kept.exchange->on_disconnect([this, number, id = kept.request_id_text,
                                root = kept.root_request, started = now] {
    caller_requests_.erase(number);
    sent_calls_.erase(number);
    log_request("caller_left", root, [&] {
      return log_fields{{"request", id}, {"ms", (steady_now() - started).ms}};
    });
    metrics_.count_request("caller_left", "", steady_now() - started);
    execute(calls_.on_caller_gone(number, steady_now()), nullptr);
  });
  execute(actions, nullptr);
}

void fleet_node::refuse_not_ready(http_exchange& exchange, duration pause) {
  metrics_.count_request("not_run", "unready", {});
  exchange.respond({status_unavailable, {retry_after(pause)}, {}});
}

void fleet_node::hold_until_configured(
    http_request request, std::shared_ptr<http_exchange> exchange) {
  const auto number = ++last_held_request_;
  exchange->on_disconnect([this, number] { held_requests_.erase(number); });
  held_requests_[number] = {std::move(request), std::move(exchange),
                            steady_now() + startup_policy_.max_hold};
}

void fleet_node::resume_held_requests() {
  for (auto& [number, x] : std::exchange(held_requests_, {})) {
    on_caller_request(std::move(x.request), std::move(x.exchange));
  }
}

void fleet_node::refuse_expired_held_requests(time_point now) {
  for (auto at = held_requests_.begin(); at != held_requests_.end();) {
    if (now < at->second.deadline) {
      ++at;
      continue;
    }
    const auto exchange = std::move(at->second.exchange);
    at = held_requests_.erase(at);
    refuse_not_ready(*exchange, startup_policy_.retry_after(now - started_at_,
                                                            random_.uniform()));
  }
}

void fleet_node::execute(const route_actions& actions,
                         const call_reply* answer) {
  for (const auto& x : actions.cancel) cancel(x);
  if (actions.send) send(*actions.send);
  if (actions.end) finish_request(*actions.end, answer);
}

void fleet_node::send(const send_action& action) {
  const auto found = caller_requests_.find(action.call);
  if (found == caller_requests_.end()) return;
  auto& call = found->second;
  call.last_service = action.service;
  if (action.chain.retry_probability >= 1) metrics_.count_retry();
  log_request("request_sent", call.root_request, [&] {
    return log_fields{{"request", call.request_id_text},
                      {"parent", call.parent_request_id},
                      {"route", call.route_name.value},
                      {"config_version", version_in_force_.value},
                      {"service", action.service.value},
                      {"node", action.node.value},
                      {"server", action.server.value},
                      {"priority", action.chain.priority},
                      {"depth", action.chain.depth},
                      {"repeated", action.chain.retry_probability},
                      {"time_left_ms", action.time_left.ms}};
  });
  auto out = call_request{};
  out.call = action.call;
  out.name = call.route_name;
  out.service = action.service;
  out.server = action.server;
  out.chain = action.chain;
  out.idempotent = call.is_idempotent;
  out.time_left = action.time_left;
  out.max_queue_wait = action.max_queue_wait;
  out.method = call.request.method;
  out.target = call.request.target;
  out.headers = remove_hop_by_hop_headers(call.request.headers);
  std::erase_if(out.headers, [this](const auto& x) {
    return is_same_header_name(x.first, header_names_.time_left) ||
           is_same_header_name(x.first, header_names_.target_server) ||
           is_same_header_name(x.first, header_names_.caller_service);
  });
  out.headers.emplace_back(header_names_.caller_service, caller_service());
  out.body = call.request.body;
  if (is_self(action.node)) {
    sent_calls_.erase(action.call);
    on_call_request({local_session, action.call}, std::move(out), {});
    return;
  }
  const auto large = link_dialer::is_large(out.body.size());
  if (links_.send(action.node, out)) {
    sent_calls_[action.call] = {action.node, large};
    return;
  }
  sent_calls_.erase(action.call);
  // Posted because the actions of this call are still being executed.
  asio::post(loop_, [this, number = action.call] {
    execute(calls_.on_link_lost(number, false, steady_now()), nullptr);
  });
}

void fleet_node::cancel(const cancel_action& action) {
  sent_calls_.erase(action.call);
  if (is_self(action.node)) {
    execute(gate_.cancel({local_session, action.call}, steady_now()));
    return;
  }
  links_.send(action.node, call_cancel{action.call});
}

void fleet_node::finish_request(const end_action& action,
                                const call_reply* answer) {
  sent_calls_.erase(action.call);
  const auto found = caller_requests_.find(action.call);
  if (found == caller_requests_.end()) return;
  const auto call = std::move(found->second);
  caller_requests_.erase(found);
  if (action.reason == refusal::no_server)
    running_calls_.on_no_server(call.parent_request_id);
  const auto is_answer =
      action.outcome == route_outcome::answered && answer != nullptr;
  auto out =
      is_answer
          ? http_server_response{answer->status,
                                 remove_hop_by_hop_headers(answer->headers),
                                 answer->body}
          : to_http_response(action);
  const auto taken = steady_now() - call.started_at;
  metrics_.count_request(to_string(action.outcome), to_string(action.reason),
                         taken);
  const auto failed = !is_answer || out.status >= status_server_error;
  // Failures have a separate event and rate limit, so that answered requests
  // do not displace them in the log.
  log_request(failed ? "request_failed" : "request_answered", call.root_request,
              [&] {
                return log_fields{{"request", call.request_id_text},
                                  {"parent", call.parent_request_id},
                                  {"route", call.route_name.value},
                                  {"config_version", version_in_force_.value},
                                  {"end", to_string(action.outcome)},
                                  {"reason", to_string(action.reason)},
                                  {"status", out.status},
                                  {"node", action.node.value},
                                  {"attempts", action.attempts},
                                  {"outage_ms", action.outage.ms},
                                  {"ms", taken.ms}};
              });
  call.exchange->respond(std::move(out));
}

void fleet_node::on_call_reply(const call_reply& answer) {
  const auto sent = sent_calls_.find(answer.call);
  const auto node =
      sent == sent_calls_.end() ? self_address_ : sent->second.node;
  if (sent != sent_calls_.end()) sent_calls_.erase(sent);
  const auto call = caller_requests_.find(answer.call);
  if (call != caller_requests_.end() &&
      !call->second.parent_request_id.empty()) {
    const auto own =
        calls_.retry_budget_used(call->second.last_service, steady_now());
    const auto below = downstream_retries{
        answer.levels_below, std::max(answer.retry_budget_used, own)};
    running_calls_.on_call_answered(call->second.parent_request_id,
                                    is_complete(answer), below,
                                    answer.thresholds);
    if (is_complete(answer)) {
      running_calls_.on_call_completed(call->second.parent_request_id,
                                       call->second.last_service, node,
                                       answer.thresholds);
    }
    if (answer.no_server_found)
      running_calls_.on_no_server(call->second.parent_request_id);
  }
  execute(calls_.on_answer(answer, steady_now()), &answer);
}

void fleet_node::on_link_lost(const vm_address& peer, bool large) {
  server_update_due_ = true;
  auto lost = std::vector<std::uint64_t>{};
  for (const auto& [number, x] : sent_calls_) {
    if (x.node == peer && x.large == large) lost.push_back(number);
  }
  log_info("link_lost",
           {{"peer", peer.value}, {"large", large}, {"calls", lost.size()}});
  metrics_.count_link_event("lost");
  for (const auto number : lost) {
    sent_calls_.erase(number);
    execute(calls_.on_link_lost(number, true, steady_now()), nullptr);
  }
}

void fleet_node::update_servers() {
  server_update_due_ = false;
  update_retry_slack();
  auto peers = subscriber_.members();
  for (const auto& service : view_.services()) {
    auto all = std::vector<server>{};
    auto reachable = std::vector<server>{};
    for (const auto* entry : view_.nodes_serving(service)) {
      const auto& report = entry->report;
      const auto& address = report.node.address;
      auto x = server{};
      // A restarted backend server counts as another server.
      x.id = {address, {static_cast<std::uint64_t>(report.server.born_ms)}};
      x.call_address = address;
      x.domain = report.domain;
      x.slots = static_cast<int>(report.server.slots);
      calls_.set_server_name(x.id, report.server.server);
      all.push_back(x);
      if (is_self(address)) {
        reachable.push_back(x);
        continue;
      }
      peers.push_back(address);
      if (links_.is_reachable(address)) reachable.push_back(x);
    }
    calls_.set_servers(service, reachable.empty() ? all : reachable);
    const auto before =
        std::exchange(reachable_servers_[service], reachable.size());
    if (reachable.size() > before) calls_.on_servers_reachable(steady_now());
  }
  // A draining server still answers the calls that it has accepted.
  for (const auto& [number, x] : sent_calls_) peers.push_back(x.node);
  links_.set_peers(peers);
}

void fleet_node::update_retry_slack() {
  // Nodes that are not in the view yet use a part of the slack, too.
  constexpr auto min_nodes = 16.0;
  constexpr auto used_share = 0.4;
  const auto nodes = std::max(static_cast<double>(view_.size()), min_nodes);
  calls_.set_retry_slack(
      std::min(settings_.repeat_slack * used_share / nodes, 1.0));
}

// Server node.

void fleet_node::on_session(const std::shared_ptr<link_session>& session) {
  const auto number = session->number();
  auto weak = std::weak_ptr<link_session>{session};
  session->start(
      {[this, number, weak](fleet_message m) {
         if (auto* request = std::get_if<call_request>(&m)) {
           on_call_request({number, request->call}, std::move(*request), weak);
         } else if (const auto* x = std::get_if<call_cancel>(&m)) {
           execute(gate_.cancel({number, x->call}, steady_now()));
         } else if (const auto* crash = std::get_if<crash_report>(&m)) {
           crash_detector_.merge(*crash, steady_now());
         }
       },
       [this, number] { cancel_session_calls(number); }});
}

void fleet_node::on_call_request(const gate_call& which, call_request request,
                                 const std::weak_ptr<link_session>& session) {
  const auto now = steady_now();
  auto& x = server_calls_[which];
  x.request = std::move(request);
  x.session = session;
  x.arrived_at = now;
  const auto* caller =
      find_header(x.request.headers, header_names_.caller_service);
  x.fingerprint =
      fingerprint_of(x.request.name, caller == nullptr ? "" : *caller,
                     x.request.target, x.request.body);
  if (crash_detector_.is_refused(x.fingerprint, now)) {
    execute(gate_actions{{}, {{which, refusal::repeated_crash}}, {}});
    return;
  }
  execute(gate_.submit(which, x.request, now));
}

void fleet_node::execute(const gate_actions& actions) {
  for (const auto& x : actions.refuse) {
    const auto found = server_calls_.find(x.call);
    if (found == server_calls_.end()) continue;
    auto out = call_reply{};
    out.end = call_end::not_run;
    out.reason = x.reason;
    const auto& call = found->second;
    log_request("call_refused", call.request.chain.root, [&] {
      return log_fields{{"request", request_id_of(call)},
                        {"route", call.request.name.value},
                        {"priority", call.request.chain.priority},
                        {"depth", call.request.chain.depth},
                        {"reason", to_string(x.reason)},
                        {"waited_ms", (steady_now() - call.arrived_at).ms},
                        {"time_left_ms", call.request.time_left.ms},
                        {"running", gate_.in_flight()},
                        {"queued", gate_.queued()}};
    });
    metrics_.count_backend_call("refused",
                                steady_now() - found->second.arrived_at);
    send_reply(x.call, std::move(out));
  }
  for (const auto& x : actions.start) start_call(x);
  for (const auto& x : actions.abandon) {
    const auto found = server_calls_.find(x);
    if (found == server_calls_.end() || !found->second.request.idempotent)
      continue;
    backend_.cancel(found->second.backend_request_number);
    lost_answer_detector_.on_ended(found->second.backend_request_number);
    crash_detector_.on_ended(found->second.fingerprint, steady_now());
    running_calls_.end(request_id_of(found->second), false);
    server_calls_.erase(found);
    execute(gate_.finish(x, false, steady_now()));
  }
}

auto fleet_node::make_backend_request(const server_call& x,
                                      duration time_left) const
    -> backend_request {
  auto out = backend_request{};
  const auto& request = x.request;
  out.method = request.method;
  out.target = request.target;
  out.headers = request.headers;
  const auto ms = std::max(std::floor(time_left.ms), 1.0);
  out.headers.emplace_back(header_names_.time_left,
                           std::to_string(static_cast<std::int64_t>(ms)));
  const auto& server = announcement_tracker_.current();
  if (server) {
    out.headers.emplace_back(header_names_.target_server, server->server.value);
  }
  out.body = request.body;
  out.timeout = time_left + response_grace;
  out.echo_header = header_names_.request_id;
  out.echo_value = request_id_of(x);
  out.refusal_header = header_names_.not_executed;
  return out;
}

auto fleet_node::request_id_of(const server_call& x) const -> std::string {
  const auto* id = find_header(x.request.headers, header_names_.request_id);
  return id == nullptr ? std::string{} : *id;
}

void fleet_node::start_call(const gate_call& which) {
  const auto found = server_calls_.find(which);
  if (found == server_calls_.end()) return;
  auto& x = found->second;
  x.started_at = steady_now();
  running_calls_.start(request_id_of(x), x.request.name, x.request.chain);
  crash_detector_.on_started(x.fingerprint, x.started_at);
  const auto left = x.request.time_left - (steady_now() - x.arrived_at);
  x.backend_request_number = backend_.send(
      make_backend_request(x, left), [this, which](backend_response response) {
        finish_call(which, std::move(response));
      });
  // Another call may run only in place of one that may be repeated.
  if (x.request.idempotent) {
    lost_answer_detector_.on_started(x.backend_request_number, x.request.name,
                                     x.started_at);
  }
}

void fleet_node::end_lost_calls(time_point now) {
  for (const auto number : lost_answer_detector_.take_lost(now)) {
    const auto found = std::find_if(
        server_calls_.begin(), server_calls_.end(), [&](const auto& x) {
          return x.second.backend_request_number == number;
        });
    if (found == server_calls_.end()) continue;
    backend_.cancel(number);
    auto response = backend_response{};
    response.outcome = backend_outcome::lost;
    response.error_message = "later calls were answered";
    finish_call(found->first, std::move(response));
  }
}

auto fleet_node::to_call_reply(const backend_response& x) const -> call_reply {
  auto out = call_reply{};
  if (x.outcome == backend_outcome::unreachable) {
    out.end = call_end::not_run;
    out.reason = refusal::no_server;
    return out;
  }
  if (x.outcome != backend_outcome::answered) return out;
  const auto refused =
      find_header(x.headers, header_names_.not_executed) != nullptr ||
      x.status == status_misdirected;
  if (refused) {
    out.end = call_end::not_run;
    out.reason =
        x.status == status_misdirected ? refusal::no_server : refusal::overload;
    out.refused_by_server = true;
    return out;
  }
  const auto is_success = x.status >= 200 && x.status < 300;
  const auto is_signed =
      find_header(x.headers, header_names_.response_signature) != nullptr;
  const auto is_encoded = find_header(x.headers, "Content-Encoding") != nullptr;
  // A success without the signature header is not from the server. A status
  // that promises "not run" is passed on only with the server's header for it.
  if ((is_success && !is_signed) || is_encoded || promises_not_run(x.status)) {
    return out;
  }
  out.end = call_end::answered;
  out.status = x.status;
  out.headers = x.headers;
  out.body = x.body;
  return out;
}

void fleet_node::record_outcome(const server_call& x, backend_outcome outcome) {
  const auto now = steady_now();
  if (outcome == backend_outcome::answered)
    return crash_detector_.on_answered(x.fingerprint, now);
  if (outcome != backend_outcome::failed)
    return crash_detector_.on_ended(x.fingerprint, now);
  if (!crash_detector_.on_disconnected(x.fingerprint, now)) return;
  backend_.probe([this](bool accepts) {
    const auto report = crash_detector_.on_probed(accepts, steady_now());
    if (accepts) return;
    log_warning("backend_crashed", {{"suspects", report.requests.size()}});
    links_.broadcast(report);
  });
}

void fleet_node::finish_call(const gate_call& which,
                             backend_response response) {
  const auto found = server_calls_.find(which);
  if (found == server_calls_.end()) return;
  record_outcome(found->second, response.outcome);
  auto out = to_call_reply(response);
  const auto number = found->second.backend_request_number;
  if (out.end == call_end::answered) {
    lost_answer_detector_.on_answered(number, steady_now());
  } else {
    lost_answer_detector_.on_ended(number);
  }
  if (out.end != call_end::answered) {
    const auto& call = found->second;
    const auto& server = announcement_tracker_.current();
    log_request("backend_gave_no_answer", call.request.chain.root, [&] {
      return log_fields{{"request", request_id_of(call)},
                        {"route", call.request.name.value},
                        {"server", server ? server->server.value : ""},
                        {"end", to_string(response.outcome)},
                        {"status", response.status},
                        {"problem", response.error_message},
                        {"not_run", out.end == call_end::not_run},
                        {"ms", (steady_now() - call.started_at).ms}};
    });
  }
  metrics_.count_backend_call(to_string(response.outcome),
                              steady_now() - found->second.started_at);
  const auto complete = is_complete(out);
  send_reply(which, std::move(out));
  execute(gate_.finish(which, complete, steady_now()));
}

void fleet_node::send_reply(const gate_call& which, call_reply x) {
  const auto found = server_calls_.find(which);
  if (found == server_calls_.end()) return;
  const auto session = found->second.session.lock();
  if (found->second.started_at.ms > 0) {
    add_run_results(
        x, running_calls_.end(request_id_of(found->second), is_complete(x)));
  } else {
    add_run_results(x, {});
  }
  server_calls_.erase(found);
  x.call = which.call;
  if (which.peer == local_session) {
    // Posted because `send` of this call may still be running.
    asio::post(loop_, [this, x = std::move(x)] { on_call_reply(x); });
  } else if (session) {
    session->send(x);
  }
}

void fleet_node::add_run_results(call_reply& x, running_call run) {
  const auto is_error =
      x.end == call_end::answered && x.status >= status_server_error;
  // A timeout does not show whether the server waited for its calls or was slow
  // itself.
  x.server_failed =
      is_error && x.status != status_timeout && run.calls_failed == 0;
  x.no_server_found = run.no_server_found;
  x.levels_below = run.downstream.levels_below;
  x.retry_budget_used = run.downstream.used_fraction;
  x.thresholds = std::move(run.thresholds);
  const auto own = gate_.reported_threshold(steady_now());
  if (!own) return;
  const auto& server = announcement_tracker_.current();
  if (server) x.thresholds.push_back({server->service, self_address_, *own});
}

void fleet_node::cancel_session_calls(std::uint64_t session) {
  auto calls = std::vector<gate_call>{};
  for (auto at = server_calls_.lower_bound({session, 0});
       at != server_calls_.end() && at->first.peer == session; ++at) {
    calls.push_back(at->first);
  }
  for (const auto& which : calls) {
    execute(gate_.cancel(which, steady_now()));
  }
}

// Control.

void fleet_node::handle_announcement(const announcement& x,
                                     const std::function<void()>& done) {
  const auto effect = announcement_tracker_.apply(x, steady_now());
  if (effect != announcement_effect::refreshed) {
    log_info("announcement", {{"server", x.server.value},
                              {"state", to_string(x.state)},
                              {"sequence", x.sequence},
                              {"born_ms", x.born_ms},
                              {"effect", to_string(effect)}});
  }
  if (effect == announcement_effect::changed) {
    report_backend_state(done);
  } else {
    done();
  }
}

void fleet_node::handle_departure(const server_name& server,
                                  std::int64_t born_ms,
                                  const std::function<void()>& done) {
  const auto effect =
      announcement_tracker_.leave(server, born_ms, steady_now());
  log_info("departure", {{"server", server.value},
                         {"born_ms", born_ms},
                         {"effect", to_string(effect)}});
  if (effect == announcement_effect::changed) {
    report_backend_state(done);
  } else {
    done();
  }
}

void fleet_node::update_gate() {
  const auto& server = announcement_tracker_.current();
  const auto usable = previous_state_known_ && server;
  gate_.set_server(usable ? server : std::nullopt, steady_now());
}

void fleet_node::report_backend_state(const std::function<void()>& done) {
  update_gate();
  if (!previous_state_known_) {
    if (done) done();
    return;
  }
  const auto& server = announcement_tracker_.current();
  const auto accepts =
      !gate_closed_ && server && server->state == announced_state::serving;
  const auto number = subscriber_.report(server, accepts);
  send_status_messages();
  if (!done) return;
  if (accepts) {
    done();
    return;
  }
  pending_drain_acks_.push_back(
      {number, steady_now() + drain_ack_timeout, done});
}

void fleet_node::on_member_update(const member_update& update) {
  const auto now = steady_now();
  const auto effect = subscriber_.on_update(update, view_, now);
  if (effect.directory_changed) server_update_due_ = true;
  if (!previous_state_known_) {
    const auto* own = view_.find(self_address_);
    const auto is_past = own != nullptr && own->report.node.start !=
                                               subscriber_.incarnation_number();
    // Another VM may have had this address before; check the service.
    const auto same_service =
        is_past && (settings_.service.value.empty() ||
                    own->report.server.service == settings_.service);
    if (same_service) announcement_tracker_.apply(own->report.server, now);
  }
  if (effect.config) load_config(update, *effect.config);
  if (effect.config_refused) {
    log_warning("configuration_patch_refused",
                {{"version", update.version.value},
                 {"base", update.config_base.value},
                 {"member", update.member.value}});
  }
  std::erase_if(pending_drain_acks_, [&](pending_drain_ack& x) {
    if (subscriber_.acknowledgement_count(x.report_number) < min_drain_holders)
      return false;
    x.on_acknowledged();
    return true;
  });
}

void fleet_node::load_config(const member_update& from, std::string text) {
  config_worker_.run(
      [parse = config_parser_, text = std::move(text)] {
        auto config = parse(text);
        return ok(config)
                   ? result<route_table>{route_table{value(std::move(config))}}
                   : result<route_table>{errors(config)};
      },
      [this, version = from.version, member = from.member,
       is_current = from.has_leader](result<route_table> routes) {
        if (!ok(routes)) {
          log_error("configuration_unreadable",
                    {{"version", version.value},
                     {"problem", to_string(errors(routes))}});
          return;
        }
        routes_ = value(std::move(routes));
        version_in_force_ = version;
        caller_server_.set_limits(routes_->config().limits);
        resume_held_requests();
        log_info("configuration_in_force",
                 {{"version", version.value},
                  {"member", member.value},
                  {"member_current", is_current},
                  {"routes", routes_->config().routes.size()}});
      });
}

void fleet_node::send_status_messages() {
  for (const auto& x : subscriber_.on_tick(steady_now())) {
    links_.send(x.to, x.message);
  }
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
  end_lost_calls(now);
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
  metrics_.set_in_flight(gate_.in_flight(), gate_.queued());
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
