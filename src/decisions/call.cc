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

auto refused_status(const call_context& context) -> call_status {
  auto certain = context.key.value.empty() || context.first_sending;
  return certain ? call_status::not_run : call_status::unknown;
}

auto call_id(const call_context& context) -> request_id {
  return {context.id.high, context.call_number};
}

}  // namespace figwind
