#include "adapters/findings_json.h"

#include <string>

namespace figwind {
namespace {

auto text_at(const nlohmann::ordered_json& x, const char* key) -> std::string {
  auto found = x.find(key);
  if (found == x.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

auto line_at(const nlohmann::ordered_json& x) -> std::size_t {
  auto found = x.find("line");
  if (found == x.end() || !found->is_number_unsigned()) return 0;
  return found->get<std::size_t>();
}

}  // namespace

auto to_json(const findings& all) -> nlohmann::ordered_json {
  auto list = nlohmann::ordered_json::array();
  for (const auto& x : all) {
    list.push_back({{"file", x.location.file},
                    {"line", x.location.line},
                    {"section", x.location.section},
                    {"key", x.location.key},
                    {"message", x.message}});
  }
  return list;
}

auto parse_findings(const nlohmann::ordered_json& list) -> findings {
  auto all = findings{};
  if (!list.is_array()) return all;
  for (const auto& x : list) {
    if (!x.is_object() || text_at(x, "message").empty()) continue;
    all.push_back({{text_at(x, "file"), line_at(x), text_at(x, "section"),
                    text_at(x, "key")},
                   text_at(x, "message")});
  }
  return all;
}

}  // namespace figwind
