// Messages that a node sends and receives.

#pragma once

#include <variant>

#include "figwind/crash_guard.h"
#include "figwind/ids.h"
#include "figwind/membership_messages.h"
#include "figwind/record_messages.h"

namespace figwind {

/// Entry node to server node: the caller no longer waits for this request.
struct cancel_request {
  request_id request;
};

template <class Inspector>
auto inspect(Inspector& f, cancel_request& x) {
  return f(x.request);
}

using node_message = std::variant<heartbeat, heartbeat_reply, record_request,
                                  record_reply, seal_request, seal_reply,
                                  takeover_done, crash_report, cancel_request>;

}  // namespace figwind
