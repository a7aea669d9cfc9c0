// The server node: runs calls at the backend server on the same VM.

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <utility>

#include "adapters/clock.h"
#include "adapters/fleet_node_parts.h"
#include "adapters/log.h"
#include "figwind/parse.h"

namespace figwind {
namespace {

// Time after the deadline of a call in which the backend server may still
// respond.
constexpr auto response_grace = milliseconds(150);
// Number of nodes to which a node relays a crash that it did not know.
constexpr std::size_t crash_relays = 2;

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

}  // namespace

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
           on_crash_report(*crash);
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
    out.notice = gate_.notice();
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
  for (const auto& x : actions.withdrawn) server_calls_.erase(x);
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
  limit_log_.count_call();
  if (const auto& server = announcement_tracker_.current()) {
    x.server = server->server;
    x.server_born_ms = server->born_ms;
  }
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

void fleet_node::report_silent_calls(time_point now) {
  for (const auto number : lost_answer_detector_.take_lost(now)) {
    const auto found = std::find_if(
        server_calls_.begin(), server_calls_.end(), [&](const auto& x) {
          return x.second.backend_request_number == number;
        });
    if (found == server_calls_.end()) continue;
    const auto& [which, call] = *found;
    log_request("backend_silent", call.request.chain.root, [&, &call = call] {
      return log_fields{{"request", request_id_of(call)},
                        {"route", call.request.name.value},
                        {"server", call.server.value},
                        {"ms", (now - call.started_at).ms}};
    });
    metrics_.count_backend_call("lost", now - call.started_at);
    auto out = call_reply{};
    out.end = call_end::silent;
    pass_reply(which, call.session, std::move(out));
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

auto fleet_node::notice_of(const server_call& x,
                           const backend_response& response) const
    -> server_notice {
  // A misdirected request was answered by another server.
  if (response.outcome != backend_outcome::answered ||
      response.status == status_misdirected) {
    return {};
  }
  auto out = server_notice{};
  out.is_known = true;
  out.server = x.server;
  out.born_ms = x.server_born_ms;
  const auto* leaving =
      find_header(response.headers, header_names_.server_leaving);
  out.is_leaving = leaving != nullptr && *leaving == "1";
  const auto* text = find_header(response.headers, header_names_.server_limit);
  if (text == nullptr) return out;
  const auto limit = parse_number(*text);
  if (!limit || *limit < 0) {
    log_warning("server_limit_refused",
                {{"server", x.server.value}, {"text", *text}});
    out.is_known = out.is_leaving;
    return out;
  }
  out.is_limited = true;
  out.max_rate = *limit;
  return out;
}

void fleet_node::on_server_leaving(const server_notice& notice) {
  const auto effect = announcement_tracker_.observe_leaving(
      notice.server, notice.born_ms, steady_now());
  if (effect != announcement_effect::changed) return;
  log_info("server_leaving",
           {{"server", notice.server.value}, {"born_ms", notice.born_ms}});
  report_backend_state({});
}

void fleet_node::finish_call(const gate_call& which,
                             backend_response response) {
  const auto found = server_calls_.find(which);
  if (found == server_calls_.end()) return;
  record_outcome(found->second, response.outcome);
  auto out = to_call_reply(response);
  out.notice = notice_of(found->second, response);
  gate_.observe_notice(out.notice, steady_now());
  if (out.notice.is_leaving) on_server_leaving(out.notice);
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
  const auto session = found->second.session;
  if (found->second.started_at.ms > 0) {
    add_run_results(
        x, running_calls_.end(request_id_of(found->second), is_complete(x)));
  } else {
    add_run_results(x, {});
  }
  server_calls_.erase(found);
  pass_reply(which, session, std::move(x));
}

void fleet_node::pass_reply(const gate_call& which,
                            const std::weak_ptr<link_session>& session,
                            call_reply x) {
  x.call = which.call;
  if (which.peer == local_session) {
    // Posted because `send` of this call may still be running.
    asio::post(loop_,
               [this, x = std::move(x)] { on_call_reply(self_address_, x); });
  } else if (const auto open = session.lock()) {
    open->send(x);
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

void fleet_node::on_crash_report(const crash_report& report) {
  const auto news = crash_detector_.merge(report, steady_now());
  if (news.requests.empty() || is_linked_to_all_) return;
  // The reporter may have no link to some nodes; relays reach them.
  links_.send_to_sample(news, crash_relays, random_);
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

}  // namespace figwind
