#include "figwind/ini.h"

#include <ini.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace figwind {
namespace {

auto trim(std::string_view text) -> std::string_view {
  constexpr auto blanks = std::string_view{" \t\r"};
  auto begin = text.find_first_not_of(blanks);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

auto store_entry(void* user, const char* /*section*/, const char* key,
                 const char* value) -> int {
  auto& to = *static_cast<ini_entry*>(user);
  to.key = key;
  to.value = value != nullptr ? value : "";
  return 1;
}

// The library stops at the name of a section and reports neither its line nor a
// duplicate section. This class therefore parses sections itself and passes one
// entry line at a time to the library.
class ini_reader {
 public:
  explicit ini_reader(const std::string& name) : file_{name, {}, {}} {}

  void add_line(std::string_view text) {
    ++line_;
    auto line = trim(text);
    if (line.size() > max_ini_line_bytes) {
      report("",
             "is longer than " + std::to_string(max_ini_line_bytes) + " bytes");
    } else if (line.find('\0') != std::string_view::npos) {
      report("", "contains a NUL byte");
    } else if (!line.empty() && line.front() == '[') {
      add_section(line);
    } else if (is_continuation(text, line)) {
      file_.sections.back().entries.back().value += " " + std::string{line};
    } else {
      add_entry(std::string{line});
    }
  }

  auto take() -> ini_file { return std::move(file_); }

 private:
  /// An indented line continues the previous value, so that a list of members
  /// may be longer than one line.
  auto is_continuation(std::string_view text, std::string_view line) const
      -> bool {
    if (line.empty() || text.front() == line.front()) return false;
    if (line.front() == ';' || line.front() == '#') return false;
    return !file_.sections.empty() && !file_.sections.back().entries.empty();
  }

  void add_section(std::string_view line) {
    auto end = line.find(']');
    auto rest = end == std::string_view::npos ? line : line.substr(end + 1);
    rest = trim(rest);
    auto is_comment =
        rest.empty() || rest.front() == ';' || rest.front() == '#';
    if (end == std::string_view::npos || !is_comment) {
      report("", "is not a complete section name");
      return;
    }
    auto name = std::string{trim(line.substr(1, end - 1))};
    auto first =
        std::find_if(file_.sections.begin(), file_.sections.end(),
                     [&](const ini_section& s) { return s.name == name; });
    keys_.clear();
    if (first != file_.sections.end()) {
      auto first_line = first->line;
      file_.sections.push_back({name, {}, line_});
      report("", "is given twice, first on line " + std::to_string(first_line));
      return;
    }
    file_.sections.push_back({name, {}, line_});
  }

  void add_entry(const std::string& line) {
    auto entry = ini_entry{"", "", line_};
    if (ini_parse_string(line.c_str(), store_entry, &entry) != 0) {
      report("", "is neither a section, an entry nor a comment");
      return;
    }
    if (entry.key.empty() && entry.value.empty()) return;
    if (file_.sections.empty()) {
      report(entry.key, "precedes the first section");
      return;
    }
    if (!keys_.insert(entry.key).second) report(entry.key, "is given twice");
    file_.sections.back().entries.push_back(std::move(entry));
  }

  void report(const std::string& key, const std::string& message) {
    auto section =
        file_.sections.empty() ? std::string{} : file_.sections.back().name;
    file_.syntax_errors.push_back({{file_.name, line_, section, key}, message});
  }

  ini_file file_;
  std::size_t line_ = 0;
  std::set<std::string> keys_;
};

}  // namespace

auto read_ini(const std::string& name, const std::string& text) -> ini_file {
  auto in = ini_reader{name};
  auto rest = std::string_view{text};
  while (!rest.empty()) {
    auto end = std::min(rest.find('\n'), rest.size());
    in.add_line(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return in.take();
}

auto parse_ini(const std::string& name, const std::string& text)
    -> result<ini_file> {
  auto file = read_ini(name, text);
  if (!file.syntax_errors.empty()) return file.syntax_errors;
  return file;
}

}  // namespace figwind
