#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "figwind/key_recorder.h"

namespace figwind {

namespace {

auto is_domain_character(char c) -> bool {
  const auto letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return letter || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

auto is_visible(char c) -> bool {
  return c >= 0x21 && c <= 0x7e;
}

/// Larger numbers of milliseconds are not exact in a double.
constexpr std::uint64_t max_creation_ms = std::uint64_t{1} << 53U;

}  // namespace

auto parse_key(const request_key& key, const key_limits& limits)
    -> std::optional<key_parts> {
  const auto& text = key.value;
  if (text.size() > limits.max_length) return std::nullopt;
  const auto first = text.find('.');
  if (first == std::string::npos || first == 0) return std::nullopt;
  const auto second = text.find('.', first + 1);
  if (second == std::string::npos) return std::nullopt;
  auto out = key_parts{{text.substr(0, first)}, {}, text.substr(second + 1)};
  const auto& domain = out.domain.value;
  if (!std::all_of(domain.begin(), domain.end(), is_domain_character)) {
    return std::nullopt;
  }
  const auto& unique = out.unique;
  if (unique.empty() || !std::all_of(unique.begin(), unique.end(), is_visible))
    return std::nullopt;
  auto creation_ms = std::uint64_t{0};
  const auto* end = text.data() + second;
  const auto read =
      std::from_chars(text.data() + first + 1, end, creation_ms, 16);
  if (read.ec != std::errc{} || read.ptr != end) return std::nullopt;
  if (creation_ms > max_creation_ms) return std::nullopt;
  out.creation_time = {static_cast<double>(creation_ms)};
  return out;
}

auto check_key(const request_key& key, time_point unix_now,
               const key_limits& limits) -> key_validity {
  const auto parts = parse_key(key, limits);
  if (!parts) return key_validity::malformed;
  if (unix_now - parts->creation_time > limits.retention)
    return key_validity::expired;
  if (parts->creation_time - unix_now > limits.max_clock_lead)
    return key_validity::from_future;
  return key_validity::valid;
}

auto group_index_of(const request_key& key, std::uint32_t count)
    -> std::uint32_t {
  const auto hash = XXH64(key.value.data(), key.value.size(), 0);
  return static_cast<std::uint32_t>(hash % count);
}

}  // namespace figwind
