// Parse functions for the values of settings and workloads. They return nothing
// if the whole text does not have the expected form.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "figwind/ids.h"
#include "figwind/units.h"

namespace figwind {

/// Parses a finite number.
auto parse_number(const std::string& text) -> std::optional<double>;

/// Parses an unsigned integer.
auto parse_unsigned(const std::string& text) -> std::optional<std::uint64_t>;

/// Parses a name: letters, digits, `-` and `_`, 1 to 63 bytes. Names become
/// parts of keys, paths and labels, which use other characters as separators.
auto parse_name(const std::string& text) -> std::optional<std::string>;

/// Parses a duration with its unit, as in `300 ms`, `3 s` or `10 min`.
auto parse_duration(const std::string& text) -> std::optional<duration>;

/// Parses `yes` or `no`.
auto parse_yes_no(const std::string& text) -> std::optional<bool>;

/// Parses an IP address and a port, as in `127.0.0.1:7101`. Rejects host names.
auto parse_address(const std::string& text) -> std::optional<vm_address>;

}  // namespace figwind
