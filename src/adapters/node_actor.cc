#include "adapters/node_actor.h"

#include <caf/all.hpp>
#include <chrono>
#include <future>
#include <unordered_map>
#include <utility>

#include "adapters/clock.h"
#include "adapters/log.h"

namespace figwind {
namespace {

constexpr auto tick_period = std::chrono::milliseconds{5};

}  // namespace

template <class Reply>
using reply_port = std::shared_ptr<std::promise<Reply>>;

struct call_message {
  call_context context;
  request_fingerprint request;
  reply_port<entry_action> reply;
};

struct attempt_message {
  attempt_report report;
  node_id server;
  bool draining = false;
  reply_port<entry_action> reply;
};

struct run_message {
  run_ticket ticket = 0;
  call_context context;
  request_fingerprint request;
  reply_port<run_reply> reply;
};

struct run_end_message {
  run_ticket ticket = 0;
  run_report report;
  reply_port<run_reply> reply;
};

struct announce_message {
  backend_announcement backend;
};

struct receive_message {
  node_message message;
};

struct status_message {
  reply_port<node_status> reply;
};

struct burn_message {
  reply_port<node_burn> reply;
};

struct undrain_message {
  reply_port<bool> reply;
};

struct drain_message {};
struct leave_message {};
struct tick_message {};

}  // namespace figwind

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::call_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::attempt_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::run_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::run_end_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::announce_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::receive_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::status_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::burn_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::undrain_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::drain_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::leave_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::tick_message)

namespace figwind {
namespace {

/// State of the actor: the decisions and who waits for them.
class node_state {
 public:
  static constexpr const char* name = "node";

  void open(node_options options, node_ports ports,
            const std::string& initial_workload) {
    options_ = std::move(options);
    ports_ = std::move(ports);
    core_ = std::make_unique<node_core>(options_, steady_now());
    if (initial_workload.empty()) return;
    core_->put_in_force({}, initial_workload);
    note_workload();
  }

  void handle(const call_message& x) {
    calls_[call_id(x.context)] = x.reply;
    apply(
        core_->on_call_arrived(x.context, x.request, steady_now(), wall_now()));
  }

  void handle(const attempt_message& x) {
    auto now = steady_now();
    calls_[x.report.call] = x.reply;
    if (x.report.result == transport_result::answered) {
      core_->on_server_answer(x.server, x.draining, now);
    }
    apply(core_->on_attempt_ended(x.report, now, wall_now()));
  }

  void handle(const run_message& x) {
    runs_[x.ticket] = {x.reply, steady_now(), x.context.name};
    apply(core_->on_attempt_arrived(x.ticket, x.context, x.request,
                                    steady_now(), wall_now()));
  }

  void handle(const run_end_message& x) {
    runs_[x.ticket].reply = x.reply;
    apply(core_->on_run_ended(x.ticket, x.report, steady_now(), wall_now()));
  }

  void handle(const announce_message& x) {
    backend_ = x.backend;
    apply(core_->announce(x.backend, steady_now()));
  }

  void handle(const receive_message& x) {
    apply(core_->on_message(x.message, steady_now(), wall_now()));
  }

  void handle(const drain_message& /*x*/) {
    apply(core_->begin_drain(steady_now()));
  }

  void handle(const leave_message& /*x*/) {
    apply(core_->announce_gone(steady_now()));
  }

  void handle(const tick_message& /*x*/) {
    apply(core_->tick(steady_now(), wall_now()));
  }

  void handle(const undrain_message& x) { x.reply->set_value(undrain()); }

  void handle(const status_message& x) { x.reply->set_value(status()); }

  void handle(const burn_message& x) { x.reply->set_value(core_->burn()); }

 private:
  struct waiting_run {
    reply_port<run_reply> reply;
    time_point arrived;
    class_name name;
  };

  void apply(node_output out) {
    for (auto& x : out.calls) perform(x);
    for (auto& x : out.runs) perform(x);
    for (const auto& x : out.messages) ports_.send(x.to, x.message);
    for (const auto& x : out.ended) count(x);
    if (!out.in_force) return;
    note_workload();
    log_info("configuration-in-force", {{"version", out.in_force->value}});
  }

  void perform(entry_action& step) {
    auto waiting = calls_.find(step.id);
    if (waiting == calls_.end()) return;
    auto reply = std::move(waiting->second);
    calls_.erase(waiting);
    reply->set_value(std::move(step));
  }

  void perform(run_action& step) {
    if (step.kind == run_action_kind::cancel) {
      ports_.cancel(step.context);
      return;
    }
    auto waiting = runs_.find(step.ticket);
    if (waiting == runs_.end()) return;
    auto reply = std::move(waiting->second.reply);
    if (step.kind == run_action_kind::answer) {
      auto thresholds =
          core_->thresholds(step.downstream_services, steady_now());
      runs_.erase(waiting);
      reply->set_value(
          {std::move(step), std::move(thresholds), core_->draining()});
      return;
    }
    auto wait = steady_now() - waiting->second.arrived;
    ports_.counters->observe_queue_wait(waiting->second.name, wait);
    reply->set_value({std::move(step), {}, core_->draining()});
  }

  void count(const ended_call& call) {
    ports_.counters->count_call({call.context.name,
                                 call.service,
                                 {},
                                 call.answer.status,
                                 call.answer.reason,
                                 call.total_time});
    if (call.retries > 0) {
      ports_.counters->count_retries(call.context.name,
                                     static_cast<std::uint64_t>(call.retries));
    }
  }

  void note_workload() {
    ports_.counters->set_workload(core_->classes());
    ports_.counters->set_version(core_->version());
  }

  auto undrain() -> bool {
    if (!core_->draining()) return true;
    if (!core_->drained()) return false;
    // A drain is final for one life of a node, so a new life begins.
    options_.self.start.value += 1;
    auto next = std::make_unique<node_core>(options_, steady_now());
    next->restore_from(*core_);
    core_ = std::move(next);
    if (backend_.slots > 0) apply(core_->announce(backend_, steady_now()));
    return true;
  }

  auto status() -> node_status {
    auto now = steady_now();
    const auto& core = *core_;
    auto x = node_status{};
    x.self = core.self();
    x.version = core.version();
    x.ready = core.view().ready();
    x.isolated = core.view().isolated(now);
    x.draining = core.draining();
    x.drained = core.drained();
    x.leader = core.view().leader();
    x.backend = core.runs().backend();
    x.in_flight = core.runs().in_flight();
    x.limit = core.runs().limit(now);
    x.recorded_keys = core.recorder().size();
    x.recorder_bytes = core.recorder().memory();
    x.servers = core_->all_servers(now);
    ports_.counters->set_ready(x.ready);
    ports_.counters->set_isolated(x.isolated);
    ports_.counters->set_in_flight(x.backend.service, x.in_flight);
    ports_.counters->set_limit(x.backend.service, x.limit);
    return x;
  }

  node_options options_;
  node_ports ports_;
  std::unique_ptr<node_core> core_;
  backend_announcement backend_;
  std::unordered_map<request_id, reply_port<entry_action>> calls_;
  std::unordered_map<run_ticket, waiting_run> runs_;
};

auto behave(caf::stateful_actor<node_state>* self, const node_options& options,
            const node_ports& ports, const std::string& initial_workload)
    -> caf::behavior {
  auto& state = self->state;
  state.open(options, ports, initial_workload);
  self->delayed_send(self, tick_period, tick_message{});
  return {
      [&state](const call_message& x) { state.handle(x); },
      [&state](const attempt_message& x) { state.handle(x); },
      [&state](const run_message& x) { state.handle(x); },
      [&state](const run_end_message& x) { state.handle(x); },
      [&state](const announce_message& x) { state.handle(x); },
      [&state](const receive_message& x) { state.handle(x); },
      [&state](const drain_message& x) { state.handle(x); },
      [&state](const leave_message& x) { state.handle(x); },
      [&state](const undrain_message& x) { state.handle(x); },
      [&state](const status_message& x) { state.handle(x); },
      [&state](const burn_message& x) { state.handle(x); },
      [&state, self](const tick_message& x) {
        state.handle(x);
        self->delayed_send(self, tick_period, tick_message{});
      },
  };
}

}  // namespace

// The actor has a thread of its own: the shared scheduler of CAF lets idle
// workers sleep, which adds milliseconds to a call.
node_handle::node_handle(caf::actor_system& system, node_options options,
                         node_ports ports, std::string initial_workload)
    : actor_{system.spawn<caf::detached>(behave, std::move(options),
                                         std::move(ports),
                                         std::move(initial_workload))} {}

node_handle::~node_handle() {
  caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
}

template <class Reply, class Message>
auto node_handle::ask(Message message) -> Reply {
  message.reply = std::make_shared<std::promise<Reply>>();
  auto answer = message.reply->get_future();
  caf::anon_send(actor_, std::move(message));
  return answer.get();
}

auto node_handle::begin_call(const call_context& context,
                             request_fingerprint request) -> entry_action {
  return ask<entry_action>(call_message{context, request, nullptr});
}

auto node_handle::end_attempt(attempt_report report, const node_id& server,
                              bool draining) -> entry_action {
  return ask<entry_action>(
      attempt_message{std::move(report), server, draining, nullptr});
}

auto node_handle::begin_run(const call_context& context,
                            request_fingerprint request) -> run_reply {
  return ask<run_reply>(run_message{next_ticket_++, context, request, nullptr});
}

auto node_handle::end_run(run_ticket ticket, run_report report) -> run_reply {
  return ask<run_reply>(run_end_message{ticket, std::move(report), nullptr});
}

void node_handle::announce(const backend_announcement& backend) {
  caf::anon_send(actor_, announce_message{backend});
}

void node_handle::receive(const node_message& message) {
  caf::anon_send(actor_, receive_message{message});
}

void node_handle::begin_drain() {
  caf::anon_send(actor_, drain_message{});
}

void node_handle::leave() {
  caf::anon_send(actor_, leave_message{});
}

auto node_handle::end_drain() -> bool {
  return ask<bool>(undrain_message{});
}

auto node_handle::status() -> node_status {
  return ask<node_status>(status_message{});
}

auto node_handle::burn() -> node_burn {
  return ask<node_burn>(burn_message{});
}

}  // namespace figwind
