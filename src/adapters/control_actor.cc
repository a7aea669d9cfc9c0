#include "adapters/control_actor.h"

#include <caf/all.hpp>
#include <chrono>
#include <deque>
#include <future>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "adapters/clock.h"
#include "adapters/log.h"
#include "adapters/posix_files.h"
#include "figwind/storage.h"

namespace figwind {
namespace {

constexpr auto tick_period = std::chrono::milliseconds{10};
// Nobody waits for the answer to a change longer than this.
constexpr auto waiting_limit = seconds(60);
constexpr auto lagging_limit = std::size_t{100};

}  // namespace

template <class Reply>
using control_port = std::shared_ptr<std::promise<Reply>>;

struct change_message {
  config_change change;
  control_port<change_reply> reply;
};

struct replace_message {
  member_id replaces;
  member_id id;
  vm_address address;
  control_port<std::string> reply;
};

struct control_receive_message {
  control_message message;
};

struct control_status_message {
  control_port<control_status> reply;
};

struct control_tick_message {};

}  // namespace figwind

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::change_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::replace_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::control_receive_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::control_status_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(figwind::control_tick_message)

namespace figwind {
namespace {

auto explain(proposal_status status) -> std::string {
  switch (status) {
    case proposal_status::pending:
      return {};
    case proposal_status::not_leader:
      return "this member is not the leader";
    case proposal_status::too_large:
      return "the change is too large";
    case proposal_status::busy:
      return "another change of members is in progress";
    case proposal_status::invalid_member:
      break;
  }
  return "there is no such member, or the new one is a member already";
}

/// File port and storage of one member.
struct control_disk {
  posix_files files;
  storage<posix_files> log{files};
};

auto open_disk(control_disk& disk, const std::string& folder) -> durable_state {
  auto found = disk.files.open(folder);
  if (!found.empty()) throw std::runtime_error{to_string(found)};
  auto opened = disk.log.open();
  if (!ok(opened)) {
    throw std::runtime_error{folder + ": " + to_string(errors(opened))};
  }
  return value(std::move(opened));
}

/// State of the actor: the decisions, the disk and who waits.
class control_state {
 public:
  static constexpr const char* name = "control";

  void open(const control_options& options, control_ports ports,
            std::shared_ptr<control_disk> disk,
            const durable_state& from_disk) {
    options_ = options;
    ports_ = std::move(ports);
    disk_ = std::move(disk);
    core_ = std::make_unique<control_core>(options, from_disk, steady_now());
  }

  void handle(const change_message& x) {
    waiting_.emplace(x.change.id, waiting_change{x.reply, steady_now()});
    apply(core_->change(x.change));
  }

  void handle(const replace_message& x) {
    auto out = control_output{};
    auto status = core_->replace_member(x.replaces, x.id, x.address, out);
    apply(std::move(out));
    x.reply->set_value(explain(status));
  }

  void handle(const control_receive_message& x) {
    apply(core_->on_message(x.message, steady_now()));
  }

  void handle(const control_tick_message& /*x*/) {
    auto now = steady_now();
    std::erase_if(waiting_, [now](const auto& x) {
      return now - x.second.since > waiting_limit;
    });
    apply(core_->tick(now, wall_now()));
  }

  void handle(const control_status_message& x) { x.reply->set_value(status()); }

 private:
  struct waiting_change {
    control_port<change_reply> reply;
    time_point since;
  };

  /// Persists first; what depends on it comes out of `on_persisted`.
  void apply(control_output first) {
    auto pending = std::deque<control_output>{};
    pending.push_back(std::move(first));
    while (!pending.empty()) {
      auto out = std::move(pending.front());
      pending.pop_front();
      for (const auto& batch : out.persist) {
        pending.push_back(persist(batch));
      }
      for (const auto& x : out.messages) {
        if (!x.to.value.empty()) ports_.send(x.to, x.message);
      }
      for (auto& x : out.replies) answer(x);
      for (const auto& x : out.leadership_changes) report(x);
      if (out.accepted_version) {
        log_info("configuration-accepted",
                 {{"version", out.accepted_version->value}});
      }
    }
  }

  auto persist(const persist_batch& batch) -> control_output {
    auto status = disk_->log.write(batch);
    if (status == io_status::done) return core_->on_persisted(batch.number);
    log_error("disk-failed", {{"status", to_string(status)},
                              {"error", disk_->files.last_error()}});
    return core_->on_storage_failed();
  }

  void answer(change_reply& x) {
    auto range = waiting_.equal_range(x.id);
    for (auto i = range.first; i != range.second; ++i)
      i->second.reply->set_value(x);
    waiting_.erase(range.first, range.second);
  }

  static void report(const leadership_change& news) {
    if (news.lost_quorum) {
      log_warning("isolated", {{"term", news.term}});
    } else {
      log_info("leader", {{"term", news.term}, {"member", news.leader.value}});
    }
  }

  auto status() -> control_status {
    const auto& core = *core_;
    auto x = control_status{};
    x.self = options_.consensus.self;
    x.role = core.replicated_log().role();
    x.standing = core.replicated_log().state();
    x.term = core.replicated_log().term();
    x.applied = core.replicated_log().applied_index();
    x.leader = core.leader_address();
    x.refusal = core.refusal_reason();
    x.config = core.store().current();
    x.members = core.replicated_log().members();
    x.servers = core.servers().servers();
    x.versions = core.servers().versions();
    x.lagging = core.servers().lagging_nodes(lagging_limit);
    x.silent = core.servers().silent_domains();
    x.groups = core.store().records().size();
    return x;
  }

  control_options options_;
  control_ports ports_;
  std::shared_ptr<control_disk> disk_;
  std::unique_ptr<control_core> core_;
  std::unordered_multimap<request_id, waiting_change> waiting_;
};

auto behave_control(caf::stateful_actor<control_state>* self,
                    const control_options& options, const control_ports& ports,
                    const std::shared_ptr<control_disk>& disk,
                    const std::shared_ptr<durable_state>& from_disk)
    -> caf::behavior {
  auto& state = self->state;
  state.open(options, ports, disk, *from_disk);
  self->delayed_send(self, tick_period, control_tick_message{});
  return {
      [&state](const change_message& x) { state.handle(x); },
      [&state](const replace_message& x) { state.handle(x); },
      [&state](const control_receive_message& x) { state.handle(x); },
      [&state](const control_status_message& x) { state.handle(x); },
      [&state, self](const control_tick_message& x) {
        state.handle(x);
        self->delayed_send(self, tick_period, control_tick_message{});
      },
  };
}

}  // namespace

control_handle::control_handle(caf::actor_system& system,
                               control_options options,
                               const std::string& data_folder,
                               control_ports ports) {
  auto disk = std::make_shared<control_disk>();
  auto from_disk =
      std::make_shared<durable_state>(open_disk(*disk, data_folder));
  // A write to the disk blocks, so the actor has a thread of its own.
  actor_ = system.spawn<caf::detached>(behave_control, std::move(options),
                                       std::move(ports), std::move(disk),
                                       std::move(from_disk));
}

control_handle::~control_handle() {
  caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
}

auto control_handle::change(const config_change& change, duration patience)
    -> change_reply {
  auto reply = std::make_shared<std::promise<change_reply>>();
  auto answer = reply->get_future();
  caf::anon_send(actor_, change_message{change, reply});
  auto wait = std::chrono::duration<double, std::milli>{patience.ms};
  if (answer.wait_for(wait) == std::future_status::ready) return answer.get();
  return {change.id, std::nullopt, "no majority of members has answered", true};
}

auto control_handle::replace_member(member_id replaces, member_id id,
                                    const vm_address& address) -> std::string {
  auto reply = std::make_shared<std::promise<std::string>>();
  auto answer = reply->get_future();
  caf::anon_send(actor_, replace_message{replaces, id, address, reply});
  return answer.get();
}

void control_handle::receive(const control_message& message) {
  caf::anon_send(actor_, control_receive_message{message});
}

auto control_handle::status() -> control_status {
  auto reply = std::make_shared<std::promise<control_status>>();
  auto answer = reply->get_future();
  caf::anon_send(actor_, control_status_message{reply});
  return answer.get();
}

}  // namespace figwind
