#include "figwind/finding.h"

#include <algorithm>

namespace figwind {

void sort_by_line(findings& all) {
  std::stable_sort(all.begin(), all.end(),
                   [](const finding& a, const finding& b) {
                     return a.location.line < b.location.line;
                   });
}

auto to_string(const finding& x) -> std::string {
  std::string text;
  if (!x.location.file.empty()) {
    text += x.location.file;
    if (x.location.line != 0) text += ":" + std::to_string(x.location.line);
    text += ": ";
  }
  if (!x.location.section.empty()) text += "[" + x.location.section + "] ";
  if (!x.location.key.empty()) text += x.location.key + ": ";
  return text + x.message;
}

auto to_string(const findings& all) -> std::string {
  std::string text;
  for (const auto& x : all) text += to_string(x) + "\n";
  return text;
}

}  // namespace figwind
