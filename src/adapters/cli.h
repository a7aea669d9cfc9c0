// The commands of the operator's program `figwind`.

#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind::cli {

/// Exit codes of every command.
enum class outcome : std::uint8_t {
  done = 0,
  /// Refused with a reason; nothing was changed.
  refused = 1,
  usage = 2,
  /// No answer: what happened is unknown, and the output names the command
  /// that finds out.
  unknown = 3,
};

/// What the command line gave.
struct options {
  /// Command and arguments without flags, as in {"config", "check", "a.ini"}.
  std::vector<std::string> words;
  /// Operator addresses of control members.
  std::vector<vm_address> servers{{"127.0.0.1:7301"}};
  bool json = false;
  /// Longest wait for one answer.
  duration timeout = seconds(5);
  std::string token_file{};
  std::optional<std::uint64_t> base{};
  std::string author{};
  /// Request id of an earlier `config apply`; a new one when empty.
  std::string request{};
  /// File for the page of `report`.
  std::string html{};
  /// Call address of a node for `call`.
  vm_address node{"127.0.0.1:7201"};
  std::string key{};
  std::string body{};
};

/// Where a command writes: results to `out`, reasons and hints to `err`.
struct context {
  options given;
  std::ostream& out;
  std::ostream& err;
};

/// Runs one command.
auto run(const context& cx) -> outcome;

/// Help of the command that `words` begin with; of all commands when empty;
/// nothing for an unknown command.
auto help(const std::vector<std::string>& words) -> std::optional<std::string>;

}  // namespace figwind::cli
