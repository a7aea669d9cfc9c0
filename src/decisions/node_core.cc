#include "figwind/node_core.h"

#include <algorithm>
#include <utility>

#include "figwind/retry.h"

namespace figwind {
namespace {

// Server lists change within a heartbeat; a draining or silent server must be
// removed from them well within 3 s.
constexpr auto refresh_interval = milliseconds(100);

auto make_own_record(const node_options& options) -> server_record {
  auto self = server_record{};
  self.node = options.self;
  self.domain = options.domain;
  self.call_address = options.call_address;
  return self;
}

auto make_run_options(const node_options& options) -> server_runs_options {
  auto x = server_runs_options{};
  x.self = options.self;
  return x;
}

auto to_server_list(const std::vector<usable_server>& all)
    -> std::vector<server> {
  auto any_confirmed = std::any_of(all.begin(), all.end(),
                                   [](const auto& x) { return x.confirmed; });
  auto list = std::vector<server>{};
  for (const auto& x : all) {
    if (any_confirmed && !x.confirmed) continue;
    const auto& s = x.server;
    list.push_back({s.node, s.call_address, s.domain, static_cast<int>(s.slots),
                    static_cast<int>(s.connections), false});
  }
  return list;
}

auto make_answer(const call_context& context, call_status status,
                 refusal reason) -> call_answer {
  return {status, reason, 0, context.retry_allowance};
}

}  // namespace

node_core::node_core(node_options options, time_point now)
    : options_{std::move(options)},
      random_{options_.seed},
      view_{make_own_record(options_), options_.members, options_.view,
            random_source{random_.bits()}},
      entry_calls_{{options_.self, options_.call_address, options_.domain},
                   random_.bits()},
      server_runs_{make_run_options(options_), random_.bits(), now},
      recorder_{options_.self, {}} {}

auto node_core::put_in_force(config_version version, const std::string& text)
    -> findings {
  auto is_first = version.value == 0 && version_.value == 0;
  if (!is_first && version <= version_) return {};
  auto parsed = parse_workload("configuration", text);
  if (!ok(parsed)) return errors(parsed);
  workload_ = value(std::move(parsed));
  version_ = version;
  if (version.value != 0) view_.note_in_force(version);
  return {};
}

auto node_core::announce(const backend_announcement& backend, time_point now)
    -> node_output {
  server_runs_.announce(backend, now);
  view_.set_service(backend.service);
  return announce_state(server_state::serving, now);
}

auto node_core::announce_state(server_state state, time_point now)
    -> node_output {
  auto out = node_output{};
  const auto& backend = server_runs_.backend();
  view_.announce(state, static_cast<std::uint32_t>(backend.slots),
                 static_cast<std::uint32_t>(backend.connections));
  add(out, view_.on_tick(now));
  return out;
}

auto node_core::check_request(const call_context& context,
                              const call_class& workload_class,
                              request_fingerprint request, time_point now,
                              time_point unix_now) const
    -> std::optional<call_answer> {
  if (server_runs_.is_refused(request, now)) {
    return make_answer(context, call_status::failed, refusal::repeated_crash);
  }
  if (workload_class.idempotent && context.key.value.empty())
    return std::nullopt;
  switch (check_key(context.key, unix_now, options_.keys)) {
    case key_validity::valid:
      return std::nullopt;
    case key_validity::malformed:
      return make_answer(context, call_status::not_run, refusal::bad_key);
    // The request may have run while the key was valid, or at a node whose
    // clock is ahead.
    case key_validity::expired:
    case key_validity::from_future:
      break;
  }
  return make_answer(context, call_status::unknown, refusal::expired_key);
}

auto node_core::on_call_arrived(call_context context,
                                request_fingerprint request, time_point now,
                                time_point unix_now) -> node_output {
  auto out = node_output{};
  const auto* workload_class = find_class(workload_, context.name);
  if (workload_class == nullptr) {
    out.calls.push_back(
        {call_id(context),
         make_answer(context, call_status::not_run, refusal::unknown_class)});
    return out;
  }
  if (context.depth == 0) {
    context.importance = workload_class->importance;
    context.retry_allowance = max_chain_retries;
    context.origin_domain = options_.domain;
  } else {
    context.retry_allowance = server_runs_.take_allowance(
        context.parent, workload_class->service, now);
    child_allowances_[call_id(context)] = {context.parent,
                                           context.retry_allowance};
  }
  if (workload_class->idempotent) context.key = {};
  auto refused =
      check_request(context, *workload_class, request, now, unix_now);
  if (refused) {
    record_call_end({context, *refused, {}, 0, workload_class->service}, now,
                    unix_now);
    out.calls.push_back({call_id(context), *refused});
    return out;
  }
  const auto& service = workload_class->service;
  server_lists_.try_emplace(service);
  auto known = view_.has_list(service);
  if (!known) {
    // Requests the list of a service on its first call.
    view_.servers(service, now);
    add(out, view_.on_tick(now));
  }
  add(out, entry_calls_.on_call_arrived(context, *workload_class, known, now),
      now, unix_now);
  return out;
}

auto node_core::on_attempt_ended(const attempt_report& report, time_point now,
                                 time_point unix_now) -> node_output {
  auto out = node_output{};
  add(out, entry_calls_.on_attempt_ended(report, now), now, unix_now);
  return out;
}

auto node_core::on_attempt_arrived(run_ticket ticket,
                                   const call_context& context,
                                   request_fingerprint request, time_point now,
                                   time_point unix_now) -> node_output {
  auto out = node_output{};
  add(out,
      server_runs_.on_attempt_arrived(ticket, context, request, now, unix_now),
      now);
  return out;
}

auto node_core::on_run_ended(run_ticket ticket, const run_report& report,
                             time_point now, time_point /*unix_now*/)
    -> node_output {
  auto out = node_output{};
  add(out, server_runs_.on_run_ended(ticket, report, now), now);
  return out;
}

auto node_core::begin_drain(time_point now) -> node_output {
  server_runs_.begin_drain();
  return announce_state(server_state::draining, now);
}

auto node_core::announce_gone(time_point now) -> node_output {
  return announce_state(server_state::gone, now);
}

auto node_core::thresholds(const std::vector<service_name>& downstream,
                           time_point now) -> std::vector<threshold_report> {
  auto reports = entry_calls_.relayed_reports(downstream, now);
  reports.insert(reports.begin(), server_runs_.threshold());
  return reports;
}

void node_core::on_server_answer(const node_id& server, bool draining,
                                 time_point now) {
  view_.on_server_answer(server, now, draining);
}

auto node_core::all_servers(time_point now) -> std::vector<usable_server> {
  auto all = std::vector<usable_server>{};
  for (const auto& [service, list] : server_lists_) {
    auto usable = view_.servers(service, now);
    all.insert(all.end(), usable.begin(), usable.end());
  }
  return all;
}

void node_core::restore_from(const node_core& earlier) {
  workload_ = earlier.workload_;
  version_ = earlier.version_;
  burn_ = earlier.burn_;
  if (version_.value != 0) view_.note_in_force(version_);
}

auto node_core::tick(time_point now, time_point unix_now) -> node_output {
  auto out = node_output{};
  if (now >= next_refresh_) {
    next_refresh_ = now + refresh_interval;
    refresh_servers(out, now, unix_now);
    add(out, view_.on_tick(now));
    add(out, recorder_.on_tick(now, unix_now));
  }
  add(out, entry_calls_.tick(now), now, unix_now);
  add(out, server_runs_.tick(now, unix_now), now);
  return out;
}

void node_core::refresh_servers(node_output& out, time_point now,
                                time_point unix_now) {
  for (auto& [service, list] : server_lists_) {
    auto usable = to_server_list(view_.servers(service, now));
    if (!view_.has_list(service)) continue;
    auto unchanged = !list.empty() && usable == list;
    if (unchanged) continue;
    list = std::move(usable);
    add(out, entry_calls_.set_servers(service, list, now), now, unix_now);
  }
}

void node_core::record_call_end(const ended_call& call, time_point now,
                                time_point unix_now) {
  const auto& context = call.context;
  if (context.depth > 0) {
    auto found = child_allowances_.find(call_id(context));
    if (found == child_allowances_.end()) return;
    server_runs_.give_back(found->second.parent, found->second.allowance,
                           call.answer.returned_allowance, call.total_time,
                           now);
    child_allowances_.erase(found);
    return;
  }
  const auto* workload_class = find_class(workload_, context.name);
  if (workload_class == nullptr) return;
  auto spent = context.retry_allowance - call.answer.returned_allowance;
  count_request(burn_, *workload_class,
                {call.answer.status, call.total_time, call.answer.reason,
                 call.service, static_cast<std::uint64_t>(std::max(spent, 0)),
                 static_cast<std::uint64_t>(context.retry_allowance)},
                unix_now);
}

void node_core::add(node_output& out, entry_output from, time_point now,
                    time_point unix_now) {
  for (auto& step : from.actions) out.calls.push_back(std::move(step));
  for (const auto& cancel : from.cancels) {
    out.messages.push_back(
        {cancel.server.address, cancel_request{cancel.request}});
  }
  for (auto& call : entry_calls_.take_ended()) {
    record_call_end(call, now, unix_now);
    out.ended.push_back(std::move(call));
  }
}

void node_core::add(node_output& out, run_output from, time_point now) {
  for (auto& step : from.actions) out.runs.push_back(std::move(step));
  for (auto& x : from.records) {
    out.messages.push_back({x.to, std::move(x.message)});
  }
  for (const auto& x : from.crash_reports) send_crash_report(x, out, now);
  if (from.crash_reports.empty()) return;
  auto announced = announce_state(server_state::starting, now);
  for (auto& x : announced.messages) out.messages.push_back(std::move(x));
}

void node_core::add(node_output& out, recorder_output from) {
  for (auto& x : from.seals) {
    out.messages.push_back({x.to, std::move(x.message)});
  }
  auto leader = view_.leader();
  if (leader.value.empty()) return;
  for (auto& x : from.takeovers) {
    out.messages.push_back({leader, std::move(x)});
  }
}

void node_core::add(node_output& out,
                    const std::vector<outgoing<heartbeat>>& from) {
  for (const auto& x : from) out.messages.push_back({x.to, x.message});
}

void node_core::send_crash_report(const crash_report& report, node_output& out,
                                  time_point now) {
  // A request can be resent to any server of the service, so the report goes to
  // all of them.
  for (const auto& x : view_.servers(server_runs_.backend().service, now)) {
    if (x.server.node == options_.self) continue;
    out.messages.push_back({x.server.node.address, report});
  }
}

}  // namespace figwind
