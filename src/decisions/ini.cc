#include "figwind/ini.h"

#include <ini.h>

#include <algorithm>
#include <string_view>

namespace figwind {
namespace {

struct reader {
  std::string_view rest;
  std::size_t line = 0;
  ini_file file;
};

auto read_line(char* buffer, int size, void* stream) -> char* {
  auto& in = *static_cast<reader*>(stream);
  if (in.rest.empty()) return nullptr;
  auto end = in.rest.find('\n');
  auto length = end == std::string_view::npos ? in.rest.size() : end + 1;
  length = std::min(length, static_cast<std::size_t>(size - 1));
  std::copy_n(in.rest.data(), length, buffer);
  buffer[length] = '\0';
  if (buffer[length - 1] == '\n' || length == in.rest.size()) ++in.line;
  in.rest.remove_prefix(length);
  return buffer;
}

auto add_entry(void* user, const char* section, const char* key,
               const char* value) -> int {
  auto& in = *static_cast<reader*>(user);
  auto& sections = in.file.sections;
  if (sections.empty() || sections.back().name != section) {
    sections.push_back({section, {}});
  }
  sections.back().entries.push_back(
      {key, value != nullptr ? value : "", in.line});
  return 1;
}

}  // namespace

auto parse_ini(const std::string& name, const std::string& text)
    -> result<ini_file> {
  auto in = reader{text, 0, {name, {}}};
  auto broken_line = ini_parse_stream(read_line, &in, add_entry, &in);
  if (broken_line != 0) {
    return findings{{{name, static_cast<std::size_t>(broken_line), "", ""},
                     "neither a section, an entry nor a comment"}};
  }
  return std::move(in.file);
}

}  // namespace figwind
