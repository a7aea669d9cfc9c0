#include "figwind/settings.h"

#include <algorithm>
#include <functional>
#include <map>
#include <sstream>

#include "figwind/parse.h"

namespace figwind {
namespace {

using setter = std::function<bool(const std::string&, settings&)>;

struct setting_rule {
  setter set;
  std::string requirement;
};

auto set_address(vm_address settings::*field) -> setter {
  return [field](const std::string& text, settings& to) {
    auto address = parse_address(text);
    if (address) to.*field = *address;
    return address.has_value();
  };
}

auto set_text(std::string settings::*field) -> setter {
  return [field](const std::string& text, settings& to) {
    to.*field = text;
    return !text.empty();
  };
}

auto set_roles(const std::string& text, settings& to) -> bool {
  to.is_node = text == "node" || text == "node, control";
  to.is_control = text == "control" || text == "node, control";
  return to.is_node || to.is_control;
}

auto set_domain(const std::string& text, settings& to) -> bool {
  to.domain.value = text;
  return !text.empty() && text.find('.') == std::string::npos;
}

auto set_drain_limit(const std::string& text, settings& to) -> bool {
  auto limit = parse_duration(text);
  if (limit) to.drain_limit = *limit;
  return limit && limit->ms > 0;
}

auto set_member_id(const std::string& text, settings& to) -> bool {
  auto id = parse_number(text);
  if (id && *id >= 1) to.member_id = static_cast<std::uint64_t>(*id);
  return to.member_id != 0;
}

auto set_members(const std::string& text, settings& to) -> bool {
  auto in = std::istringstream{text};
  auto item = std::string{};
  while (std::getline(in, item, ',')) {
    item.erase(0, item.find_first_not_of(' '));
    auto at = item.find('@');
    if (at == std::string::npos) return false;
    auto id = parse_number(item.substr(0, at));
    auto address = parse_address(item.substr(at + 1));
    if (!id || *id < 1 || !address) return false;
    to.members.push_back({static_cast<std::uint64_t>(*id), *address});
  }
  return !to.members.empty();
}

auto rules() -> const std::map<std::string, setting_rule>& {
  static const auto address_rule =
      std::string{"must be an IP number and a port"};
  static const auto all = std::map<std::string, setting_rule>{
      {"process.cluster", {set_text(&settings::cluster), "must be a name"}},
      {"process.failure_domain",
       {set_domain, "must be a name without a full stop"}},
      {"process.roles",
       {set_roles, "must be node, control or \"node, control\""}},
      {"process.control_address",
       {set_address(&settings::control_address), address_rule}},
      {"process.operator_address",
       {set_address(&settings::operator_address), address_rule}},
      {"process.token_file",
       {set_text(&settings::token_file), "must be a path"}},
      {"node.call_address",
       {set_address(&settings::call_address), address_rule}},
      {"node.drain_limit",
       {set_drain_limit, "must be a duration, as in 10 min"}},
      {"control.data_folder",
       {set_text(&settings::data_folder), "must be a path"}},
      {"control.member_id", {set_member_id, "must be a number from 1"}},
      {"control.members",
       {set_members, "must be a list as in 1@10.0.0.1:7101, 2@10.0.1.1:7101"}},
  };
  return all;
}

void require(bool given, const ini_file& file, const std::string& section,
             const std::string& key, findings& found) {
  if (!given) found.push_back({{file.name, 0, section, key}, "is missing"});
}

void check_required(const settings& x, const ini_file& file, findings& found) {
  require(!x.cluster.empty(), file, "process", "cluster", found);
  require(!x.domain.value.empty(), file, "process", "failure_domain", found);
  require(x.is_node || x.is_control, file, "process", "roles", found);
  require(!x.control_address.value.empty(), file, "process", "control_address",
          found);
  require(!x.operator_address.value.empty(), file, "process",
          "operator_address", found);
  require(!x.members.empty(), file, "control", "members", found);
  if (x.is_node) {
    require(!x.call_address.value.empty(), file, "node", "call_address", found);
  }
  if (x.is_control) {
    require(!x.data_folder.empty(), file, "control", "data_folder", found);
    require(x.member_id != 0, file, "control", "member_id", found);
  }
}

}  // namespace

auto parse_settings(const ini_file& file) -> result<settings> {
  auto found = findings{};
  auto x = settings{};
  for (const auto& section : file.sections) {
    for (const auto& entry : section.entries) {
      auto where = place{file.name, entry.line, section.name, entry.key};
      auto rule = rules().find(section.name + "." + entry.key);
      if (rule == rules().end()) {
        found.push_back({where, "is not a known key"});
      } else if (!rule->second.set(entry.value, x)) {
        found.push_back({where, rule->second.requirement + ", not \"" +
                                    entry.value + "\""});
      }
    }
  }
  if (found.empty()) check_required(x, file, found);
  if (!found.empty()) return found;
  return x;
}

}  // namespace figwind
