// Limits on retries: a fixed bound for the whole call chain of a request, a
// throttle for each service as a share of its traffic, and hedging within both.

#pragma once

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

#include "figwind/call.h"
#include "figwind/ids.h"
#include "figwind/random.h"
#include "figwind/units.h"

namespace figwind {

/// Retries that one caller request may cause over its whole call chain. The
/// entry node of the caller sets `call_context::retry_allowance` to it.
constexpr int max_chain_retries = 3;

/// Part of an allowance that is granted downstream with each attempt.
enum class allowance_split : std::uint8_t {
  /// All of it: retries happen next to the fault, but none is left after a lost
  /// answer.
  all,
  /// All but one, so that an attempt whose answer is lost can be retried.
  all_but_one,
  /// Half, rounded up.
  half,
};

/// docs/decisions/retries.md compares the policies.
constexpr auto default_attempt_split = allowance_split::half;

/// How a ledger splits an allowance between downstream calls.
constexpr auto default_ledger_split = allowance_split::all;

/// The part of `remaining` that `policy` grants.
auto split_allowance(int remaining, allowance_split policy) -> int;

/// The retry allowance of one call at the node that makes its attempts. A
/// granted part is lost unless the answer returns it, so the sum over the chain
/// never grows.
class call_allowance {
 public:
  explicit call_allowance(int granted,
                          allowance_split policy = default_attempt_split);

  /// Retries that this call can still make itself.
  auto remaining() const -> int { return remaining_; }

  /// Returns the part granted to the first attempt.
  auto grant_first_attempt() -> int;

  /// Spends one retry and returns the part of the rest that is granted to it.
  /// Returns -1 and spends nothing if no retry remains.
  auto grant_retry() -> int;

  /// Takes back the unspent part that an answer returns, at most `granted`.
  void take_back(int granted, int returned);

 private:
  auto grant() -> int;

  int remaining_;
  allowance_split policy_;
};

/// Identifies the allowance of one running request at a server node; the
/// backend server passes it on with its downstream calls.
using parent_token = std::uint64_t;

/// The allowances of the requests that run on one backend server, split between
/// their downstream calls. Bounded in number and time: a request without an
/// entry gets no retries.
class allowance_ledger {
 public:
  /// `random` gives the tokens a random start, so that tokens from before a
  /// restart of the process are invalid.
  allowance_ledger(std::size_t capacity, random_source& random,
                   allowance_split split = default_ledger_split);

  /// Adds an entry with `granted` retries that is kept until `close` or
  /// `expires`. Returns 0, which grants nothing, if `capacity` entries exist.
  auto open(int granted, time_point now, time_point expires) -> parent_token;

  /// Takes the part of the allowance for one downstream call; 0 for an unknown
  /// or expired parent.
  auto take(parent_token parent, time_point now) -> int;

  /// Gives back the unspent part of a downstream call, at most `taken`.
  void give_back(parent_token parent, int taken, int returned, time_point now);

  /// Removes the entry of a request and returns the part that goes back with
  /// its answer. Outstanding parts count as spent. 0 for an unknown or expired
  /// parent.
  auto close(parent_token parent, time_point now) -> int;

  auto size() const -> std::size_t { return entries_.size(); }

 private:
  struct entry {
    int remaining = 0;
    /// Parts taken and not returned.
    int outstanding = 0;
    time_point expires;
  };
  void expire(time_point now);
  auto find(parent_token parent, time_point now) -> entry*;

  std::size_t capacity_;
  allowance_split split_;
  parent_token next_token_;
  std::unordered_map<parent_token, entry> entries_;
  std::set<std::pair<time_point, parent_token>> by_expiry_;
};

/// Settings of the retry throttle of one service.
struct retry_throttle_settings {
  /// Retries earned by each first attempt while nothing is refused.
  double retry_ratio = 0.1;
  /// Capacity of the bucket in retries; a stalled server holds about 30 calls
  /// of one entry node until it is ejected.
  double burst = 60;
  /// Share of overloaded attempts at which no more retries are earned.
  double max_overloaded_share = 0.3;
};

/// Token bucket of one service at one node. Limits retries to a share of the
/// traffic that shrinks to 0 as the service refuses calls for overload.
class retry_throttle {
 public:
  explicit retry_throttle(retry_throttle_settings settings = {});

  /// Counts a first attempt, which earns a fraction of a retry.
  void count_first_attempt();

  /// Counts the end of any attempt; `overloaded` is true if it was refused for
  /// overload or timed out.
  void count_attempt_end(bool overloaded);

  /// Takes one retry from the bucket; returns false if there is none.
  auto try_take_retry() -> bool;

  /// Takes one hedge from the bucket; reserves half of the burst for retries.
  auto try_take_hedge() -> bool;

  /// Share of recent attempts that ended overloaded.
  auto overloaded_share() const -> fraction { return {overloaded_share_}; }

 private:
  retry_throttle_settings settings_;
  double tokens_;
  double overloaded_share_ = 0;
};

/// Determines when a second attempt of an idempotent call is started before the
/// first has ended. One instance for each class and node.
class hedge_timer {
 public:
  /// Counts the latency of an answered attempt.
  void observe(duration latency);

  /// Time after which an attempt without an answer is hedged: the 98th
  /// percentile of the latency; 0 while too few samples exist.
  auto delay() const -> duration;

 private:
  double quantile_ms_ = 0;
  double mean_ms_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace figwind
