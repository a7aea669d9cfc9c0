// Control members in one thread: fake disks, a lossy network and virtual time.
// After each step it checks what consensus promises.

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake-files.h"
#include "figwind/config_store.h"
#include "figwind/consensus.h"
#include "figwind/storage.h"

namespace figwind::test {

struct network {
  duration one_way = milliseconds(4.5);
  duration jitter = milliseconds(1);
  double lost = 0;
  double doubled = 0;
  /// Time of one durable write.
  duration sync = milliseconds(1);
};

class cluster {
 public:
  struct process {
    member_id id;
    std::unique_ptr<fake_files> disk = std::make_unique<fake_files>();
    std::optional<storage<fake_files>> files;
    std::optional<consensus> core;
    config_store store;
    std::map<log_index, request_id> waiting;
    std::uint64_t life = 0;
    bool up = false;
    std::size_t group = 0;
  };

  cluster(std::size_t size, std::uint64_t seed, network links = {},
          consensus_settings settings = {})
      : random_{seed}, links_{links}, settings_{std::move(settings)} {
    for (std::uint64_t id = 1; id <= size; ++id) {
      settings_.first_members.push_back(
          {{id}, {std::to_string(id)}, {}, {}, {}});
    }
    for (std::uint64_t id = 1; id <= size; ++id) start({id});
  }

  auto now() const -> time_point { return now_; }
  auto random() -> random_source& { return random_; }
  auto links() -> network& { return links_; }
  auto all() -> std::map<member_id, process>& { return all_; }
  auto at(std::uint64_t id) -> process& { return all_.at({id}); }

  /// Opens the disk and starts the process; a new disk when there is none.
  void start(member_id id) {
    auto& p = all_[id];
    p.id = id;
    p.files.emplace(*p.disk);
    auto opened = p.files->open();
    check(ok(opened), "cannot start: " + to_string(errors(opened)));
    if (!ok(opened)) return;
    p.store = config_store{};
    if (value(opened).snapshot) {
      restore(p, value(opened).snapshot->state);
    }
    auto own = settings_;
    own.self = id;
    own.address.value = std::to_string(id.value);
    p.core.emplace(own, value(opened), random_source{random_.bits()}, now_);
    p.up = true;
    push({now_ + milliseconds(10 * random_.unit()), 0, id, ++p.life, 0, {}});
  }

  void crash(member_id id) {
    auto& p = all_.at(id);
    p.up = false;
    p.core.reset();
    p.waiting.clear();
    p.disk->crash(random_);
  }

  /// Runs until `done` holds or the time has passed; true when it holds.
  template <class Done>
  auto run_until(duration limit, Done done) -> bool {
    auto end = now_ + limit;
    while (!done()) {
      if (events_.empty() || events_.top().at > end) {
        now_ = end;
        return done();
      }
      auto e = events_.top();
      events_.pop();
      now_ = e.at;
      handle(e);
    }
    return true;
  }

  void run_for(duration time) {
    run_until(time, [] { return false; });
  }

  /// The running leader that the most members follow.
  auto leader() -> process* {
    process* best = nullptr;
    for (auto& [id, p] : all_) {
      if (!p.up || p.core->role() != member_role::leader) continue;
      if (!best || p.core->term() > best->core->term()) best = &p;
    }
    return best;
  }

  auto await_leader(duration limit = seconds(10)) -> bool {
    return run_until(limit, [&] { return leader() != nullptr; });
  }

  /// Sends a change to `p`; its first answer is kept in `answers`.
  void change(process& p, const config_change& c) {
    if (!p.up) return;
    const auto* known = p.store.find_answer(c.id);
    if (known != nullptr) {
      check_answer(c.id, *known);
      return;
    }
    auto proposed = p.core->propose(encode_change(c));
    if (proposed.status == proposal_status::pending) {
      p.waiting[proposed.index] = c.id;
    }
    take(p, std::move(proposed.output));
  }

  void take(process& p, consensus_output out) {
    if (out.persist) store(p, *out.persist);
    if (!p.up) return;
    for (auto& o : out.send) transmit(p, o);
    if (out.restore) restore(p, out.restore->state);
    for (const auto& entry : out.apply) apply(p, entry);
    for (const auto& s : out.settled) settle(p, s);
    for (const auto& n : out.news) {
      if (n.leader != p.id) continue;
      auto first = leaders_.emplace(n.term, p.id).first;
      check(first->second == p.id,
            "two leaders in term " + std::to_string(n.term));
      ++elections;
    }
  }

  /// Cuts `id` off from all others.
  void isolate(member_id id) { all_.at(id).group = 100 + id.value; }

  void heal() {
    for (auto& [id, p] : all_) p.group = 0;
  }

  /// Settles down: every member of the last membership holds the same state.
  auto agree(duration limit = seconds(20)) -> bool {
    return run_until(limit, [&] {
      auto* first = leader();
      if (first == nullptr) return false;
      for (const auto& m : first->core->members().members) {
        auto& p = all_.at(m.id);
        auto same = p.up && m.voter &&
                    p.core->standing() == member_standing::voter &&
                    p.core->leader() == first->id &&
                    p.core->applied() == first->core->last_index();
        if (!same) return false;
      }
      return true;
    });
  }

  /// One line a process, for the message of a failed check.
  auto describe() const -> std::string {
    auto text = std::string{};
    for (const auto& [id, p] : all_) {
      text += "member " + std::to_string(id.value) + ": ";
      if (!p.up) {
        text += "down\n";
        continue;
      }
      text += to_string(p.core->role()) + ", " + to_string(p.core->standing()) +
              ", term " + std::to_string(p.core->term()) + ", last entry " +
              std::to_string(p.core->last_index()) + ", applied " +
              std::to_string(p.core->applied()) + ", members";
      for (const auto& m : p.core->members().members) {
        text += " " + std::to_string(m.id.value) + (m.voter ? "" : "?");
      }
      text += "\n";
    }
    return text;
  }

  std::map<request_id, change_answer> answers;
  std::map<std::uint64_t, std::string> texts;
  std::uint64_t elections = 0;
  /// Promises that were broken.
  std::vector<std::string> violations;
  std::function<void(const consensus_message&)> on_send;
  time_point last_settled;

 private:
  struct event {
    time_point at;
    std::uint64_t order = 0;
    member_id to;
    std::uint64_t life = 0;
    std::uint64_t batch = 0;
    std::shared_ptr<const consensus_message> message;

    auto operator<(const event& x) const -> bool {
      return std::pair{at, order} > std::pair{x.at, x.order};
    }
  };

  void push(event e) {
    e.order = ++order_;
    events_.push(std::move(e));
  }

  void handle(const event& e) {
    auto& p = all_.at(e.to);
    if (!p.up || (e.life != 0 && e.life != p.life)) return;
    if (e.message) {
      take(p, p.core->receive(*e.message, now_));
    } else if (e.batch != 0) {
      take(p, p.core->persisted(e.batch));
    } else {
      push({now_ + milliseconds(10), 0, p.id, p.life, 0, {}});
      take(p, p.core->tick(now_));
    }
    if (!p.up) return;
    if (p.core->wants_compaction()) {
      take(p, p.core->compact(p.store.snapshot()));
    }
  }

  void store(process& p, const persist_batch& batch) {
    if (p.files->write(batch) == io_status::done) {
      push({now_ + links_.sync, 0, p.id, p.life, batch.number, {}});
    } else if (p.files->status() == io_status::no_space) {
      take(p, p.core->storage_failed());
    } else {
      crash(p.id);
    }
  }

  void check(bool holds, const std::string& violation) {
    if (!holds) violations.push_back(violation);
  }

  void restore(process& p, const std::string& state) {
    check(p.store.restore(state).empty(), "a state cannot be restored");
  }

  void transmit(process& from, member_message& o) {
    if (on_send) on_send(o.message);
    auto to = all_.find(o.to);
    if (to == all_.end() || to->second.group != from.group) return;
    auto shared = std::make_shared<const consensus_message>(o.message);
    auto copies = random_.chance(links_.doubled) ? 2 : 1;
    if (random_.chance(links_.lost)) copies = 0;
    for (auto i = 0; i < copies; ++i) {
      auto delay = links_.one_way + links_.jitter * random_.unit();
      push({now_ + delay, 0, o.to, 0, 0, shared});
    }
  }

  void apply(process& p, const log_entry& entry) {
    auto first = accepted_.emplace(entry.index, entry).first;
    check(first->second == entry,
          "two values at " + std::to_string(entry.index));
    if (entry.kind != entry_kind::command) return;
    check(ok(p.store.apply(entry.bytes)), "an entry cannot be applied");
    const auto& now = p.store.current();
    auto text = texts.emplace(now.version.value, now.text).first;
    check(text->second == now.text,
          "two texts of version " + std::to_string(now.version.value));
  }

  void settle(process& p, const settled_proposal& s) {
    auto id = p.waiting.find(s.index);
    if (id == p.waiting.end()) return;
    const auto* answer = p.store.find_answer(id->second);
    if (s.accepted) {
      last_settled = now_;
      check(answer != nullptr, "an accepted change has no answer");
      if (answer != nullptr) check_answer(id->second, *answer);
    }
    p.waiting.erase(id);
  }

  void check_answer(const request_id& id, const change_answer& answer) {
    auto first = answers.emplace(id, answer).first;
    check(first->second == answer,
          "two answers to request " + std::to_string(id.low));
  }

  random_source random_;
  network links_;
  consensus_settings settings_;
  std::map<member_id, process> all_;
  std::priority_queue<event> events_;
  std::map<log_index, log_entry> accepted_;
  std::map<log_term, member_id> leaders_;
  std::uint64_t order_ = 0;
  time_point now_;
};

/// A valid workload whose text differs for each `number`.
inline auto workload_text(std::uint64_t number) -> std::string {
  return "[class lookup]\nservice = depozit\nidempotent = yes\nlatency = " +
         std::to_string(100 + number) + " ms\nsuccess = 0.99\nimportance = 1\n";
}

}  // namespace figwind::test
