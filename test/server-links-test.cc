#include "figwind/server_links.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "section.h"

namespace figwind {
namespace {

using test::section;

const auto self = vm_address{"10.0.1.1:7001"};
const auto own_domain = failure_domain{"a"};

auto make_server(int i, const std::string& domain) -> server {
  const auto address = vm_address{"10.0.0." + std::to_string(i) + ":7201"};
  auto out = server{};
  out.id = {address, {1}};
  out.call_address = address;
  out.domain = {domain};
  return out;
}

/// Servers in six failure domains, as many in each.
auto make_servers(int count) -> std::vector<server> {
  auto out = std::vector<server>{};
  for (auto i = 0; i < count; ++i) {
    out.push_back(make_server(i, std::string(1, "abcdef"[i % 6])));
  }
  return out;
}

auto addresses(const std::vector<server>& from) -> std::set<std::string> {
  auto out = std::set<std::string>{};
  for (const auto& x : from) out.insert(x.call_address.value);
  return out;
}

auto link(const std::vector<server>& servers,
          const std::set<std::string>& unreachable = {}) {
  return servers_to_link(self, own_domain, servers, [&](const server& x) {
    return unreachable.count(x.call_address.value) != 0;
  });
}

// Guards against connections that move with every change of membership, and
// against a subset that depends on the order of the list.
TEST(rendezvous_subset, is_kept_under_change) {
  auto all = std::vector<server>{};
  for (auto i = 0; i < 200; ++i) all.push_back(make_server(i, "a"));
  const auto before = rendezvous_subset(self, all, 12);
  section("with the list reversed", [&] {
    std::reverse(all.begin(), all.end());
    EXPECT_TRUE(rendezvous_subset(self, all, 12) == before);
  });
  section("without one of its servers", [&] {
    std::erase(all, before[3]);
    const auto after = rendezvous_subset(self, all, 12);
    auto kept = 0;
    for (const auto& s : before) {
      kept += std::find(after.begin(), after.end(), s) != after.end() ? 1 : 0;
    }
    EXPECT_EQ(kept, 11);
  });
}

// Guards against links of a node that grow with the fleet, and against a node
// without servers when a failure domain or more is cut off.
TEST(servers_to_link, replaces_servers_that_cannot_be_reached) {
  section("all servers of a small service", [] {
    const auto all = make_servers(14);
    EXPECT_EQ(addresses(link(all)), addresses(all));
  });
  const auto all = make_servers(120);
  const auto linked = link(all);
  section("at most 12 in the domain and 12 in others", [&] {
    EXPECT_EQ(linked.size(), 24U);
    const auto local =
        std::count_if(linked.begin(), linked.end(),
                      [](const server& x) { return x.domain == own_domain; });
    EXPECT_EQ(local, 12);
  });
  section("a replacement for each that cannot be reached", [&] {
    auto lost = std::set<std::string>{};
    for (const auto& x : linked) {
      if (x.domain.value == "b") lost.insert(x.call_address.value);
    }
    ASSERT_FALSE(lost.empty());
    const auto after = link(all, lost);
    EXPECT_GE(after.size(), 24 + lost.size());
    const auto kept = addresses(after);
    for (const auto& x : linked) {
      EXPECT_EQ(kept.count(x.call_address.value), 1U);
    }
  });
  section("bounded while nothing can be reached", [&] {
    EXPECT_EQ(link(all, addresses(all)).size(), 44U);  // 20 local servers
  });
}

// Guards against servers of a large service that hardly any node calls.
TEST(servers_to_link, uses_all_servers_evenly) {
  constexpr auto nodes = 600;
  const auto all = make_servers(120);
  auto uses = std::map<std::string, int>{};
  for (auto i = 0; i < nodes; ++i) {
    const auto node = vm_address{"10.1." + std::to_string(i / 200) + "." +
                                 std::to_string(i % 200) + ":7001"};
    const auto domain = failure_domain{std::string(1, "abcdef"[i % 6])};
    for (const auto& x : servers_to_link(node, domain, all,
                                         [](const server&) { return false; })) {
      ++uses[x.call_address.value];
    }
  }
  // 24 of 120 servers for each node: 120 uses a server.
  EXPECT_EQ(uses.size(), all.size());
  for (const auto& [address, count] : uses) {
    EXPECT_GT(count, 60) << address;
    EXPECT_LT(count, 180) << address;
  }
}

}  // namespace
}  // namespace figwind
