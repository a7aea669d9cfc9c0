#include "figwind/call.h"

namespace figwind {

auto to_string(call_status x) -> std::string {
  switch (x) {
    case call_status::complete:
      return "complete";
    case call_status::not_run:
      return "not-run";
    case call_status::failed:
      return "failed";
    case call_status::unknown:
      return "unknown";
  }
  return "unknown";
}

auto to_string(refusal x) -> std::string {
  switch (x) {
    case refusal::none:
      return "none";
    case refusal::overload:
      return "overload";
    case refusal::deadline:
      return "deadline";
    case refusal::draining:
      return "draining";
    case refusal::no_server:
      return "no-server";
    case refusal::repeated_crash:
      return "repeated-crash";
    case refusal::retries_spent:
      return "retries-spent";
    case refusal::unknown_class:
      return "unknown-class";
    case refusal::bad_key:
      return "bad-key";
    case refusal::expired_key:
      return "expired-key";
    case refusal::recorders_unreachable:
      return "recorders-unreachable";
    case refusal::duplicate:
      return "duplicate";
    case refusal::malformed:
      return "malformed";
  }
  return "none";
}

}  // namespace figwind
