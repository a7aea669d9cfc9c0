// INI text as sections and entries that keep their line numbers.

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

/// One `[name]` section with its entries in the order of the file.
struct ini_section {
  std::string name;
  std::vector<ini_entry> entries;
};

/// A parsed file; `name` is used in the places of findings.
struct ini_file {
  std::string name;
  std::vector<ini_section> sections;
};

/// Parses `text`; lines that are neither a section, an entry nor a comment are
/// findings.
auto parse_ini(const std::string& name, const std::string& text)
    -> result<ini_file>;

}  // namespace figwind
