// The exchange of a node with its backend server and with control members.

#include <utility>

#include "adapters/clock.h"
#include "adapters/fleet_node_parts.h"
#include "adapters/log.h"

namespace figwind {
namespace {

constexpr auto drain_ack_timeout = milliseconds(600);

}  // namespace

void fleet_node::handle_announcement(const announcement& x,
                                     const std::function<void()>& done) {
  if (!has_plausible_start(x, wall_now())) {
    log_warning("announcement_refused",
                {{"server", x.server.value}, {"born_ms", x.born_ms}});
    return done();
  }
  const auto effect = announcement_tracker_.apply(x, steady_now());
  if (effect != announcement_effect::refreshed) {
    log_info("announcement", {{"server", x.server.value},
                              {"state", to_string(x.state)},
                              {"sequence", x.sequence},
                              {"born_ms", x.born_ms},
                              {"effect", to_string(effect)}});
  }
  acknowledge(effect, done);
}

void fleet_node::handle_departure(const server_name& server,
                                  std::int64_t born_ms,
                                  const std::function<void()>& done) {
  const auto effect =
      announcement_tracker_.leave(server, born_ms, steady_now());
  log_info("departure", {{"server", server.value},
                         {"born_ms", born_ms},
                         {"effect", to_string(effect)}});
  acknowledge(effect, done);
}

void fleet_node::acknowledge(announcement_effect effect,
                             const std::function<void()>& done) {
  if (effect == announcement_effect::changed) {
    report_backend_state(done);
  } else if (effect == announcement_effect::refreshed) {
    // An answer of the server or an earlier announcement has said the same.
    acknowledge_when_held(last_report_, done);
  } else {
    done();
  }
}

void fleet_node::acknowledge_when_held(std::uint64_t report,
                                       const std::function<void()>& done) {
  const auto& server = announcement_tracker_.current();
  const auto serves = server && server->state == announced_state::serving;
  const auto holders = subscriber_.acknowledgement_count(report);
  if (!previous_state_known_ || serves || holders >= min_drain_holders) {
    done();
    return;
  }
  pending_drain_acks_.push_back(
      {report, steady_now() + drain_ack_timeout, done});
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
  last_report_ = subscriber_.report(server, accepts);
  send_status_messages();
  if (done) acknowledge_when_held(last_report_, done);
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
  } else {
    take_drain(update);
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

void fleet_node::take_drain(const member_update& update) {
  for (const auto& x : update.entries) {
    if (!is_self(x.report.node.address)) continue;
    const auto& known = x.report.server;
    const auto effect = announcement_tracker_.learn_drain(known, steady_now());
    if (effect != announcement_effect::changed) continue;
    log_info("drain_learned", {{"server", known.server.value},
                               {"state", to_string(known.state)},
                               {"member", update.member.value}});
    report_backend_state({});
  }
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

}  // namespace figwind
