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
constexpr auto context_parts = std::size_t{11};
constexpr auto max_depth = 64;
constexpr auto max_allowance = 1024;

auto is_valid(const call_context& x) -> bool {
  return x.importance >= 1 && x.depth >= 0 && x.depth <= max_depth &&
         x.retry_allowance >= 0 && x.retry_allowance <= max_allowance &&
         std::isfinite(x.time_left.ms) && !x.name.value.empty();
}

template <class T>
auto find_value(const std::string& text, T last) -> std::optional<T> {
  for (auto i = 0; i <= static_cast<int>(last); ++i) {
    auto x = static_cast<T>(i);
    if (text == to_string(x)) return x;
  }
  return std::nullopt;
}

template <class T>
auto parse_count(const std::string& text) -> std::optional<T> {
  auto number = T{0};
  const auto* end = text.data() + text.size();
  auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || rest != end) return std::nullopt;
  return number;
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
                                x.origin_domain.value, x.key.value,
                                x.call_number, x.parent, x.first_sending})
      .dump();
}

auto parse_context(const std::string& text) -> std::optional<call_context> {
  if (text.size() > max_context_size) return std::nullopt;
  auto parts = nlohmann::json::parse(text, nullptr, false);
  if (!parts.is_array() || parts.size() != context_parts) return std::nullopt;
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
                          {parts[7].get<std::string>()},
                          parts[8].get<std::uint64_t>(),
                          parts[9].get<std::uint64_t>(),
                          parts[10].get<bool>()};
    if (!is_valid(x)) return std::nullopt;
    return x;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

auto to_headers(const answer_header& head,
                const std::vector<threshold_report>& thresholds, bool draining)
    -> httplib::Headers {
  auto headers = httplib::Headers{
      {header_name::request_id, to_string(head.id)},
      {header_name::attempt, std::to_string(head.attempt)},
      {header_name::outcome, to_string(head.status)},
      {header_name::reason, to_string(head.reason)},
      {header_name::allowance, std::to_string(head.returned_allowance)},
      {header_name::length, std::to_string(head.length)},
      {header_name::checksum, to_hex(head.checksum)},
      {header_name::state, draining ? "draining" : "serving"}};
  if (thresholds.empty()) return headers;
  auto list = nlohmann::json::array();
  for (const auto& x : thresholds) {
    list.push_back({x.service.value, x.reporter.value, x.threshold.value});
  }
  headers.emplace(header_name::pressure, list.dump());
  return headers;
}

auto parse_head(const httplib::Headers& headers)
    -> std::optional<answer_header> {
  auto text = [&](const char* name) { return find_header(headers, name); };
  auto id = parse_request_id(text(header_name::request_id));
  auto attempt = parse_count<attempt_number>(text(header_name::attempt));
  auto status = find_value(text(header_name::outcome), call_status::unknown);
  auto reason = find_value(text(header_name::reason), refusal::malformed);
  auto allowance = parse_count<int>(text(header_name::allowance));
  auto length = parse_count<std::uint64_t>(text(header_name::length));
  auto sum = parse_hex(text(header_name::checksum));
  if (!id || !attempt || !status || !reason || !allowance || !length || !sum) {
    return std::nullopt;
  }
  return answer_header{*id,        *attempt, *status, *reason,
                       *allowance, *length,  *sum};
}

auto parse_thresholds(const httplib::Headers& headers)
    -> std::vector<threshold_report> {
  auto list = nlohmann::json::parse(find_header(headers, header_name::pressure),
                                    nullptr, false);
  auto all = std::vector<threshold_report>{};
  if (!list.is_array()) return all;
  try {
    for (const auto& x : list) {
      all.push_back({{x.at(0).get<std::string>()},
                     {x.at(1).get<std::string>()},
                     {x.at(2).get<std::uint64_t>()}});
    }
  } catch (const nlohmann::json::exception&) {
    return {};
  }
  return all;
}

auto find_header(const httplib::Headers& headers, const std::string& name)
    -> std::string {
  auto found = headers.find(name);
  return found == headers.end() ? std::string{} : found->second;
}

auto checksum(const std::string& body) -> std::uint64_t {
  return XXH3_64bits(body.data(), body.size());
}

}  // namespace figwind
