// JSON form of burn counts and burn reports.

#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "figwind/burn.h"
#include "figwind/finding.h"

namespace figwind {

/// The body of `GET /v1/burn`: counts by node, and the operator addresses of
/// the nodes that did not answer.
struct burn_body {
  burn_set set;
  std::vector<std::string> missing;
};

auto to_json_text(const burn_body& x) -> std::string;

/// Parses the text of `to_json_text`; damaged text is one finding.
auto parse_burn_body(const std::string& text) -> result<burn_body>;

/// Evaluated reports for `figwind report --json`.
auto to_json(const std::vector<class_burn_report>& reports)
    -> nlohmann::ordered_json;

}  // namespace figwind
