// The entry node: sends callers' requests to server nodes.

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <set>
#include <utility>

#include "adapters/clock.h"
#include "adapters/fleet_node_parts.h"
#include "adapters/log.h"
#include "figwind/parse.h"

namespace figwind {
namespace {

// Retry-After of a stopping node: callers retry on another VM or after the
// restart of the node.
constexpr auto stopping_retry_after = milliseconds(1200);
// Links of a node to the other nodes of its service in its failure domain, and
// in all others.
constexpr std::size_t max_links_within_service = 32;

auto retry_after(duration x) -> std::pair<std::string, std::string> {
  auto text = std::array<char, 32>{};
  std::snprintf(text.data(), text.size(), "%.3f", x.ms / 1000);
  return {"Retry-After", text.data()};
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
  if (routed.chain.depth == 0 && !can_finish(*to, routed.time_left, now)) {
    refuse_not_ready(*exchange, stopping_retry_after);
    return;
  }
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
    log_request("caller_left", root, [&] {
      return log_fields{{"request", id}, {"ms", (steady_now() - started).ms}};
    });
    metrics_.count_request("caller_left", "", steady_now() - started);
    execute(calls_.on_caller_gone(number, steady_now()), nullptr);
    sent_calls_.erase(number);
  });
  execute(actions, nullptr);
}

auto fleet_node::can_finish(const route& to, duration time_left,
                            time_point now) const -> bool {
  if (!stopping_since_) return true;
  const auto longest = std::min(time_left, to.timeout);
  const auto expected = std::min(calls_.usual_latency(to.name, now), longest);
  return shutdown_policy_.can_finish(now - *stopping_since_, expected);
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
  out.notice = action.notice;
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
  if (const auto link = links_.send(action.node, out)) {
    sent_calls_[action.call] = {action.node, *link};
    return;
  }
  sent_calls_.erase(action.call);
  // Posted because the actions of this call are still being executed.
  asio::post(loop_, [this, number = action.call] {
    execute(calls_.on_link_lost(number, false, steady_now()), nullptr);
  });
}

void fleet_node::cancel(const cancel_action& action) {
  if (is_self(action.node)) {
    execute(gate_.cancel({local_session, action.call}, steady_now()));
    return;
  }
  const auto sent = sent_calls_.find(action.call);
  if (sent == sent_calls_.end()) return;
  links_.send_on(sent->second.node, sent->second.link,
                 call_cancel{action.call});
  sent_calls_.erase(sent);
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

void fleet_node::on_call_reply(const vm_address& from,
                               const call_reply& answer) {
  const auto sent = sent_calls_.find(answer.call);
  const auto node =
      sent == sent_calls_.end() ? self_address_ : sent->second.node;
  // A reply that was on its way when the call was cancelled and sent to another
  // node says nothing about that node.
  if (node != from) return;
  if (answer.end == call_end::silent) {
    execute(calls_.on_server_silent(answer.call, steady_now()), nullptr);
    return;
  }
  if (sent != sent_calls_.end()) sent_calls_.erase(sent);
  const auto call = caller_requests_.find(answer.call);
  if (call != caller_requests_.end() &&
      !call->second.parent_request_id.empty()) {
    const auto own =
        calls_.retry_budget_used(call->second.last_service, steady_now());
    const auto below = downstream_retries{
        answer.levels_below, std::max(answer.retry_budget_used, own)};
    const auto thresholds = calls_.binding_thresholds(answer, steady_now());
    running_calls_.on_call_answered(call->second.parent_request_id,
                                    is_complete(answer), below, thresholds);
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

void fleet_node::on_link_lost(const vm_address& peer, link_kind kind) {
  server_update_due_ = true;
  auto lost = std::vector<std::uint64_t>{};
  for (const auto& [number, x] : sent_calls_) {
    if (x.node == peer && x.link == kind) lost.push_back(number);
  }
  log_info("link_lost", {{"peer", peer.value},
                         {"large", kind == link_kind::large},
                         {"calls", lost.size()}});
  metrics_.count_link_event("lost");
  for (const auto number : lost) {
    sent_calls_.erase(number);
    execute(calls_.on_link_lost(number, true, steady_now()), nullptr);
  }
}

auto fleet_node::servers_to_link_of(const service_name& service)
    -> std::vector<server> {
  auto all = std::vector<server>{};
  for (const auto* entry : view_.nodes_serving(service)) {
    const auto& report = entry->report;
    auto x = server{};
    // A restarted backend server counts as another server.
    x.id = {report.node.address,
            {static_cast<std::uint64_t>(report.server.born_ms)}};
    x.call_address = report.node.address;
    x.domain = report.domain;
    x.slots = static_cast<int>(report.server.slots);
    calls_.set_server_name(x.id, report.server.server);
    all.push_back(std::move(x));
  }
  // A request that crashes servers may come again at any server of the
  // service, so the nodes of one service tell each other directly.
  auto limits = subset_limits{};
  if (service.value == caller_service()) {
    limits = {max_links_within_service, max_links_within_service};
  }
  return servers_to_link(
      self_address_, settings_.domain, all,
      [this](const server& x) { return links_.has_failed(x.call_address); },
      limits);
}

void fleet_node::update_servers() {
  server_update_due_ = false;
  update_retry_slack();
  auto linked = std::set<vm_address>{self_address_};
  for (const auto& service : view_.services()) {
    const auto all = servers_to_link_of(service);
    auto reachable = std::vector<server>{};
    for (const auto& x : all) {
      linked.insert(x.call_address);
      if (is_self(x.call_address) || links_.is_reachable(x.call_address))
        reachable.push_back(x);
    }
    calls_.set_servers(service, reachable.empty() ? all : reachable);
    const auto before =
        std::exchange(reachable_servers_[service], reachable.size());
    if (reachable.size() > before) calls_.on_servers_reachable(steady_now());
  }
  is_linked_to_all_ = linked.size() >= view_.size();
  linked.erase(self_address_);
  // A draining server still answers the calls that it has accepted.
  for (const auto& [number, x] : sent_calls_) linked.insert(x.node);
  for (const auto& member : subscriber_.members()) linked.insert(member);
  links_.set_peers({linked.begin(), linked.end()});
}

void fleet_node::update_retry_slack() {
  // Nodes that are not in the view yet use a part of the slack, too.
  constexpr auto min_nodes = 16.0;
  constexpr auto used_share = 0.4;
  const auto nodes = std::max(static_cast<double>(view_.size()), min_nodes);
  calls_.set_retry_slack(
      std::min(settings_.repeat_slack * used_share / nodes, 1.0));
}

}  // namespace figwind
