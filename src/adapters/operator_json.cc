#include "adapters/operator_json.h"

#include <map>

namespace figwind {
namespace {

auto member_json(const member& x) -> operator_json {
  return {{"id", x.id.value},
          {"address", x.address.value},
          {"state", x.voter ? "voter" : "learner"},
          {"generation", x.generation.value}};
}

auto server_json(const server_record& x) -> operator_json {
  return {{"address", x.call_address.value},
          {"failure_domain", x.domain.value},
          {"state", to_string(x.state)},
          {"slots", x.slots}};
}

auto services_json(const std::vector<server_record>& servers) -> operator_json {
  auto by_service = std::map<std::string, operator_json>{};
  for (const auto& x : servers) {
    auto& list = by_service[x.service.value];
    if (list.is_null()) list = operator_json::array();
    list.push_back(server_json(x));
  }
  auto all = operator_json::array();
  for (auto& [service, list] : by_service) {
    all.push_back({{"service", service}, {"servers", std::move(list)}});
  }
  return all;
}

void add_control(operator_json& to, const control_status& x) {
  to["version"] = x.config.version.value;
  to["leader"] = x.leader.value;
  to["isolated"] = !x.refusal.empty();
  to["reason"] = x.refusal;
  to["role"] = to_string(x.role);
  to["standing"] = to_string(x.standing);
  to["recorder_groups"] = x.groups;
  to["members"] = operator_json::array();
  for (const auto& m : x.members.members) {
    to["members"].push_back(member_json(m));
  }
  to["services"] = services_json(x.servers);
  to["versions"] = operator_json::array();
  for (const auto& [domain, counts] : x.versions) {
    for (const auto& [version, nodes] : counts) {
      to["versions"].push_back({{"failure_domain", domain.value},
                                {"version", version.value},
                                {"nodes", nodes}});
    }
  }
  to["lagging"] = operator_json::array();
  for (const auto& lagging : x.lagging) {
    to["lagging"].push_back({{"address", lagging.node.address.value},
                             {"version", lagging.version.value}});
  }
  to["silent_domains"] = operator_json::array();
  for (const auto& domain : x.silent) {
    to["silent_domains"].push_back(domain.value);
  }
}

void add_node(operator_json& to, const node_status& x) {
  auto servers = std::vector<server_record>{};
  for (const auto& usable : x.servers) servers.push_back(usable.server);
  if (!to.contains("services")) to["services"] = services_json(servers);
  to["node"] = {{"version", x.version.value},
                {"ready", x.ready},
                {"isolated", x.isolated},
                {"draining", x.draining},
                {"drained", x.drained},
                {"service", x.backend.service.value},
                {"in_flight", x.in_flight},
                {"limit", x.limit},
                {"recorded_keys", x.recorded_keys}};
}

}  // namespace

auto status_json(const process_settings& own, const node_status* node,
                 const control_status* control) -> operator_json {
  auto to = operator_json{{"cluster", own.cluster},
                          {"failure_domain", own.domain.value},
                          {"roles", operator_json::array()}};
  auto node_ready = node == nullptr || (node->ready && !node->draining);
  auto control_ready = control == nullptr || control->refusal.empty();
  to["ready"] = node_ready && control_ready;
  to["isolated"] = node != nullptr && node->isolated;
  to["draining"] = node != nullptr && node->draining;
  if (node != nullptr) {
    to["roles"].push_back("node");
    to["version"] = node->version.value;
    to["leader"] = node->leader.value;
  }
  if (control != nullptr) {
    to["roles"].push_back("control");
    add_control(to, *control);
  }
  if (node != nullptr) add_node(to, *node);
  for (const auto* key : {"members", "services", "versions", "lagging"}) {
    if (!to.contains(key)) to[key] = operator_json::array();
  }
  return to;
}

}  // namespace figwind
