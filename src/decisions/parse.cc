#include "figwind/parse.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace figwind {
namespace {

auto is_ip(int family, const std::string& text) -> bool {
  auto bytes = std::array<unsigned char, 16>{};
  return inet_pton(family, text.c_str(), bytes.data()) == 1;
}

auto is_name_char(char c) -> bool {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_';
}

}  // namespace

auto parse_number(const std::string& text) -> std::optional<double> {
  auto number = 0.0;
  const auto* end = text.data() + text.size();
  auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || rest != end) return std::nullopt;
  if (!std::isfinite(number)) return std::nullopt;
  return number;
}

auto parse_unsigned(const std::string& text) -> std::optional<std::uint64_t> {
  auto number = std::uint64_t{0};
  const auto* end = text.data() + text.size();
  auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || rest != end) return std::nullopt;
  return number;
}

auto parse_name(const std::string& text) -> std::optional<std::string> {
  constexpr auto max_name_bytes = std::size_t{63};
  if (text.empty() || text.size() > max_name_bytes) return std::nullopt;
  if (!std::all_of(text.begin(), text.end(), is_name_char)) return std::nullopt;
  return text;
}

auto parse_duration(const std::string& text) -> std::optional<duration> {
  using unit = std::pair<const char*, double>;
  constexpr auto units =
      std::array{unit{"ms", 1}, unit{"s", 1000}, unit{"min", 60'000}};
  auto last_digit = text.find_last_of("0123456789.");
  if (last_digit == std::string::npos) return std::nullopt;
  auto number = parse_number(text.substr(0, last_digit + 1));
  auto name = text.substr(last_digit + 1);
  name.erase(0, name.find_first_not_of(' '));
  const auto* found =
      std::find_if(units.begin(), units.end(),
                   [&](const unit& u) { return u.first == name; });
  if (!number || found == units.end()) return std::nullopt;
  return duration{*number * found->second};
}

auto parse_yes_no(const std::string& text) -> std::optional<bool> {
  if (text == "yes") return true;
  if (text == "no") return false;
  return std::nullopt;
}

auto parse_address(const std::string& text) -> std::optional<vm_address> {
  auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  auto port = parse_unsigned(text.substr(colon + 1));
  if (!port || *port < 1 || *port > 65535) return std::nullopt;
  auto host = text.substr(0, colon);
  auto in_brackets =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  auto valid = in_brackets ? is_ip(AF_INET6, host.substr(1, host.size() - 2))
                           : is_ip(AF_INET, host);
  if (!valid) return std::nullopt;
  return vm_address{text};
}

}  // namespace figwind
