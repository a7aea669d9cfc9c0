#include "figwind/fleet_settings.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include "figwind/parse.h"

namespace figwind {
namespace {

/// Reads the entries of one file and collects the findings.
class settings_reader {
 public:
  explicit settings_reader(const ini_file& file)
      : file_{file}, found_{file.syntax_errors} {}

  auto text(const char* section, const char* key, bool required)
      -> std::string {
    for (const auto& s : file_.sections) {
      if (s.name != section) continue;
      for (const auto& e : s.entries) {
        if (e.key != key) continue;
        at_ = {file_.name, e.line, section, key};
        if (required && e.value.empty()) refuse("is empty");
        return e.value;
      }
    }
    at_ = {file_.name, 0, section, key};
    if (required) refuse("is missing");
    return {};
  }

  void refuse(const std::string& message) { found_.push_back({at_, message}); }

  auto address(const char* section, const char* key, bool required)
      -> vm_address {
    const auto value = text(section, key, required);
    if (value.empty()) return {};
    const auto parsed = parse_address(value);
    if (!parsed) refuse("is not an IP address with a port: " + value);
    return parsed.value_or(vm_address{});
  }

  auto port(const char* key, bool required) -> std::uint16_t {
    const auto value = text("process", key, required);
    if (value.empty()) return 0;
    const auto parsed = parse_unsigned(value);
    if (!parsed || *parsed == 0 || *parsed > 65535) {
      refuse("is not a port number: " + value);
      return 0;
    }
    return static_cast<std::uint16_t>(*parsed);
  }

  auto time(const char* section, const char* key, duration fallback)
      -> duration {
    const auto value = text(section, key, false);
    if (value.empty()) return fallback;
    const auto parsed = parse_duration(value);
    if (!parsed || parsed->ms <= 0)
      refuse("is not a duration above 0: " + value);
    return parsed.value_or(fallback);
  }

  auto number(const char* section, const char* key, double fallback) -> double {
    const auto value = text(section, key, false);
    if (value.empty()) return fallback;
    const auto parsed = parse_number(value);
    if (!parsed || *parsed < 0)
      refuse("is not a number of at least 0: " + value);
    return parsed.value_or(fallback);
  }

  auto size(const char* section, const char* key, std::size_t fallback)
      -> std::size_t {
    const auto value = text(section, key, false);
    if (value.empty()) return fallback;
    const auto parsed = parse_unsigned(value);
    if (!parsed || *parsed == 0)
      refuse("is not a number of bytes above 0: " + value);
    return parsed.value_or(fallback);
  }

  auto addresses(const char* section, const char* key)
      -> std::vector<vm_address> {
    auto out = std::vector<vm_address>{};
    auto value = text(section, key, true);
    while (!value.empty()) {
      const auto end = std::min(value.find(','), value.size());
      const auto part = value.substr(0, end);
      value.erase(0, end + 1);
      const auto parsed = parse_address(part);
      if (parsed) {
        out.push_back(*parsed);
      } else {
        refuse("is not an IP address with a port: " + part);
      }
    }
    return out;
  }

  auto take_findings() -> findings { return std::move(found_); }

 private:
  const ini_file& file_;
  source_location at_;
  findings found_;
};

}  // namespace

auto parse_fleet_settings(const ini_file& file, fleet_role role)
    -> result<fleet_settings> {
  auto from = settings_reader{file};
  auto out = fleet_settings{};
  out.name = from.text("process", "name", true);
  out.domain = {from.text("process", "failure-domain", true)};
  out.ip = from.text("process", "ip", true);
  out.link_port = from.port("link-port", true);
  out.link_listen_port = from.port("link-listen-port", false);
  out.metrics_port = from.port("metrics-port", false);
  out.control_address = from.address("process", "control-address", true);
  out.seeds = from.addresses("process", "seeds");
  out.grace = from.time("process", "grace", out.grace);
  if (role == fleet_role::node) {
    out.call_address = from.address("node", "call-address", true);
    out.ready_address = from.address("node", "ready-address", true);
    out.backend_address = from.address("node", "backend-address", false);
    out.service = {from.text("node", "service", false)};
  } else {
    out.data_folder = from.text("control", "data-folder", true);
    out.max_state_bytes =
        from.size("control", "max-state-bytes", out.max_state_bytes);
    const auto first = from.text("control", "first-start", false);
    if (!first.empty() && !parse_yes_no(first)) {
      from.refuse("is neither yes nor no: " + first);
    }
    out.first_start = parse_yes_no(first).value_or(false);
  }
  out.repeat_ratio = from.number("repeats", "ratio", out.repeat_ratio);
  out.repeat_slack = from.number("repeats", "slack", out.repeat_slack);
  out.repeat_window = from.time("repeats", "window", out.repeat_window);
  auto found = from.take_findings();
  if (found.empty()) return out;
  sort_by_line(found);
  return found;
}

auto link_listen_address(const fleet_settings& x) -> vm_address {
  const auto has_listen_port = x.link_listen_port != 0;
  return address_at(x.ip, has_listen_port ? x.link_listen_port : x.link_port);
}

auto link_seeds(const fleet_settings& x) -> std::vector<vm_address> {
  auto out = std::vector<vm_address>{};
  for (const auto& seed : x.seeds) {
    out.push_back(address_at(ip_of(seed), x.link_port));
  }
  return out;
}

auto max_proposal_bytes(const fleet_settings& x) -> std::size_t {
  // Ids, names and lengths in the encoding of a change, beside its text.
  constexpr std::size_t max_encoding_overhead = 1024;
  return x.max_state_bytes + max_encoding_overhead;
}

auto address_at(const std::string& ip, std::uint16_t port) -> vm_address {
  return {ip + ":" + std::to_string(port)};
}

auto ip_of(const vm_address& x) -> std::string {
  return x.value.substr(0, x.value.rfind(':'));
}

}  // namespace figwind
