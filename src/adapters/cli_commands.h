// The single commands and what they share; used by cli.cc only.

#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "adapters/cli.h"
#include "adapters/cli_client.h"
#include "figwind/finding.h"

namespace figwind::cli {

using json = nlohmann::ordered_json;

auto config_check(const context& cx) -> outcome;
auto config_show(const context& cx) -> outcome;
auto config_apply(const context& cx) -> outcome;
auto config_status(const context& cx) -> outcome;
auto list_servers(const context& cx) -> outcome;
auto list_services(const context& cx) -> outcome;
auto list_members(const context& cx) -> outcome;
auto drain(const context& cx) -> outcome;
auto undrain(const context& cx) -> outcome;
auto member_replace(const context& cx) -> outcome;
auto report(const context& cx) -> outcome;
auto call(const context& cx) -> outcome;
auto explain(const context& cx) -> outcome;

/// Ends a command without success: the message goes to `err`, and with --json
/// also to `out` as an object.
auto fail(const context& cx, outcome code, const std::string& message)
    -> outcome;

/// As `fail` with `outcome::refused`, with all findings.
auto fail(const context& cx, const findings& all) -> outcome;

/// `text` as JSON, or nothing when it is damaged or not an object.
auto parse_object(const std::string& text) -> std::optional<json>;

/// The text at `key`, or `otherwise` when it is missing or not a text.
auto text_at(const json& x, const std::string& key,
             const std::string& otherwise = "") -> std::string;

/// The number at `key`, or 0.
auto number_at(const json& x, const std::string& key) -> std::uint64_t;

auto flag_at(const json& x, const std::string& key) -> bool;

/// The list at `key`, or an empty one.
auto list_at(const json& x, const std::string& key) -> json;

/// The first usable answer to GET `path` with the address that gave it.
/// Isolated members are asked last because what they know may be old.
struct read_answer {
  vm_address from;
  json body;
};
auto read_any(const context& cx, const std::string& path, std::string& reasons)
    -> std::optional<read_answer>;

/// Header `Authorization` from --token_file; findings when it is unusable.
auto authorization(const context& cx)
    -> result<std::map<std::string, std::string>>;

/// True when `text` can be the value of a header: no control characters, at
/// most 256 bytes.
auto is_header_text(const std::string& text) -> bool;

/// The --servers flag for a hint.
auto servers_flag(const context& cx) -> std::string;

/// Prints rows in columns; the first row is the heading.
void print_table(std::ostream& out,
                 const std::vector<std::vector<std::string>>& rows);

}  // namespace figwind::cli
