#include "figwind/key_recorder.h"

#include <algorithm>

namespace figwind {

namespace {

/// Overhead of the map and strings of one key, in bytes.
constexpr std::size_t key_overhead_bytes = 160;
/// Size of an attempt without its address, in bytes.
constexpr std::size_t attempt_overhead_bytes = 48;

auto contains(const std::vector<attempt_id>& all, const attempt_id& x) -> bool {
  return std::find(all.begin(), all.end(), x) != all.end();
}

auto has_recorder(const recorder_group& group, const node_id& x) -> bool {
  const auto& all = group.recorders;
  return std::find(all.begin(), all.end(), x) != all.end();
}

auto is_set(const attempt_id& x) -> bool {
  return !x.node.address.value.empty();
}

auto attempt_cost(const std::vector<attempt_id>& all) -> std::size_t {
  auto out = std::size_t{0};
  for (const auto& x : all) {
    out += attempt_overhead_bytes + x.node.address.value.size();
  }
  return out;
}

auto entry_size(const key_entry& x) -> std::size_t {
  return x.key.value.size() + x.outcome.answer.size() + attempt_overhead_bytes +
         x.attempt.node.address.value.size() + attempt_cost(x.released) +
         attempt_cost(x.crashed);
}

}  // namespace

auto to_string(record_answer x) -> std::string {
  switch (x) {
    case record_answer::granted:
      return "granted";
    case record_answer::elsewhere:
      return "elsewhere";
    case record_answer::done:
      return "done";
    case record_answer::wrong_epoch:
      return "wrong-epoch";
    case record_answer::expired:
      return "expired";
    case record_answer::bad_key:
      return "bad-key";
    case record_answer::full:
      return "full";
    case record_answer::crashes:
      return "crashes";
  }
  return "invalid";
}

key_recorder::key_recorder(node_id self, recorder_options options)
    : self_{std::move(self)}, options_{options} {}

auto key_recorder::size() const -> std::size_t {
  auto out = std::size_t{0};
  for (const auto& [id, group] : groups_) out += group.keys.size();
  return out;
}

auto key_recorder::find(const failure_domain& domain, std::uint32_t index)
    -> group_state* {
  const auto found = groups_.find({domain, index});
  return found == groups_.end() ? nullptr : &found->second;
}

void key_recorder::set_group(const recorder_group& record) {
  const auto id = group_id{record.domain, record.index};
  const auto is_involved =
      has_recorder(record, self_) || record.joining == self_;
  if (!is_involved && groups_.count(id) == 0) return;
  auto& group = groups_[id];
  const auto& old = group.record;
  if (record.version <= old.version && old.epoch != 0) return;
  if (record.epoch < old.epoch) return;
  const auto new_epoch = record.epoch > old.epoch;
  if (new_epoch) group.sealed_epoch = std::max(group.sealed_epoch, old.epoch);
  group.record = record;
  if (new_epoch) {
    // A recorder that joined without the keys of the previous epoch could vote
    // twice for a key.
    const auto has_keys =
        record.joined != self_ || (group.takeover_epoch + 1 == record.epoch &&
                                   is_takeover_complete(group));
    group.is_voter = has_recorder(record, self_) && has_keys;
  }
  const auto is_joining = record.joining == self_;
  if (!group.is_voter && !is_joining) drop_keys(group);
  if (!is_joining || group.takeover_epoch == record.epoch) return;
  drop_keys(group);
  group.takeover_epoch = record.epoch;
  for (const auto& x : record.recorders)
    group.sources.push_back({x, {}, {}, {}});
}

auto key_recorder::on_request(const record_request& request,
                              time_point unix_now) -> outgoing<record_reply> {
  latest_unix_time_ = std::max(latest_unix_time_, unix_now);
  auto reply = record_reply{};
  reply.step = request.step;
  reply.recorder = self_;
  reply.attempt = request.attempt;
  reply.answer = handle_request(request, unix_now, reply);
  return {request.attempt.node.address, std::move(reply)};
}

auto key_recorder::handle_request(const record_request& request,
                                  time_point unix_now, record_reply& reply)
    -> record_answer {
  const auto parts = parse_key(request.key, options_.keys);
  if (!parts) return record_answer::bad_key;
  auto* group = find(parts->domain, request.group);
  if (request.recorder != self_ || group == nullptr || !group->is_voter) {
    return record_answer::wrong_epoch;
  }
  reply.epoch = group->record.epoch;
  switch (request.step) {
    case record_step::begin:
      return vote(*group, request, *parts, unix_now, reply);
    case record_step::finish:
      return finish(*group, request, *parts);
    case record_step::release:
      return release(*group, request, *parts);
  }
  return record_answer::bad_key;
}

auto key_recorder::vote(group_state& group, const record_request& request,
                        const key_parts& parts, time_point unix_now,
                        record_reply& reply) -> record_answer {
  const auto found = group.keys.find(request.key);
  const auto known = found != group.keys.end();
  if (known && found->second.crashed.size() >= options_.crash_limit) {
    return record_answer::crashes;
  }
  if (known && found->second.done) {
    reply.outcome = found->second.outcome;
    return record_answer::done;
  }
  const auto epoch = group.record.epoch;
  if (request.epoch != epoch || group.sealed_epoch >= epoch) {
    return record_answer::wrong_epoch;
  }
  if (latest_unix_time_ - parts.creation_time > options_.keys.retention) {
    return record_answer::expired;
  }
  if (parts.creation_time.ms < group.record.min_creation_ms)
    return record_answer::expired;
  if (!known) return grant_first_vote(group, request, parts, unix_now);
  auto& x = found->second;
  if (x.blocked || contains(x.released, request.attempt)) {
    return record_answer::elsewhere;
  }
  if (!is_set(x.attempt)) {
    memory_ -= memory_cost(request.key, x);
    x.attempt = request.attempt;
    memory_ += memory_cost(request.key, x);
  }
  return x.attempt == request.attempt ? record_answer::granted
                                      : record_answer::elsewhere;
}

auto key_recorder::grant_first_vote(group_state& group,
                                    const record_request& request,
                                    const key_parts& parts, time_point unix_now)
    -> record_answer {
  if (parts.creation_time - unix_now > options_.keys.max_clock_lead) {
    return record_answer::bad_key;
  }
  auto* added = find_or_add(group, request, parts);
  if (added == nullptr) return record_answer::full;
  memory_ -= memory_cost(request.key, *added);
  added->attempt = request.attempt;
  memory_ += memory_cost(request.key, *added);
  return record_answer::granted;
}

auto key_recorder::find_or_add(group_state& group,
                               const record_request& request,
                               const key_parts& parts) -> key_record* {
  const auto found = group.keys.find(request.key);
  if (found != group.keys.end()) return &found->second;
  auto added = key_record{};
  added.creation_time = parts.creation_time;
  const auto size = memory_cost(request.key, added);
  if (memory_ + size > options_.max_memory_bytes) return nullptr;
  memory_ += size;
  return &group.keys.emplace(request.key, std::move(added)).first->second;
}

auto key_recorder::finish(group_state& group, const record_request& request,
                          const key_parts& parts) -> record_answer {
  if (is_past_retention(parts.creation_time)) return record_answer::granted;
  auto* x = find_or_add(group, request, parts);
  if (x == nullptr) return record_answer::full;
  memory_ -= memory_cost(request.key, *x);
  if (!x->done) {
    x->done = true;
    x->outcome = request.outcome;
    const auto size = x->outcome.answer.size();
    const auto bytes_left = options_.max_memory_bytes -
                            std::min(memory_, options_.max_memory_bytes);
    if (size > options_.max_answer_bytes || size > bytes_left) {
      x->outcome.answer.clear();
      x->outcome.has_answer = false;
    }
  }
  if (request.crashed) remember_attempt(x->crashed, request.attempt);
  memory_ += memory_cost(request.key, *x);
  return record_answer::granted;
}

auto key_recorder::release(group_state& group, const record_request& request,
                           const key_parts& parts) -> record_answer {
  if (is_past_retention(parts.creation_time)) return record_answer::granted;
  auto* x = find_or_add(group, request, parts);
  if (x == nullptr) return record_answer::full;
  memory_ -= memory_cost(request.key, *x);
  if (x->attempt == request.attempt) x->attempt = {};
  remember_attempt(x->released, request.attempt);
  if (request.crashed) remember_attempt(x->crashed, request.attempt);
  memory_ += memory_cost(request.key, *x);
  return record_answer::granted;
}

void key_recorder::remember_attempt(std::vector<attempt_id>& list,
                                    const attempt_id& attempt) {
  if (contains(list, attempt)) return;
  if (list.size() >= options_.max_noted_attempts) list.erase(list.begin());
  list.push_back(attempt);
}

auto key_recorder::on_seal(const seal_request& request, time_point unix_now)
    -> std::optional<outgoing<seal_reply>> {
  latest_unix_time_ = std::max(latest_unix_time_, unix_now);
  auto* group = find(request.domain, request.group);
  if (group == nullptr || !group->is_voter) return std::nullopt;
  const auto& record = group->record;
  if (request.recorder != self_ || request.epoch != record.epoch ||
      request.joining != record.joining) {
    return std::nullopt;
  }
  group->sealed_epoch = std::max(group->sealed_epoch, record.epoch);
  auto reply = seal_reply{};
  reply.domain = request.domain;
  reply.group = request.group;
  reply.epoch = request.epoch;
  reply.recorder = self_;
  reply.after = request.after;
  auto bytes_left = options_.max_page_bytes;
  auto next = group->keys.upper_bound(request.after);
  for (; next != group->keys.end(); ++next) {
    const auto& [key, x] = *next;
    auto entry = key_entry{key,       x.attempt,  x.blocked, x.done,
                           x.outcome, x.released, x.crashed};
    const auto size = entry_size(entry);
    if (size > bytes_left && !reply.entries.empty()) break;
    bytes_left -= std::min(bytes_left, size);
    reply.entries.push_back(std::move(entry));
  }
  reply.last = next == group->keys.end();
  return outgoing<seal_reply>{request.joining.address, std::move(reply)};
}

auto key_recorder::on_seal_reply(const seal_reply& reply, time_point now)
    -> recorder_output {
  auto out = recorder_output{};
  auto* group = find(reply.domain, reply.group);
  if (group == nullptr || group->takeover_epoch != reply.epoch) return out;
  // After the pages of a majority, further votes arrive only through requests.
  if (group->is_voter || is_takeover_complete(*group)) return out;
  for (auto& source : group->sources) {
    if (source.recorder != reply.recorder || source.done) continue;
    if (source.after != reply.after) continue;
    for (const auto& x : reply.entries) merge(*group, x);
    if (!reply.entries.empty()) source.after = reply.entries.back().key;
    source.done = reply.last;
    source.request_at = now + options_.seal_retry_interval;
    if (!source.done) out.seals.push_back(make_seal_request(*group, source));
  }
  return out;
}

void key_recorder::merge(group_state& group, const key_entry& entry) {
  const auto parts = parse_key(entry.key, options_.keys);
  if (!parts || is_past_retention(parts->creation_time)) return;
  auto [found, added] = group.keys.try_emplace(entry.key);
  auto& x = found->second;
  if (!added) memory_ -= memory_cost(entry.key, x);
  x.creation_time = parts->creation_time;
  for (const auto& y : entry.released) remember_attempt(x.released, y);
  for (const auto& y : entry.crashed) remember_attempt(x.crashed, y);
  x.blocked = x.blocked || entry.blocked;
  if (is_set(entry.attempt) && is_set(x.attempt) &&
      x.attempt != entry.attempt) {
    // Either attempt may have got a majority with a recorder whose pages are
    // missing here.
    x.blocked = true;
  }
  if (!is_set(x.attempt)) x.attempt = entry.attempt;
  if (entry.done && !x.done) {
    x.done = true;
    x.outcome = entry.outcome;
  }
  memory_ += memory_cost(entry.key, x);
}

auto key_recorder::is_takeover_complete(const group_state& group) -> bool {
  const auto done =
      std::count_if(group.sources.begin(), group.sources.end(),
                    [](const takeover_source& x) { return x.done; });
  return static_cast<std::size_t>(done) > group.sources.size() / 2;
}

auto key_recorder::make_seal_request(const group_state& group,
                                     const takeover_source& source) const
    -> outgoing<seal_request> {
  auto request = seal_request{};
  request.domain = group.record.domain;
  request.group = group.record.index;
  request.epoch = group.takeover_epoch;
  request.recorder = source.recorder;
  request.joining = self_;
  request.after = source.after;
  return {source.recorder.address, std::move(request)};
}

auto key_recorder::on_tick(time_point now, time_point unix_now)
    -> recorder_output {
  latest_unix_time_ = std::max(latest_unix_time_, unix_now);
  const auto drop = now >= next_expiry_;
  if (drop) next_expiry_ = now + seconds(10);
  auto out = recorder_output{};
  for (auto& [id, group] : groups_) {
    if (drop) drop_expired_keys(group);
    const auto is_taking_over = group.record.joining == self_ &&
                                group.takeover_epoch == group.record.epoch;
    if (!is_taking_over) continue;
    if (is_takeover_complete(group)) {
      if (now < group.next_announcement) continue;
      group.next_announcement = now + options_.seal_retry_interval;
      out.takeovers.push_back({id.first, id.second, group.takeover_epoch,
                               group.record.version, self_});
      continue;
    }
    for (auto& source : group.sources) {
      if (source.done || now < source.request_at) continue;
      source.request_at = now + options_.seal_retry_interval;
      out.seals.push_back(make_seal_request(group, source));
    }
  }
  return out;
}

auto key_recorder::is_past_retention(time_point creation_time) const -> bool {
  return latest_unix_time_ - creation_time >
         options_.keys.retention + options_.retention_margin;
}

void key_recorder::drop_expired_keys(group_state& group) {
  for (auto i = group.keys.begin(); i != group.keys.end();) {
    const auto expired = is_past_retention(i->second.creation_time);
    if (expired) memory_ -= memory_cost(i->first, i->second);
    i = expired ? group.keys.erase(i) : std::next(i);
  }
}

void key_recorder::drop_keys(group_state& group) {
  for (const auto& [key, record] : group.keys)
    memory_ -= memory_cost(key, record);
  group.keys.clear();
  group.takeover_epoch = 0;
  group.sources.clear();
}

auto key_recorder::memory_cost(const request_key& key, const key_record& record)
    -> std::size_t {
  return key_overhead_bytes + key.value.size() + attempt_overhead_bytes +
         record.attempt.node.address.value.size() +
         record.outcome.answer.size() + attempt_cost(record.released) +
         attempt_cost(record.crashed);
}

}  // namespace figwind
