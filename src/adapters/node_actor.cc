#include "adapters/node_actor.h"

#include <atomic>
#include <caf/all.hpp>
#include <future>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "adapters/clock.h"

namespace figwind {

/// A step that an HTTP thread waits for.
struct call_request {
  call_context context;
  std::shared_ptr<std::promise<call_effect>> reply;
};

struct attempt_report_message {
  attempt_report report;
  std::shared_ptr<std::promise<call_effect>> reply;
};

struct run_request {
  std::uint64_t ticket = 0;
  call_context context;
  std::shared_ptr<std::promise<run_effect>> reply;
};

struct run_end {
  std::uint64_t ticket = 0;
  call_answer answer;
};

struct announcement {
  backend_announcement backend;
};

}  // namespace figwind

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::call_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::attempt_report_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::run_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::run_end)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::announcement)

namespace figwind {

/// What HTTP threads may read without asking the actor.
struct node_handle::shared {
  std::atomic<std::uint64_t> next_ticket{1};
  std::mutex mutex;
  vm_address backend;
};

namespace {

struct node_state {
  static constexpr const char* name = "node";

  std::unique_ptr<node_core> core;
  std::unordered_map<request_id, std::shared_ptr<std::promise<call_effect>>>
      calls;
  std::unordered_map<std::uint64_t, std::shared_ptr<std::promise<run_effect>>>
      runs;

  void apply(const node_effects& effects) {
    for (const auto& effect : effects) {
      std::visit([this](const auto& x) { perform(x); }, effect);
    }
  }

  void perform(const call_effect& effect) {
    auto waiting = calls.find(effect.id);
    if (waiting == calls.end()) return;
    waiting->second->set_value(effect);
    calls.erase(waiting);
  }

  void perform(const run_effect& effect) {
    auto waiting = runs.find(effect.ticket);
    if (waiting == runs.end()) return;
    waiting->second->set_value(effect);
    runs.erase(waiting);
  }
};

auto begin(node_state& state, call_context context) -> node_effects {
  if (context.depth == 0) {
    const auto* found = find_class(state.core->classes(), context.name);
    if (found != nullptr) context.importance = found->importance;
  }
  return state.core->call_arrived(context, steady_now());
}

auto behave(caf::stateful_actor<node_state>* self, const node_options& options,
            const workload& initial) -> caf::behavior {
  auto& state = self->state;
  state.core = std::make_unique<node_core>(options);
  state.core->set_workload(initial);
  return {
      [&state](const call_request& x) {
        state.calls[x.context.id] = x.reply;
        state.apply(begin(state, x.context));
      },
      [&state](const attempt_report_message& x) {
        state.calls[x.report.id] = x.reply;
        state.apply(state.core->attempt_ended(x.report, steady_now()));
      },
      [&state](const run_request& x) {
        state.runs[x.ticket] = x.reply;
        state.apply(state.core->run_arrived(x.ticket, x.context, steady_now()));
      },
      [&state](const run_end& x) {
        state.apply(state.core->run_ended(x.ticket, x.answer, steady_now()));
      },
      [&state](const announcement& x) { state.core->announce(x.backend); },
  };
}

}  // namespace

node_handle::node_handle(caf::actor_system& system, node_options options,
                         workload initial)
    : shared_{std::make_shared<shared>()},
      actor_{system.spawn(behave, std::move(options), std::move(initial))} {}

node_handle::~node_handle() {
  caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
}

auto node_handle::begin_call(const call_context& context) -> call_effect {
  auto reply = std::make_shared<std::promise<call_effect>>();
  auto step = reply->get_future();
  caf::anon_send(actor_, call_request{context, std::move(reply)});
  return step.get();
}

auto node_handle::end_attempt(const attempt_report& report) -> call_effect {
  auto reply = std::make_shared<std::promise<call_effect>>();
  auto step = reply->get_future();
  caf::anon_send(actor_, attempt_report_message{report, std::move(reply)});
  return step.get();
}

auto node_handle::begin_run(const call_context& context) -> run_effect {
  auto reply = std::make_shared<std::promise<run_effect>>();
  auto verdict = reply->get_future();
  auto ticket = shared_->next_ticket++;
  caf::anon_send(actor_, run_request{ticket, context, std::move(reply)});
  return verdict.get();
}

void node_handle::end_run(std::uint64_t ticket, const call_answer& answer) {
  caf::anon_send(actor_, run_end{ticket, answer});
}

void node_handle::announce(const backend_announcement& backend) {
  {
    auto lock = std::lock_guard{shared_->mutex};
    shared_->backend = backend.address;
  }
  caf::anon_send(actor_, announcement{backend});
}

auto node_handle::backend_address() -> vm_address {
  auto lock = std::lock_guard{shared_->mutex};
  return shared_->backend;
}

}  // namespace figwind
