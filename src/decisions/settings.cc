#include "figwind/settings.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <sstream>

#include "figwind/parse.h"

namespace figwind {
namespace {

using setter = std::function<bool(const std::string&, process_settings&)>;

struct setting_rule {
  setter set;
  std::string requirement;
};

auto set_address(vm_address process_settings::*field) -> setter {
  return [field](const std::string& text, process_settings& to) {
    auto address = parse_address(text);
    if (address) to.*field = *address;
    return address.has_value();
  };
}

auto set_text(std::string process_settings::*field) -> setter {
  return [field](const std::string& text, process_settings& to) {
    to.*field = text;
    return !text.empty();
  };
}

auto set_cluster(const std::string& text, process_settings& to) -> bool {
  to.cluster = parse_name(text).value_or("");
  return !to.cluster.empty();
}

auto set_domain(const std::string& text, process_settings& to) -> bool {
  to.domain.value = parse_name(text).value_or("");
  return !to.domain.value.empty();
}

auto set_roles(const std::string& text, process_settings& to) -> bool {
  auto both = text == "node, control" || text == "control, node";
  to.is_node = both || text == "node";
  to.is_control = both || text == "control";
  return to.is_node || to.is_control;
}

auto set_drain_limit(const std::string& text, process_settings& to) -> bool {
  auto limit = parse_duration(text);
  if (!limit || limit->ms <= 0 || *limit > max_drain_limit) return false;
  to.drain_limit = *limit;
  return true;
}

auto set_member_id(const std::string& text, process_settings& to) -> bool {
  to.member_id = parse_unsigned(text).value_or(0);
  return to.member_id != 0;
}

auto set_members(const std::string& text, process_settings& to) -> bool {
  auto members = std::vector<control_member>{};
  auto in = std::istringstream{text};
  auto item = std::string{};
  while (std::getline(in, item, ',')) {
    item.erase(0, item.find_first_not_of(' '));
    item.erase(item.find_last_not_of(' ') + 1);
    auto at = item.find('@');
    auto slash = item.rfind('/');
    if (at == std::string::npos || slash == std::string::npos) return false;
    if (slash < at || slash + 1 == item.size()) return false;
    auto id = parse_unsigned(item.substr(0, at));
    auto address = parse_address(item.substr(at + 1, slash - at - 1));
    if (!id || *id < 1 || !address) return false;
    members.push_back({*id, *address, {item.substr(slash + 1)}});
  }
  to.members = std::move(members);
  return !to.members.empty();
}

auto rules() -> const std::map<std::string, setting_rule>& {
  static const auto address_rule =
      std::string{"must be an IP address and a port, as in 10.0.0.1:7101"};
  static const auto name_rule =
      std::string{"must be a name of letters, digits, - and _"};
  static const auto all = std::map<std::string, setting_rule>{
      {"process.cluster", {set_cluster, name_rule}},
      {"process.failure_domain", {set_domain, name_rule}},
      {"process.roles",
       {set_roles, "must be node, control or \"node, control\""}},
      {"process.control_address",
       {set_address(&process_settings::control_address), address_rule}},
      {"process.operator_address",
       {set_address(&process_settings::operator_address), address_rule}},
      {"process.token_file",
       {set_text(&process_settings::token_file), "must be a path"}},
      {"node.call_address",
       {set_address(&process_settings::call_address), address_rule}},
      {"node.drain_limit",
       {set_drain_limit,
        "must be a duration above 0 and up to 1440 min, as in 10 min"}},
      {"control.data_folder",
       {set_text(&process_settings::data_folder), "must be a path"}},
      {"control.member_id", {set_member_id, "must be a whole number from 1"}},
      {"control.members",
       {set_members,
        "must be a list as in 1@10.0.0.1:7101/east, 2@10.0.1.1:7101/west"}},
  };
  return all;
}

// Checks that involve several keys, on the values that the setters have
// accepted.
class settings_checks {
 public:
  settings_checks(const ini_file& file, const process_settings& x,
                  findings& found)
      : file_{file}, x_{x}, found_{found} {}

  void run() {
    check_missing();
    check_roles();
    check_own_addresses();
    check_members();
  }

 private:
  void check_missing() {
    for (const auto* key : {"cluster", "failure_domain", "roles",
                            "control_address", "operator_address"}) {
      require("process", key);
    }
    require("control", "members");
    if (x_.is_node) require("node", "call_address");
    if (x_.is_control) require("control", "data_folder");
    if (x_.is_control) require("control", "member_id");
  }

  void check_roles() {
    if (!x_.is_node && !x_.is_control) return;
    for (const auto* key : {"call_address", "drain_limit"}) {
      if (!x_.is_node) refuse("node", key, "is only for the role node");
    }
    for (const auto* key : {"data_folder", "member_id"}) {
      if (!x_.is_control) {
        refuse("control", key, "is only for the role control");
      }
    }
  }

  void check_own_addresses() {
    auto taken = std::set<vm_address>{};
    for (const auto& [section, key, address] :
         {std::tuple{"process", "control_address", x_.control_address},
          std::tuple{"process", "operator_address", x_.operator_address},
          std::tuple{"node", "call_address", x_.call_address}}) {
      if (address.value.empty() || taken.insert(address).second) continue;
      refuse(section, key, "is also another address of this process");
    }
  }

  void check_members() {
    auto ids = std::set<std::uint64_t>{};
    auto addresses = std::set<vm_address>{};
    for (const auto& member : x_.members) {
      auto id = std::to_string(member.id);
      if (!ids.insert(member.id).second) {
        refuse("control", "members", "names the id " + id + " twice");
      }
      if (!addresses.insert(member.address).second) {
        refuse("control", "members",
               "names the address " + member.address.value + " twice");
      }
    }
    if (x_.is_control && x_.member_id != 0 && !x_.members.empty()) {
      check_own_member();
    }
  }

  void check_own_member() {
    auto own = std::find_if(
        x_.members.begin(), x_.members.end(),
        [&](const control_member& m) { return m.id == x_.member_id; });
    if (own == x_.members.end()) {
      refuse("control", "member_id",
             "is not among the members: " + std::to_string(x_.member_id));
    } else if (!x_.control_address.value.empty() &&
               own->address != x_.control_address) {
      refuse("control", "members",
             "gives this member the address " + own->address.value +
                 ", but its control_address is " + x_.control_address.value);
    }
  }

  auto find(const std::string& section, const std::string& key) const
      -> const ini_entry* {
    for (const auto& s : file_.sections) {
      if (s.name != section) continue;
      for (const auto& e : s.entries) {
        if (e.key == key) return &e;
      }
    }
    return nullptr;
  }

  void require(const std::string& section, const std::string& key) {
    if (find(section, key) != nullptr) return;
    auto line = std::size_t{0};
    for (const auto& s : file_.sections) {
      if (s.name == section) line = s.line;
    }
    found_.push_back({{file_.name, line, section, key}, "is missing"});
  }

  void refuse(const std::string& section, const std::string& key,
              const std::string& message) {
    const auto* e = find(section, key);
    if (e == nullptr) return;
    found_.push_back({{file_.name, e->line, section, key}, message});
  }

  const ini_file& file_;
  const process_settings& x_;
  findings& found_;
};

void set_section(const ini_file& file, const ini_section& section,
                 process_settings& x, findings& found) {
  static const auto known = std::set<std::string>{"process", "node", "control"};
  if (known.count(section.name) == 0) {
    found.push_back({{file.name, section.line, section.name, ""},
                     "is not a known section"});
    return;
  }
  auto seen = std::set<std::string>{};
  for (const auto& entry : section.entries) {
    if (!seen.insert(entry.key).second) continue;
    auto where =
        source_location{file.name, entry.line, section.name, entry.key};
    auto rule = rules().find(section.name + "." + entry.key);
    if (rule == rules().end()) {
      found.push_back({where, "is not a known key"});
    } else if (!rule->second.set(entry.value, x)) {
      found.push_back(
          {where, rule->second.requirement + ", not \"" + entry.value + "\""});
    }
  }
}

}  // namespace

auto parse_process_settings(const ini_file& file) -> result<process_settings> {
  auto found = file.syntax_errors;
  auto x = process_settings{};
  for (const auto& section : file.sections) {
    set_section(file, section, x, found);
  }
  settings_checks{file, x, found}.run();
  if (found.empty()) return x;
  sort_by_line(found);
  return found;
}

auto parse_process_settings(const std::string& name, const std::string& text)
    -> result<process_settings> {
  return parse_process_settings(read_ini(name, text));
}

}  // namespace figwind
