// Commands that read the status: `config status`, `servers`, `services` and
// `members`.

#include "adapters/cli_commands.h"

namespace figwind::cli {
namespace {

using table = std::vector<std::vector<std::string>>;

auto count_at(const json& x, const std::string& key) -> std::string {
  return std::to_string(number_at(x, key));
}

auto yes_no(bool x) -> std::string {
  return x ? "yes" : "no";
}

/// Reads the status and prints it as JSON or with `print`.
template <class Print>
auto show_status(const context& cx, const std::string& part, Print print)
    -> outcome {
  auto reasons = std::string{};
  auto status = read_any(cx, "/v1/status", reasons);
  if (!status) {
    return fail(
        cx, outcome::unknown,
        "no control member answered, repeat with other --servers:" + reasons);
  }
  if (!cx.given.json) {
    print(status->body);
  } else if (part.empty()) {
    cx.out << status->body.dump() << "\n";
  } else {
    cx.out << list_at(status->body, part).dump() << "\n";
  }
  return outcome::done;
}

void print_versions(const context& cx, const json& status) {
  auto rows = table{{"FAILURE DOMAIN", "VERSION", "NODES"}};
  for (const auto& x : list_at(status, "versions")) {
    rows.push_back({text_at(x, "failure_domain"), count_at(x, "version"),
                    count_at(x, "nodes")});
  }
  print_table(cx.out, rows);
  for (const auto& x : list_at(status, "lagging")) {
    cx.out << "lagging: " << text_at(x, "address") << " has version "
           << count_at(x, "version") << "\n";
  }
}

}  // namespace

auto config_status(const context& cx) -> outcome {
  return show_status(cx, "", [&](const json& status) {
    auto roles = std::string{};
    auto listed = status.value("roles", json::array());
    for (const auto& role : listed) {
      if (!role.is_string()) continue;
      roles += (roles.empty() ? "" : ", ") + role.get<std::string>();
    }
    print_table(cx.out, {{"cluster", text_at(status, "cluster")},
                         {"failure domain", text_at(status, "failure_domain")},
                         {"roles", roles},
                         {"ready", yes_no(flag_at(status, "ready"))},
                         {"isolated", yes_no(flag_at(status, "isolated"))},
                         {"draining", yes_no(flag_at(status, "draining"))},
                         {"leader", text_at(status, "leader", "none")},
                         {"version", count_at(status, "version")}});
    cx.out << "\n";
    print_versions(cx, status);
  });
}

auto list_servers(const context& cx) -> outcome {
  return show_status(cx, "services", [&](const json& status) {
    auto rows = table{{"SERVICE", "ADDRESS", "FAILURE DOMAIN", "STATE", "SLOTS",
                       "IN FLIGHT"}};
    for (const auto& service : list_at(status, "services")) {
      for (const auto& x : list_at(service, "servers")) {
        rows.push_back({text_at(service, "service"), text_at(x, "address"),
                        text_at(x, "failure_domain"), text_at(x, "state"),
                        count_at(x, "slots"), count_at(x, "in_flight")});
      }
    }
    print_table(cx.out, rows);
  });
}

auto list_services(const context& cx) -> outcome {
  return show_status(cx, "services", [&](const json& status) {
    auto rows = table{{"SERVICE", "SERVERS", "SERVING", "SLOTS", "IN FLIGHT"}};
    for (const auto& service : list_at(status, "services")) {
      auto servers = list_at(service, "servers");
      auto serving = 0;
      auto slots = std::uint64_t{0};
      auto in_flight = std::uint64_t{0};
      for (const auto& x : servers) {
        in_flight += number_at(x, "in_flight");
        if (text_at(x, "state") != "serving") continue;
        ++serving;
        slots += number_at(x, "slots");
      }
      rows.push_back({text_at(service, "service"),
                      std::to_string(servers.size()), std::to_string(serving),
                      std::to_string(slots), std::to_string(in_flight)});
    }
    print_table(cx.out, rows);
  });
}

auto list_members(const context& cx) -> outcome {
  return show_status(cx, "members", [&](const json& status) {
    auto rows = table{{"ID", "ADDRESS", "STATE", "GENERATION"}};
    for (const auto& x : list_at(status, "members")) {
      rows.push_back({count_at(x, "id"), text_at(x, "address"),
                      text_at(x, "state"), count_at(x, "generation")});
    }
    print_table(cx.out, rows);
    cx.out << "leader: " << text_at(status, "leader", "none") << "\n";
  });
}

}  // namespace figwind::cli
