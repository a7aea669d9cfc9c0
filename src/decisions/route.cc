#include "figwind/route.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

namespace figwind {
namespace {

auto lower_host(std::string_view host) -> std::string {
  const auto colon = host.rfind(':');
  if (colon != std::string_view::npos) host = host.substr(0, colon);
  auto out = std::string{host};
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

auto total_weight(const route& x) -> double {
  auto total = 0.0;
  for (const auto& part : x.services) total += part.weight;
  return total;
}

void check_route(const route& x, const std::set<service_name>& services,
                 findings& out) {
  const auto add = [&](const std::string& key, const std::string& message) {
    out.push_back({{"", 0, x.name.value, key}, message});
  };
  const auto& prefix = x.path_prefix;
  if (x.host.empty()) add("host", "is empty");
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    add("path prefix", "must begin and end with a slash");
  }
  if (x.timeout.ms <= 0) add("timeout", "must be above 0");
  if (x.max_attempts < 1) add("attempts", "must be at least 1");
  if (x.services.empty()) add("services", "names no service");
  for (const auto& part : x.services) {
    if (part.weight < 0) add("weight", "must be at least 0");
    if (services.count(part.service) == 0) {
      add("service", "is unknown: " + part.service.value);
    }
  }
}

}  // namespace

auto check(const route_config& config) -> findings {
  auto out = findings{};
  auto services = std::set<service_name>{};
  for (const auto& x : config.services) services.insert(x.name);
  auto hosts_and_prefixes = std::set<std::pair<std::string, std::string>>{};
  for (const auto& x : config.routes) {
    check_route(x, services, out);
    if (!hosts_and_prefixes.emplace(lower_host(x.host), x.path_prefix).second) {
      out.push_back({{"", 0, x.name.value, "path prefix"},
                     "has the host and prefix of another route"});
    }
  }
  return out;
}

route_table::route_table(route_config config) : config_{std::move(config)} {
  for (auto i = std::size_t{0}; i < config_.routes.size(); ++i) {
    const auto& x = config_.routes[i];
    by_host_and_prefix_.emplace(lower_host(x.host) + x.path_prefix, i);
  }
}

auto route_table::find(std::string_view host, std::string_view path) const
    -> const route* {
  path = path.substr(0, path.find('?'));
  auto key = lower_host(host);
  const auto host_size = key.size();
  key += path;
  // Prefixes end with a slash, so only positions after a slash are looked up.
  for (auto end = key.rfind('/');
       end != std::string::npos && end >= host_size;) {
    key.resize(end + 1);
    const auto found = by_host_and_prefix_.find(key);
    if (found != by_host_and_prefix_.end())
      return &config_.routes[found->second];
    if (end == host_size) break;
    end = key.rfind('/', end - 1);
  }
  return nullptr;
}

auto choose_service(const route& x, double unit) -> const weighted_service* {
  auto remaining = unit * total_weight(x);
  const weighted_service* last = nullptr;
  for (const auto& part : x.services) {
    if (part.weight <= 0) continue;
    last = &part;
    remaining -= part.weight;
    if (remaining < 0) break;
  }
  return last;
}

}  // namespace figwind
