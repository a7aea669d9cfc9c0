#include "figwind/node_core.h"

#include <utility>

namespace figwind {
namespace {

auto refuse(const request_id& id, refusal reason) -> node_effects {
  return {call_effect{id, call_answer{call_status::not_run, reason}}};
}

}  // namespace

node_core::node_core(node_options options)
    : options_{std::move(options)}, random_{options_.seed} {}

void node_core::set_workload(workload classes) {
  workload_ = std::move(classes);
}

void node_core::announce(const backend_announcement& backend) {
  backend_ = backend;
}

auto node_core::call_arrived(const call_context& context, time_point /*now*/)
    -> node_effects {
  const auto* found = find_class(workload_, context.name);
  if (found == nullptr) return refuse(context.id, refusal::unknown_class);
  if (found->service != backend_.service) {
    return refuse(context.id, refusal::no_server);
  }
  auto order = attempt_order{1, options_.call_address, true, context};
  return {call_effect{context.id, order}};
}

auto node_core::attempt_ended(const attempt_report& report, time_point /*now*/)
    -> node_effects {
  return {call_effect{report.id, report.answer}};
}

auto node_core::run_arrived(std::uint64_t ticket,
                            const call_context& /*context*/, time_point /*now*/)
    -> node_effects {
  if (running_ >= backend_.slots) {
    return {
        run_effect{ticket, false, {call_status::not_run, refusal::overload}}};
  }
  ++running_;
  return {run_effect{ticket, true, {}}};
}

auto node_core::run_ended(std::uint64_t /*ticket*/,
                          const call_answer& /*answer*/, time_point /*now*/)
    -> node_effects {
  --running_;
  return {};
}

}  // namespace figwind
