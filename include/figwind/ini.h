// INI parser whose sections and entries keep their line numbers.

#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "figwind/finding.h"

namespace figwind {

/// One `key = value` line.
struct ini_entry {
  std::string key;
  std::string value;
  std::size_t line = 0;
};

/// One `[name]` section with its entries in file order.
struct ini_section {
  std::string name;
  std::vector<ini_entry> entries;
  std::size_t line = 0;
};

/// A parsed file; findings use `name` as the file name.
struct ini_file {
  std::string name;
  std::vector<ini_section> sections;
  /// Findings about malformed lines. The parse functions of settings and
  /// workloads report them together with their own findings.
  findings syntax_errors;
};

/// Longest line; the INI library truncates longer ones.
constexpr std::size_t max_ini_line_bytes = 198;

/// Parses as much of `text` as possible. Malformed and overlong lines, entries
/// outside a section, and duplicate sections and keys are reported in
/// `syntax_errors`.
auto read_ini(const std::string& name, const std::string& text) -> ini_file;

/// Like `read_ini`, but returns only the findings if there are any.
auto parse_ini(const std::string& name, const std::string& text)
    -> result<ini_file>;

}  // namespace figwind
