#include "figwind/server_links.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace figwind {
namespace {

void add_with_replacements(
    const vm_address& self, std::vector<server> servers, std::size_t count,
    const std::function<bool(const server&)>& is_unreachable,
    std::vector<server>& out) {
  auto reachable = std::size_t{0};
  for (auto& x : rendezvous_subset(self, std::move(servers), 2 * count)) {
    if (reachable == count) return;
    if (!is_unreachable(x)) ++reachable;
    out.push_back(std::move(x));
  }
}

}  // namespace

auto split_by_domain(const std::vector<server>& servers,
                     const failure_domain& own) -> servers_by_domain {
  auto out = servers_by_domain{};
  for (const auto& x : servers) {
    (x.domain == own ? out.local : out.remote).push_back(x);
  }
  return out;
}

auto rendezvous_subset(const vm_address& self, std::vector<server> servers,
                       std::size_t count) -> std::vector<server> {
  const auto seed = XXH3_64bits(self.value.data(), self.value.size());
  auto weighted = std::vector<std::pair<std::uint64_t, std::size_t>>{};
  weighted.reserve(servers.size());
  for (auto i = std::size_t{0}; i < servers.size(); ++i) {
    // The incarnation is not hashed, so that a restarted server stays in the
    // subset.
    const auto& address = servers[i].id.address.value;
    weighted.emplace_back(
        XXH3_64bits_withSeed(address.data(), address.size(), seed), i);
  }
  const auto size = std::min(count, servers.size());
  const auto end = weighted.begin() + static_cast<std::ptrdiff_t>(size);
  std::partial_sort(weighted.begin(), end, weighted.end(), std::greater<>{});
  auto out = std::vector<server>{};
  out.reserve(size);
  for (auto at = weighted.begin(); at != end; ++at) {
    out.push_back(std::move(servers[at->second]));
  }
  return out;
}

auto servers_to_link(const vm_address& self, const failure_domain& own,
                     const std::vector<server>& servers,
                     const std::function<bool(const server&)>& is_unreachable,
                     const subset_limits& limits) -> std::vector<server> {
  auto split = split_by_domain(servers, own);
  auto out = std::vector<server>{};
  add_with_replacements(self, std::move(split.local), limits.local,
                        is_unreachable, out);
  add_with_replacements(self, std::move(split.remote), limits.remote,
                        is_unreachable, out);
  return out;
}

}  // namespace figwind
