#include "adapters/process.h"

#include <caf/all.hpp>
#include <chrono>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>
#include <variant>

#include "adapters/clock.h"
#include "adapters/log.h"
#include "adapters/token.h"

namespace figwind {
namespace {

constexpr auto drain_poll = std::chrono::milliseconds{50};
// Time for the last heartbeat, which says that the server is gone.
constexpr auto leave_time = std::chrono::milliseconds{200};

auto random_seed() -> std::uint64_t {
  auto device = std::random_device{};
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

auto places(const process_settings& own) -> std::vector<member_location> {
  auto all = std::vector<member_location>{};
  for (const auto& m : own.members) all.push_back({m.address, m.domain});
  return all;
}

auto first_members(const process_settings& own) -> std::vector<member> {
  auto all = std::vector<member>{};
  for (const auto& m : own.members) {
    all.push_back({{m.id}, m.address, {}, true, {}});
  }
  return all;
}

auto load_token(const process_settings& own) -> std::string {
  if (own.token_file.empty()) return {};
  auto token = read_token(own.token_file);
  if (!ok(token)) throw std::runtime_error{to_string(errors(token))};
  return value(token);
}

auto is_for_control(const node_message& x) -> bool {
  return std::holds_alternative<heartbeat>(x) ||
         std::holds_alternative<takeover_done>(x);
}

}  // namespace

void limit_scheduler(caf::actor_system_config& config) {
  config.set("scheduler.max-threads", 1);
  config.set("scheduler.policy", caf::atom("sharing"));
}

process::process(caf::actor_system& system, process_settings own,
                 const std::string& initial_workload)
    : own_{std::move(own)}, metrics_{own_.cluster, own_.domain} {
  auto token = load_token(own_);
  if (own_.is_control) open_control(system);
  if (own_.is_node) open_node(system, initial_workload);
  transport_ = std::make_unique<transport>(
      own_.cluster, own_.control_address,
      [this](const envelope& x) { receive(x); },
      [this](const std::string& reason) {
        metrics_.count_refused_message(reason);
        log_warning("message-refused", {{"reason", reason}});
      });
  transport_ready_ = transport_.get();
  operators_ = std::make_unique<operator_server>(
      own_, operator_ports{node_.get(), control_.get(), &metrics_, token});
}

process::~process() {
  operators_.reset();
  transport_ready_ = nullptr;
  calls_ready_ = nullptr;
  calls_.reset();
  transport_.reset();
  node_.reset();
  control_.reset();
}

void process::open_node(caf::actor_system& system,
                        const std::string& initial_workload) {
  auto options = node_options{};
  options.self = {own_.control_address,
                  {static_cast<std::uint64_t>(wall_now().ms)}};
  options.domain = own_.domain;
  options.call_address = own_.call_address;
  options.members = places(own_);
  options.seed = random_seed();
  auto ports = node_ports{
      [this](const vm_address& to, const node_message& m) { send(to, m); },
      [this](const call_context& context) {
        auto* calls = calls_ready_.load();
        if (calls != nullptr) calls->cancel(context);
      },
      &metrics_};
  node_ = std::make_unique<node_handle>(system, std::move(options),
                                        std::move(ports), initial_workload);
  node_ready_ = node_.get();
  calls_ = std::make_unique<call_server>(own_, *node_);
  calls_ready_ = calls_.get();
}

void process::open_control(caf::actor_system& system) {
  auto options = control_options{};
  options.consensus.self = {own_.member_id};
  options.consensus.address = own_.control_address;
  options.consensus.initial_members = first_members(own_);
  options.self = {own_.control_address, own_.domain};
  options.members = places(own_);
  options.seed = random_seed();
  auto ports = control_ports{
      [this](const vm_address& to, const control_message& m) { send(to, m); }};
  control_ = std::make_unique<control_handle>(
      system, std::move(options), own_.data_folder, std::move(ports));
  control_ready_ = control_.get();
}

void process::send(const vm_address& to, const process_message& message) {
  auto* wire = transport_ready_.load();
  if (wire != nullptr) wire->send(to, message);
}

void process::receive(const envelope& x) {
  const auto* for_node = std::get_if<node_message>(&x.message);
  auto* node = node_ready_.load();
  auto* control = control_ready_.load();
  if (for_node != nullptr && !is_for_control(*for_node)) {
    if (node != nullptr) node->receive(*for_node);
  } else if (control != nullptr) {
    control->receive(x.message);
  }
}

auto process::drain() -> bool {
  if (node_ == nullptr) return true;
  node_->begin_drain();
  auto limit = steady_now() + own_.drain_limit;
  auto drained = node_->status().drained;
  while (!drained && steady_now() < limit) {
    std::this_thread::sleep_for(drain_poll);
    drained = node_->status().drained;
  }
  node_->leave();
  std::this_thread::sleep_for(leave_time);
  return drained;
}

}  // namespace figwind
