#include "adapters/call_headers.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace figwind {
namespace {

constexpr auto hex_digits = std::size_t{16};
// Longer contexts are refused before they are parsed.
constexpr auto max_context_size = std::size_t{4096};
constexpr auto max_depth = 64;
constexpr auto max_allowance = 1024;

auto is_valid(const call_context& x) -> bool {
  return x.importance >= 1 && x.depth >= 0 && x.depth <= max_depth &&
         x.retry_allowance >= 0 && x.retry_allowance <= max_allowance &&
         std::isfinite(x.time_left.ms) && !x.name.value.empty();
}

auto padded(std::uint64_t number) -> std::string {
  auto text = to_hex(number);
  return std::string(hex_digits - text.size(), '0') + text;
}

}  // namespace

auto to_hex(std::uint64_t number) -> std::string {
  auto buffer = std::array<char, hex_digits>{};
  auto end = std::to_chars(buffer.begin(), buffer.end(), number, 16).ptr;
  return {buffer.begin(), end};
}

auto parse_hex(const std::string& text) -> std::optional<std::uint64_t> {
  auto number = std::uint64_t{0};
  const auto* end = text.data() + text.size();
  auto [rest, error] = std::from_chars(text.data(), end, number, 16);
  if (error != std::errc{} || rest != end) return std::nullopt;
  return number;
}

auto to_string(const request_id& id) -> std::string {
  return padded(id.high) + padded(id.low);
}

auto parse_request_id(const std::string& text) -> std::optional<request_id> {
  if (text.size() != 2 * hex_digits) return std::nullopt;
  auto high = parse_hex(text.substr(0, hex_digits));
  auto low = parse_hex(text.substr(hex_digits));
  if (!high || !low) return std::nullopt;
  return request_id{*high, *low};
}

auto to_header(const call_context& x) -> std::string {
  return nlohmann::json::array({to_string(x.id), x.name.value, x.importance,
                                x.depth, x.time_left.ms, x.retry_allowance,
                                x.origin.value, x.key.value})
      .dump();
}

auto parse_context(const std::string& text) -> std::optional<call_context> {
  if (text.size() > max_context_size) return std::nullopt;
  auto parts = nlohmann::json::parse(text, nullptr, false);
  if (!parts.is_array() || parts.size() != 8) return std::nullopt;
  try {
    auto id = parse_request_id(parts[0].get<std::string>());
    if (!id) return std::nullopt;
    auto x = call_context{*id,
                          {parts[1].get<std::string>()},
                          parts[2].get<int>(),
                          parts[3].get<int>(),
                          {parts[4].get<double>()},
                          parts[5].get<int>(),
                          {parts[6].get<std::string>()},
                          {parts[7].get<std::string>()}};
    if (!is_valid(x)) return std::nullopt;
    return x;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

auto checksum(const std::string& body) -> std::uint64_t {
  return XXH3_64bits(body.data(), body.size());
}

}  // namespace figwind
