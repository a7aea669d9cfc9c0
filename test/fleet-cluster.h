// Control members of a fleet in memory, with disk and link failures.

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake-files.h"
#include "figwind/drain_store.h"
#include "figwind/fleet_member.h"
#include "figwind/fleet_settings.h"

namespace figwind::test {

class fleet_cluster {
 public:
  using member_storage = storage<fake_files>;

  explicit fleet_cluster(std::uint64_t seed) : random_{seed} {}

  static auto address(int number) -> vm_address {
    return {"10.0.0." + std::to_string(number) + ":7000"};
  }

  /// Starts a member with the contents of its disk.
  void start(int number, bool first_start) {
    auto& x = members_[number];
    // A new process counts its tickets from the beginning.
    std::erase_if(replies_,
                  [&](const auto& r) { return r.first.first == number; });
    if (!x.files) x.files = std::make_unique<fake_files>();
    x.disk = std::make_unique<member_storage>(*x.files);
    auto opened = x.disk->open();
    auto state = value(std::move(opened));
    const auto is_empty = !state.snapshot && state.state.generation.value == 0;
    if (is_empty && !first_start) state.state.joins_only = true;
    x.core = std::make_unique<fleet_member>(options(number), state, now_);
    x.core->restore_drains(value(load_drains(*x.files)), now_);
    x.core->set_seeds(seeds());
    std::erase_if(links_, [&](const auto& link) {
      return link.first.first == number || link.first.second == number;
    });
  }

  /// Sets the members in the settings of processes that start from now on.
  void set_seeds(std::vector<int> seeds) { seeds_ = std::move(seeds); }

  /// From now on, links are opened this long after both ends run and one knows
  /// the other; messages before are lost. 0: all links are open.
  void set_link_delay(duration x) { link_delay_ = x; }

  /// Ends the process; its disk stays.
  void kill(int number) { members_.at(number).core.reset(); }

  /// Ends the process and drops what its disk has not synced.
  void lose_power(int number) {
    kill(number);
    members_.at(number).files->crash(random_);
  }

  void lose_disk(int number) {
    kill(number);
    members_.at(number).files.reset();
  }

  /// Stops the process as SIGSTOP does: it handles nothing, and what is sent to
  /// it waits.
  void pause(int number) { paused_.insert(number); }
  void resume(int number) { paused_.erase(number); }

  void remove(int number) { members_.erase(number); }

  void disconnect(int a, int b) {
    disconnected_.insert({a, b});
    disconnected_.insert({b, a});
  }
  void heal() { disconnected_.clear(); }

  void run(duration time) {
    const auto end = now_ + time;
    while (now_ < end) advance_time();
  }

  /// Runs until `done` returns true; returns false if `limit` passes first.
  auto run_until(const std::function<bool()>& done,
                 duration limit = seconds(10)) -> bool {
    const auto end = now_ + limit;
    while (now_ < end && !done()) advance_time();
    return done();
  }

  /// The member that leads; 0 if there is none that runs.
  auto leader() -> int {
    for (auto& [number, x] : members_) {
      const auto runs = x.core && paused_.count(number) == 0;
      if (runs && x.core->is_leader()) return number;
    }
    return 0;
  }

  /// Cuts off other leaders until member `number` leads; then all are
  /// connected.
  auto lead(int number) -> bool {
    for (auto tries = 0; tries < 50; ++tries) {
      const auto other = leader();
      if (other == number) return true;
      for (const auto& [i, x] : members_) {
        if (other != 0 && i != other) disconnect(other, i);
      }
      run_until([&] { return leader() != other && leader() != 0; });
      heal();
      run(seconds(1));
    }
    return leader() == number;
  }

  auto voters() -> std::size_t {
    const auto first = leader();
    if (first == 0) return 0;
    return voter_count(members_.at(first).core->replicated_log().members());
  }

  /// True if every member runs and its present disk is that of a voter.
  auto all_vote() const -> bool {
    return std::all_of(members_.begin(), members_.end(), [](const auto& m) {
      const auto& x = m.second;
      return x.core && x.core->replicated_log().state() == member_state::voter;
    });
  }

  auto core(int number) -> fleet_member& { return *members_.at(number).core; }

  auto change(int number, std::uint64_t base, std::uint64_t label,
              const std::string& text) -> member_ticket {
    auto out = member_output{};
    const auto id = request_id{base, std::hash<std::string>{}(text) ^ label};
    const auto ticket = core(number).change({id, {base}, {{label}, text}}, out);
    apply_output(number, std::move(out));
    return ticket;
  }

  auto read(int number) -> member_ticket {
    auto out = member_output{};
    const auto ticket = core(number).read(out);
    apply_output(number, std::move(out));
    return ticket;
  }

  /// Waits for the reply to a change or read; `unknown` if there is none.
  auto await_reply(int number, member_ticket ticket) -> desired_reply {
    const auto key = std::pair{number, ticket};
    run_until([&] { return replies_.count(key) != 0; });
    const auto found = replies_.find(key);
    return found == replies_.end() ? desired_reply{} : found->second;
  }

  auto has_replied(int number, member_ticket ticket) const -> bool {
    return replies_.count({number, ticket}) != 0;
  }

  /// Submits a change to the leader and waits for its status.
  auto commit_change(std::uint64_t base, std::uint64_t label,
                     const std::string& text) -> desired_status {
    if (!run_until([this] { return leader() != 0; })) {
      return desired_status::unknown;
    }
    const auto at = leader();
    return await_reply(at, change(at, base, label, text)).status;
  }

  auto read_state() -> desired_reply {
    if (!run_until([this] { return leader() != 0; })) return {};
    const auto at = leader();
    return await_reply(at, read(at));
  }

  /// Delivers the status of a node to a member.
  void send_status(int number, const node_status& x) {
    apply_output(number, core(number).on_message(x, now_));
  }
  auto take_updates() -> std::vector<member_update> {
    return std::exchange(updates_, {});
  }

  auto now() const -> time_point { return now_; }

 private:
  struct member_process {
    std::unique_ptr<fake_files> files;
    std::unique_ptr<member_storage> disk;
    std::unique_ptr<fleet_member> core;
  };
  struct message_in_flight {
    int from = 0;
    int to = 0;
    fleet_message message;
  };

  auto seeds() const -> std::vector<vm_address> {
    auto out = std::vector<vm_address>{};
    for (const auto i : seeds_) out.push_back(address(i));
    return out;
  }

  static auto id(int number) -> member_id {
    return {static_cast<std::uint64_t>(number)};
  }

  auto options(int number) -> fleet_member_options {
    auto out = fleet_member_options{};
    out.consensus.self = id(number);
    out.consensus.address = address(number);
    out.consensus.max_proposal_bytes = max_proposal_bytes(fleet_settings{});
    for (const auto i : seeds_) {
      out.consensus.initial_members.push_back(
          {id(i), address(i), {}, true, {}});
    }
    out.seed = random_.bits();
    return out;
  }

  void advance_time() {
    now_ = now_ + tick_period;
    for (auto at = in_flight_.begin();
         at != in_flight_.end() && at->first <= now_.ms;) {
      auto x = std::move(at->second);
      at = in_flight_.erase(at);
      const auto to = members_.find(x.to);
      const auto lost = disconnected_.count({x.from, x.to}) != 0;
      if (lost || to == members_.end() || !to->second.core) continue;
      if (paused_.count(x.to) != 0) {
        in_flight_.emplace(now_.ms + tick_period.ms, std::move(x));
        continue;
      }
      apply_output(x.to, to->second.core->on_message(x.message, now_));
    }
    open_links();
    for (auto& [number, x] : members_) {
      const auto runs = x.core && paused_.count(number) == 0;
      if (runs) apply_output(number, x.core->tick(now_));
    }
  }

  void open_links() {
    if (link_delay_.ms == 0) return;
    for (auto& [from, x] : members_) {
      if (!x.core) continue;
      for (const auto& peer : x.core->peers()) {
        const auto to = number_at(peer);
        if (to == 0 || !members_.at(to).core) continue;
        auto& open_at = links_[{from, to}];
        if (open_at.ms == 0) open_at = now_ + link_delay_;
        const auto opens_now = open_at <= now_ && now_ < open_at + tick_period;
        if (opens_now) apply_output(from, x.core->on_reachable(peer));
      }
    }
  }

  [[nodiscard]] auto is_open(int from, int to) const -> bool {
    if (link_delay_.ms == 0) return true;
    const auto found = links_.find({from, to});
    return found != links_.end() && found->second <= now_;
  }

  /// The member at `x`, or 0.
  [[nodiscard]] auto number_at(const vm_address& x) const -> int {
    for (const auto& [number, process] : members_) {
      if (address(number) == x) return number;
    }
    return 0;
  }

  void apply_output(int number, member_output out) {
    auto& x = members_.at(number);
    for (auto& m : out.messages) send(number, std::move(m));
    for (auto& reply : out.replies) {
      replies_[{number, reply.ticket}] = reply;
    }
    if (out.drains) {
      const auto status = save_drains(*x.files, out.drains->reports);
      apply_output(number,
                   x.core->on_drains_saved(out.drains->number,
                                           status == io_status::done, now_));
    }
    for (const auto& batch : out.persist) {
      x.disk->write(batch);
      apply_output(number, x.core->on_persisted(batch.number));
    }
  }

  void send(int from, outgoing<fleet_message> m) {
    if (auto* update = std::get_if<member_update>(&m.message)) {
      updates_.push_back(std::move(*update));
      return;
    }
    const auto delay = 1 + random_.uniform() * 9;
    const auto to = number_at(m.to);
    if (to == 0 || !is_open(from, to)) return;
    in_flight_.emplace(now_.ms + delay,
                       message_in_flight{from, to, std::move(m.message)});
  }

  static constexpr auto tick_period = milliseconds(10);

  random_source random_;
  std::vector<int> seeds_{1, 2, 3};
  time_point now_{1000};
  std::map<int, member_process> members_;
  std::multimap<double, message_in_flight> in_flight_;
  std::set<std::pair<int, int>> disconnected_;
  std::set<int> paused_;
  duration link_delay_;
  /// Times at which links are open, by the numbers of their ends.
  std::map<std::pair<int, int>, time_point> links_;
  std::map<std::pair<int, member_ticket>, desired_reply> replies_;
  std::vector<member_update> updates_;
};

}  // namespace figwind::test
