// Refuses requests that crash the backend servers which run them, based on the
// crashes and completions at this node and on reports of other nodes.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

/// Identifies a request across all its resends.
using request_fingerprint =
    strong_type<struct request_fingerprint_tag, std::uint64_t>;

/// Returns the fingerprint of a request by class and key, or by class and body
/// if it has no key.
auto fingerprint_of(const class_name& name, const request_key& key,
                    std::string_view body) -> request_fingerprint;

/// Returns the fingerprint of a request by class, caller, path with query, and
/// body.
auto fingerprint_of(const class_name& name, std::string_view caller,
                    std::string_view target, std::string_view body)
    -> request_fingerprint;

/// One crash during which a request was running.
struct crash_record {
  /// Hash of the server's node id and its number of crashes.
  std::uint64_t crash_id = 0;
  /// Age in ms when the message was created. Expiry by age needs no common
  /// clock.
  double age_ms = 0;
  /// True if the request completed after this crash was known, so it did not
  /// cause the crash.
  bool cleared = false;

  friend auto operator==(const crash_record&, const crash_record&)
      -> bool = default;
};

/// Known crashes of one request.
struct request_crashes {
  request_fingerprint request;
  std::vector<crash_record> crashes;

  friend auto operator==(const request_crashes&, const request_crashes&)
      -> bool = default;
};

/// Message between nodes. Merging is commutative and idempotent, so a report
/// may be lost, duplicated or relayed.
struct crash_report {
  std::vector<request_crashes> requests;

  friend auto operator==(const crash_report&, const crash_report&)
      -> bool = default;
};

template <class Inspector>
auto inspect(Inspector& f, crash_record& x) {
  return f(x.crash_id, x.age_ms, x.cleared);
}

template <class Inspector>
auto inspect(Inspector& f, request_crashes& x) {
  return f(x.request, x.crashes);
}

template <class Inspector>
auto inspect(Inspector& f, crash_report& x) {
  return f(x.requests);
}

struct crash_guard_settings {
  /// Number of crashes from which on a request is refused.
  std::size_t crash_limit = 2;
  /// Time for which a suspect runs before the next one may start beside it. A
  /// long harmless request must not delay the others.
  duration isolation_time = milliseconds(100);
  /// Time for which a crash is remembered; the same as the retention of keys.
  duration retention = minutes(10);
  /// A request that has completed here this often, without a pause longer than
  /// `trust_duration`, is trusted: it is not blamed for the next crash, and not
  /// refused. Many callers may send the same lookup, and some of them run
  /// whenever a server crashes.
  int trusted_completions = 4;
  duration trust_duration = minutes(1);
  /// Most requests remembered. Cleared and least suspected ones are dropped
  /// first.
  std::size_t max_requests = 4096;
};

/// How a server node handles a request.
enum class run_decision : std::uint8_t {
  run,
  /// Another request that was running at a crash has just started. Wait until
  /// it ends or for `isolation_time`, so that a further crash has only one
  /// suspect.
  wait,
  /// Answer `not_run` with the reason `repeated_crash`.
  refuse,
};

/// Crashes known to one node. The server node calls `decide_run`, `on_started`,
/// `on_finished` and `on_crashed`; every node calls `is_refused`, `report_of`
/// and `merge`.
class crash_guard {
 public:
  explicit crash_guard(node_id self, crash_guard_settings settings = {});

  /// True if the request has reached the crash limit.
  auto is_refused(request_fingerprint request, time_point now) const -> bool;

  auto decide_run(request_fingerprint request, time_point now) const
      -> run_decision;

  void on_started(request_fingerprint request, time_point now);

  /// Records that a request ended without a crash. `completed` clears it of the
  /// crashes known so far; it is false if the request was cancelled before its
  /// end.
  void on_finished(request_fingerprint request, bool completed, time_point now);

  /// Records a crash of the backend server for every running request. Returns
  /// the report for the entry nodes of those requests and for other nodes.
  auto on_crashed(time_point now) -> crash_report;

  /// Returns the crashes of one request, to be sent along with its next
  /// attempt.
  auto report_of(request_fingerprint request, time_point now) const
      -> crash_report;

  /// Returns the requests with changes since the last call, at most `limit`,
  /// least recently changed first.
  auto take_changes(std::size_t limit, time_point now) -> crash_report;

  /// Returns all remembered crashes, for a node that has just started.
  auto full_report(time_point now) const -> crash_report;

  /// Returns what was not known before, to be passed on to other nodes.
  auto merge(const crash_report& report, time_point now) -> crash_report;

  auto size() const -> std::size_t { return crashes_by_request_.size(); }

 private:
  struct active_run {
    int count = 0;
    time_point last_start;
  };
  struct completion_history {
    int count = 0;
    time_point last;
    /// True if it ran during a crash since the last completion and was not
    /// blamed.
    bool was_exempt = false;
  };
  struct known_crash {
    std::uint64_t crash_id = 0;
    time_point time;
    bool cleared = false;
  };
  using crash_list = std::vector<known_crash>;

  auto uncleared_crashes(request_fingerprint request, time_point now) const
      -> std::size_t;
  auto add_crash(crash_list& crashes, const known_crash& added) -> bool;
  auto export_entry(request_fingerprint request, const crash_list& crashes,
                    time_point now) const -> request_crashes;
  void evict_if_full(time_point now);
  void mark_changed(request_fingerprint request);
  void count_completion(request_fingerprint request, time_point now);
  auto exempt_from_crash(request_fingerprint request, time_point now) -> bool;
  [[nodiscard]] auto is_trusted(request_fingerprint request,
                                time_point now) const -> bool;

  node_id self_;
  crash_guard_settings settings_;
  std::uint64_t crash_count_ = 0;
  std::unordered_map<request_fingerprint, crash_list> crashes_by_request_;
  std::unordered_map<request_fingerprint, active_run> running_;
  std::unordered_map<request_fingerprint, completion_history> completions_;
  std::vector<request_fingerprint> changed_requests_;
};

}  // namespace figwind
