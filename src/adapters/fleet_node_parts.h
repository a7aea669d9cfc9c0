// Parts of the definition of `fleet_node` that several of its files use.

#pragma once

#include "adapters/fleet_node.h"

namespace figwind {

/// Peer number of the calls that a node makes to its own backend server.
constexpr std::uint64_t local_session = 0;

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_misdirected = 421;
constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

/// Number of members that must hold a drain before the node acknowledges it, so
/// that the drain survives the node.
constexpr std::size_t min_drain_holders = 2;

/// True if the backend server has completed the call without an error.
inline auto is_complete(const call_reply& x) -> bool {
  return x.end == call_end::answered && x.status < status_server_error;
}

}  // namespace figwind
