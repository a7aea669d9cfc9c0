#include "adapters/fleet_control.h"

#include <boost/asio/ip/address_v4.hpp>
#include <stdexcept>
#include <utility>

#include "adapters/clock.h"
#include "adapters/log.h"

namespace figwind {
namespace {

constexpr auto tick_period = milliseconds(10);
constexpr auto link_check_period = milliseconds(50);
// Pause before the storage is reopened after a disk failure.
constexpr auto disk_reopen_delay = seconds(1);
// Longest orderly stop; some elections, and well within the grace period.
constexpr auto max_stop_time = seconds(2);

/// Derives the member id from the IP address, so that a replacement at another
/// address has another id.
auto member_id_of(const vm_address& link) -> member_id {
  auto error = boost::system::error_code{};
  const auto ip = asio::ip::make_address_v4(ip_of(link), error);
  return {error ? 0 : ip.to_uint()};
}

}  // namespace

fleet_control::fleet_control(event_loop& loop, const fleet_settings& settings)
    : settings_{settings},
      self_address_{address_at(settings.ip, settings.link_port)},
      drain_worker_{loop},
      links_{loop,
             settings.ip,
             large_link_use::always,
             {[](const vm_address&, const fleet_message&) {
                // Members reply over the links that they open themselves.
              },
              [this](const vm_address& peer) {
                log_info("link_opened", {{"peer", peer.value}});
                metrics_.count_link_event("opened");
                if (!disk_failed_) apply_output(member_->on_reachable(peer));
              },
              [this](const vm_address& peer, link_kind kind) {
                log_info("link_lost", {{"peer", peer.value},
                                       {"large", kind == link_kind::large}});
                metrics_.count_link_event("lost");
              }}},
      listener_{
          loop, *parse_endpoint(link_listen_address(settings)),
          [this](const std::shared_ptr<link_session>& x) { on_session(x); }} {
  open_storage();
  tick_timer_ = std::make_unique<periodic_timer<std::function<void()>>>(
      loop, tick_period, [this] { tick(); });
  link_check_timer_ = std::make_unique<periodic_timer<std::function<void()>>>(
      loop, link_check_period, [this] {
        const auto now = steady_now();
        links_.check_links(now);
        listener_.check_liveness(now);
      });
}

auto fleet_control::member_options() const -> fleet_member_options {
  auto out = fleet_member_options{};
  out.consensus.self = member_id_of(self_address_);
  out.consensus.address = self_address_;
  for (const auto& seed : link_seeds(settings_)) {
    out.consensus.initial_members.push_back(
        {member_id_of(seed), seed, {}, true, {}});
  }
  out.consensus.max_proposal_bytes = max_proposal_bytes(settings_);
  out.domain = settings_.domain;
  out.seed = static_cast<std::uint64_t>(wall_now().ms * 1000) ^
             (member_id_of(self_address_).value << 32U);
  return out;
}

void fleet_control::open_storage() {
  storage_.reset();
  files_ = std::make_unique<posix_files>();
  auto found = files_->open(settings_.data_folder);
  if (!found.empty()) throw std::runtime_error{to_string(found)};
  storage_ = std::make_unique<disk_storage>(*files_);
  auto opened = storage_->open();
  if (!ok(opened)) throw std::runtime_error{to_string(errors(opened))};
  auto state = value(std::move(opened));
  // A member with an empty disk may form a cluster only at the first start of
  // the whole system. Later the member is new or has lost its disk, and joins.
  const auto is_empty = !state.snapshot && state.state.generation.value == 0;
  if (is_empty && !settings_.first_start) state.state.joins_only = true;
  log_info("disk_opened", {{"empty", is_empty},
                           {"first_start", settings_.first_start},
                           {"entries", state.entries.size()}});
  // After an error of the disk, the member before knows all that was saved.
  const auto drains = member_ ? member_->drains() : open_drains();
  member_ =
      std::make_unique<fleet_member>(member_options(), state, steady_now());
  ++member_number_;
  member_->restore_drains(drains, steady_now());
  member_->set_seeds(link_seeds(settings_));
  if (stopping_since_) member_->resign();
  disk_failed_ = false;
}

auto fleet_control::open_drains() -> std::vector<node_report> {
  drain_files_ = std::make_shared<posix_files>();
  auto found = drain_files_->open(settings_.data_folder + "/drains");
  if (!found.empty()) throw std::runtime_error{to_string(found)};
  auto drains = load_drains(*drain_files_);
  if (ok(drains)) return value(std::move(drains));
  // The other members hold the same reports.
  log_error("drains_unreadable", {{"problem", to_string(errors(drains))}});
  return {};
}

void fleet_control::save(const drain_batch& batch) {
  drain_worker_.run(
      [files = drain_files_, reports = batch.reports] {
        return save_drains(*files, reports);
      },
      [this, number = batch.number,
       member_number = member_number_](io_status status) {
        if (status != io_status::done) {
          log_error("drains_not_saved", {{"status", to_string(status)}});
        }
        if (member_number != member_number_) return;
        apply_output(member_->on_drains_saved(number, status == io_status::done,
                                              steady_now()));
      });
}

void fleet_control::tick() {
  const auto now = steady_now();
  delay_log_.on_tick(now);
  if (stopping_since_) advance_stop(now);
  if (disk_failed_) {
    if (now < disk_reopen_at_) return;
    disk_reopen_at_ = now + disk_reopen_delay;
    try {
      open_storage();
    } catch (const std::runtime_error& error) {
      log_error("disk_unusable", {{"problem", error.what()}});
      return;
    }
  }
  apply_output(member_->tick(now));
  links_.set_peers(member_->peers());
}

void fleet_control::persist(const std::vector<persist_batch>& batches) {
  for (const auto& batch : batches) {
    const auto status = storage_->write(batch);
    if (status == io_status::done) {
      apply_output(member_->on_persisted(batch.number));
      continue;
    }
    log_error("disk_failed", {{"status", to_string(status)},
                              {"problem", files_->last_error()}});
    disk_failed_ = true;
    disk_reopen_at_ = steady_now() + disk_reopen_delay;
    apply_output(member_->on_storage_failed());
    return;
  }
}

void fleet_control::apply_output(const member_output& out) {
  log_membership(out);
  for (const auto& x : out.messages) send(x);
  for (const auto& x : out.replies) {
    auto found = pending_replies_.find(x.ticket);
    if (found == pending_replies_.end()) continue;
    const auto done = std::move(found->second);
    pending_replies_.erase(found);
    done(x);
  }
  if (out.drains) save(*out.drains);
  if (!out.persist.empty()) persist(out.persist);
}

void fleet_control::log_membership(const member_output& out) {
  for (const auto& x : out.leadership_changes) {
    log_info("leadership", {{"term", x.term},
                            {"leader", ip_of(member_->leader_address())},
                            {"isolated", x.lost_quorum}});
  }
  for (const auto& x : out.membership_changes) {
    log_info("membership_change", {{"change", x}});
  }
}

void fleet_control::send(const outgoing<fleet_message>& x) {
  if (!std::holds_alternative<member_update>(x.message)) {
    links_.send(x.to, x.message);
    return;
  }
  const auto found = node_sessions_.find(x.to);
  if (found == node_sessions_.end()) return;
  if (const auto session = found->second.lock()) session->send(x.message);
}

void fleet_control::on_session(const std::shared_ptr<link_session>& session) {
  const auto weak = std::weak_ptr<link_session>{session};
  session->start({[this, weak](fleet_message m) {
                    if (const auto* x = std::get_if<node_status>(&m)) {
                      node_sessions_[x->report.node.address] = weak;
                    }
                    if (disk_failed_) return;
                    apply_output(member_->on_message(m, steady_now()));
                  },
                  [] {}});
}

auto fleet_control::with_request_count(const char* kind, reply_handler done)
    -> reply_handler {
  return [this, kind, done = std::move(done)](const desired_reply& x) {
    metrics_.count_operation(kind, to_string(x.status));
    done(x);
  };
}

auto fleet_control::metrics_text() -> std::string {
  metrics_.set_config_version(static_cast<double>(member_->version().value));
  metrics_.set_leading(member_->is_leader());
  return metrics_.text();
}

void fleet_control::read(reply_handler done) {
  auto out = member_output{};
  const auto ticket = member_->read(out);
  pending_replies_[ticket] = with_request_count("read", std::move(done));
  apply_output(out);
}

void fleet_control::change(const desired_change& change, reply_handler done) {
  auto out = member_output{};
  const auto ticket = member_->change(change, out);
  pending_replies_[ticket] = with_request_count("change", std::move(done));
  apply_output(out);
}

auto fleet_control::remote_leader_ip() const -> std::string {
  if (member_->is_leader()) return {};
  const auto leader = member_->leader_address();
  return leader.value.empty() ? std::string{} : ip_of(leader);
}

void fleet_control::reload(const fleet_settings& settings) {
  settings_.seeds = settings.seeds;
  member_->set_seeds(link_seeds(settings_));
}

void fleet_control::stop(std::function<bool()> is_drained,
                         std::function<void()> done) {
  if (stopping_since_) return;
  log_info("stopping", {{"leading", member_->is_leader()},
                        {"pending", pending_replies_.size()}});
  stopping_since_ = steady_now();
  is_drained_ = std::move(is_drained);
  on_stopped_ = std::move(done);
  member_->resign();
}

void fleet_control::advance_stop(time_point now) {
  // Stays until the successor leads: the election may need this vote.
  const auto has_successor =
      !member_->is_leader() && !member_->leader_address().value.empty();
  const auto may_exit = (has_successor || disk_failed_) && is_drained_();
  if (!may_exit && now - *stopping_since_ < max_stop_time) return;
  if (on_stopped_) std::exchange(on_stopped_, {})();
}

}  // namespace figwind
