// JSON form of findings, as in the answer 400 to a change.

#pragma once

#include <nlohmann/json.hpp>

#include "figwind/finding.h"

namespace figwind {

/// A list of objects with `file`, `line`, `section`, `key` and `message`.
auto to_json(const findings& all) -> nlohmann::ordered_json;

/// The reverse of `to_json`; items that are no findings are left out.
auto parse_findings(const nlohmann::ordered_json& list) -> findings;

}  // namespace figwind
