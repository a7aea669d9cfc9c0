// Context that a call carries along its chain, and how a call can end.

#pragma once

#include <cstdint>
#include <string>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

/// Outcome of a call.
enum class call_status : std::uint8_t {
  /// The complete answer to the caller's request was passed on.
  complete,
  /// No attempt of the request has run or can still run.
  not_run,
  /// The request ran and the backend server answered with an error.
  failed,
  /// The request may have run; its outcome cannot be determined.
  unknown,
};

/// Why a call was refused.
enum class refusal : std::uint8_t {
  none,
  overload,
  deadline,
  draining,
  no_server,
  repeated_crash,
  retries_spent,
  unknown_class,
  bad_key,
  expired_key,
  recorders_unreachable,
  duplicate,
  malformed,
};

auto to_string(call_status x) -> std::string;
auto to_string(refusal x) -> std::string;

/// Context of a request, passed on at every hop of its chain.
struct call_context {
  request_id id;
  class_name name;
  /// Importance of the class at the start of the chain; 1 is the highest.
  int importance = 1;
  /// Number of hops above this one; 0 at the entry node of the caller.
  int depth = 0;
  /// Time until the caller stops waiting, counted from receipt.
  duration time_left;
  /// Retries that this hop and all hops downstream may still make.
  int retry_allowance = 0;
  /// Failure domain in which the request entered.
  failure_domain origin_domain;
  /// Empty for idempotent requests.
  request_key key;
  /// Distinguishes the calls of one request; random, chosen by the entry node.
  std::uint64_t call_number = 0;
  /// Token of the retry allowance that the server node holds for the calling
  /// request; 0 at the start of the chain.
  std::uint64_t parent = 0;
  /// True if the caller states that it sends a keyed request for the first
  /// time; only then may a refusal report "not run" without asking the
  /// recorders.
  bool first_sending = false;

  friend auto operator==(const call_context&, const call_context&)
      -> bool = default;
};

/// Status of a refusal before the request ran here: `not_run`, or `unknown` for
/// a keyed request that an earlier sending may have run.
auto refused_status(const call_context& context) -> call_status;

/// Identity of one call, by which its answer is matched. The request id is not
/// enough: a request may make several calls of the same class.
auto call_id(const call_context& context) -> request_id;

}  // namespace figwind
