#include "figwind/crash_guard.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace figwind {

auto fingerprint_of(const class_name& name, const request_key& key,
                    std::string_view body) -> request_fingerprint {
  const auto& text = name.value;
  const auto class_hash = XXH3_64bits(text.data(), text.size());
  const auto identity = key.value.empty() ? body : std::string_view{key.value};
  // The bit gives a key and a body with the same bytes different fingerprints.
  const auto seed = class_hash ^ (key.value.empty() ? 0U : 1U);
  return {XXH3_64bits_withSeed(identity.data(), identity.size(), seed)};
}

auto fingerprint_of(const class_name& name, std::string_view caller,
                    std::string_view target, std::string_view body)
    -> request_fingerprint {
  auto hash = XXH64_hash_t{0};
  for (const auto part : {std::string_view{name.value}, caller, target, body}) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
  }
  return {hash};
}

crash_guard::crash_guard(node_id self, crash_guard_settings settings)
    : self_{std::move(self)}, settings_{settings} {}

auto crash_guard::uncleared_crashes(request_fingerprint request,
                                    time_point now) const -> std::size_t {
  const auto found = crashes_by_request_.find(request);
  if (found == crashes_by_request_.end() || is_trusted(request, now)) return 0;
  const auto oldest = now - settings_.retention;
  const auto open = std::count_if(
      found->second.begin(), found->second.end(),
      [&](const known_crash& m) { return !m.cleared && m.time > oldest; });
  return static_cast<std::size_t>(open);
}

auto crash_guard::is_refused(request_fingerprint request, time_point now) const
    -> bool {
  return uncleared_crashes(request, now) >= settings_.crash_limit;
}

auto crash_guard::decide_run(request_fingerprint request, time_point now) const
    -> run_decision {
  const auto count = uncleared_crashes(request, now);
  if (count >= settings_.crash_limit) return run_decision::refuse;
  if (count == 0) return run_decision::run;
  const auto other_suspect =
      std::any_of(running_.begin(), running_.end(), [&](const auto& r) {
        const auto is_recent =
            now - r.second.last_start < settings_.isolation_time;
        return is_recent && r.first != request &&
               uncleared_crashes(r.first, now) > 0;
      });
  return other_suspect ? run_decision::wait : run_decision::run;
}

void crash_guard::on_started(request_fingerprint request, time_point now) {
  auto& r = running_[request];
  ++r.count;
  r.last_start = now;
}

void crash_guard::on_finished(request_fingerprint request, bool completed,
                              time_point now) {
  const auto running = running_.find(request);
  // Not found if it ran when the server crashed: the crash has ended it
  // already.
  if (running == running_.end()) return;
  if (--running->second.count == 0) running_.erase(running);
  const auto found = crashes_by_request_.find(request);
  if (!completed) return;
  const auto has_crashes =
      found != crashes_by_request_.end() && uncleared_crashes(request, now) > 0;
  count_completion(request, now);
  if (!has_crashes) return;
  for (auto& m : found->second) m.cleared = true;
  mark_changed(request);
}

auto crash_guard::on_crashed(time_point now) -> crash_report {
  ++crash_count_;
  const auto& address = self_.address.value;
  const auto seed = self_.start.value * 0x9e3779b97f4a7c15U + crash_count_;
  const auto crash = XXH3_64bits_withSeed(address.data(), address.size(), seed);
  auto report = crash_report{};
  for (const auto& [request, runs] : running_) {
    if (exempt_from_crash(request, now)) continue;
    if (crashes_by_request_.count(request) == 0) evict_if_full(now);
    auto& crashes = crashes_by_request_[request];
    add_crash(crashes, {crash, now, false});
    mark_changed(request);
    report.requests.push_back(export_entry(request, crashes, now));
  }
  running_.clear();
  return report;
}

void crash_guard::count_completion(request_fingerprint request,
                                   time_point now) {
  if (completions_.size() >= settings_.max_requests) {
    const auto oldest = now - settings_.trust_duration;
    std::erase_if(completions_,
                  [&](const auto& x) { return x.second.last < oldest; });
    // Lookups that are sent often soon become trusted again.
    if (completions_.size() >= settings_.max_requests) completions_.clear();
  }
  auto& x = completions_[request];
  const auto paused = now - x.last > settings_.trust_duration;
  x = {paused ? 1 : x.count + 1, now, false};
}

auto crash_guard::exempt_from_crash(request_fingerprint request, time_point now)
    -> bool {
  if (!is_trusted(request, now)) return false;
  auto& x = completions_[request];
  // Without a completion between two crashes, the request may have started to
  // crash servers.
  if (std::exchange(x.was_exempt, true)) completions_.erase(request);
  return completions_.count(request) != 0;
}

auto crash_guard::is_trusted(request_fingerprint request, time_point now) const
    -> bool {
  const auto found = completions_.find(request);
  return found != completions_.end() &&
         found->second.count >= settings_.trusted_completions &&
         now - found->second.last <= settings_.trust_duration;
}

auto crash_guard::add_crash(crash_list& crashes, const known_crash& added)
    -> bool {
  const auto same = std::find_if(
      crashes.begin(), crashes.end(),
      [&](const known_crash& m) { return m.crash_id == added.crash_id; });
  if (same != crashes.end()) {
    const auto changes = added.cleared && !same->cleared;
    same->cleared = same->cleared || added.cleared;
    return changes;
  }
  crashes.push_back(added);
  // More than a few cleared crashes carry no further information; uncleared
  // ones count only up to the limit.
  constexpr auto max_crashes = std::size_t{8};
  if (crashes.size() <= max_crashes) return true;
  const auto oldest = std::min_element(
      crashes.begin(), crashes.end(),
      [](const known_crash& a, const known_crash& b) {
        return a.cleared != b.cleared ? a.cleared : a.time < b.time;
      });
  crashes.erase(oldest);
  return true;
}

void crash_guard::mark_changed(request_fingerprint request) {
  const auto listed =
      std::find(changed_requests_.begin(), changed_requests_.end(), request);
  if (listed == changed_requests_.end()) changed_requests_.push_back(request);
}

auto crash_guard::export_entry(request_fingerprint request,
                               const crash_list& crashes, time_point now) const
    -> request_crashes {
  auto out = request_crashes{request, {}};
  for (const auto& m : crashes) {
    const auto age = now - m.time;
    if (age >= settings_.retention) continue;
    out.crashes.push_back({m.crash_id, age.ms, m.cleared});
  }
  return out;
}

auto crash_guard::report_of(request_fingerprint request, time_point now) const
    -> crash_report {
  const auto found = crashes_by_request_.find(request);
  if (found == crashes_by_request_.end()) return {};
  return {{export_entry(request, found->second, now)}};
}

auto crash_guard::take_changes(std::size_t limit, time_point now)
    -> crash_report {
  auto out = crash_report{};
  const auto count = std::min(limit, changed_requests_.size());
  for (auto i = std::size_t{0}; i < count; ++i) {
    const auto found = crashes_by_request_.find(changed_requests_[i]);
    if (found == crashes_by_request_.end()) continue;
    out.requests.push_back(export_entry(found->first, found->second, now));
  }
  changed_requests_.erase(
      changed_requests_.begin(),
      changed_requests_.begin() + static_cast<std::ptrdiff_t>(count));
  return out;
}

auto crash_guard::full_report(time_point now) const -> crash_report {
  auto out = crash_report{};
  for (const auto& [request, crashes] : crashes_by_request_) {
    out.requests.push_back(export_entry(request, crashes, now));
  }
  return out;
}

auto crash_guard::merge(const crash_report& report, time_point now)
    -> crash_report {
  auto news = crash_report{};
  for (const auto& entry : report.requests) {
    auto added_crashes = request_crashes{entry.request, {}};
    for (const auto& m : entry.crashes) {
      if (!(m.age_ms >= 0) || m.age_ms >= settings_.retention.ms) continue;
      if (crashes_by_request_.count(entry.request) == 0) evict_if_full(now);
      const auto added =
          known_crash{m.crash_id, now - milliseconds(m.age_ms), m.cleared};
      if (!add_crash(crashes_by_request_[entry.request], added)) continue;
      mark_changed(entry.request);
      added_crashes.crashes.push_back(m);
    }
    if (!added_crashes.crashes.empty())
      news.requests.push_back(std::move(added_crashes));
  }
  return news;
}

void crash_guard::evict_if_full(time_point now) {
  if (crashes_by_request_.size() < settings_.max_requests) return;
  const auto oldest = now - settings_.retention;
  std::erase_if(crashes_by_request_, [&](const auto& entry) {
    return std::all_of(entry.second.begin(), entry.second.end(),
                       [&](const known_crash& m) { return m.time <= oldest; });
  });
  if (crashes_by_request_.size() < settings_.max_requests) return;
  const auto eviction_key = [&](const auto& entry) {
    auto last = time_point{};
    for (const auto& m : entry.second) last = std::max(last, m.time);
    return std::pair{uncleared_crashes(entry.first, now), last};
  };
  crashes_by_request_.erase(
      std::min_element(crashes_by_request_.begin(), crashes_by_request_.end(),
                       [&](const auto& a, const auto& b) {
                         return eviction_key(a) < eviction_key(b);
                       }));
}

}  // namespace figwind
