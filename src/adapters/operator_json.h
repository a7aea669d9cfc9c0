// JSON forms of what operators see of a process.

#pragma once

#include <nlohmann/json.hpp>

#include "adapters/control_actor.h"
#include "adapters/node_actor.h"
#include "figwind/settings.h"

namespace figwind {

using operator_json = nlohmann::ordered_json;

/// The body of `GET /v1/status`; a role that is missing is null.
auto status_json(const process_settings& own, const node_status* node,
                 const control_status* control) -> operator_json;

}  // namespace figwind
