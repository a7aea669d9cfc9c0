#include "figwind/parse.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace figwind {
namespace {

auto parse_port(const std::string& text) -> std::optional<int> {
  auto port = 0;
  const auto* end = text.data() + text.size();
  auto [rest, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc{} || rest != end) return std::nullopt;
  if (port < 1 || port > 65535) return std::nullopt;
  return port;
}

}  // namespace

auto parse_number(const std::string& text) -> std::optional<double> {
  auto number = 0.0;
  const auto* end = text.data() + text.size();
  auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || rest != end) return std::nullopt;
  return number;
}

auto parse_duration(const std::string& text) -> std::optional<duration> {
  using unit = std::pair<const char*, double>;
  constexpr auto units =
      std::array{unit{"ms", 1}, unit{"s", 1000}, unit{"min", 60'000}};
  auto space = text.find_last_of("0123456789.");
  if (space == std::string::npos) return std::nullopt;
  auto number = parse_number(text.substr(0, space + 1));
  auto name = text.substr(space + 1);
  name.erase(0, name.find_first_not_of(' '));
  const auto* found =
      std::find_if(units.begin(), units.end(),
                   [&](const unit& u) { return u.first == name; });
  if (!number || found == units.end()) return std::nullopt;
  return duration{*number * found->second};
}

auto parse_flag(const std::string& text) -> std::optional<bool> {
  if (text == "yes") return true;
  if (text == "no") return false;
  return std::nullopt;
}

auto parse_address(const std::string& text) -> std::optional<vm_address> {
  auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  if (!parse_port(text.substr(colon + 1))) return std::nullopt;
  auto host = text.substr(0, colon);
  auto is_ip4 = host.find_first_not_of("0123456789.") == std::string::npos &&
                std::count(host.begin(), host.end(), '.') == 3;
  auto is_ip6 = host.front() == '[' && host.back() == ']';
  if (!is_ip4 && !is_ip6) return std::nullopt;
  return vm_address{text};
}

}  // namespace figwind
