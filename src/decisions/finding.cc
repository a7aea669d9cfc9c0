#include "figwind/finding.h"

#include <algorithm>

namespace figwind {

void sort_by_line(findings& all) {
  std::stable_sort(all.begin(), all.end(),
                   [](const finding& a, const finding& b) {
                     return a.where.line < b.where.line;
                   });
}

auto to_string(const finding& x) -> std::string {
  std::string text;
  if (!x.where.file.empty()) {
    text += x.where.file;
    if (x.where.line != 0) text += ":" + std::to_string(x.where.line);
    text += ": ";
  }
  if (!x.where.section.empty()) text += "[" + x.where.section + "] ";
  if (!x.where.key.empty()) text += x.where.key + ": ";
  return text + x.message;
}

auto to_string(const findings& all) -> std::string {
  std::string text;
  for (const auto& x : all) text += to_string(x) + "\n";
  return text;
}

}  // namespace figwind
