// The HTTP headers that carry a call between callers, nodes and backend
// servers.

#pragma once

#include <httplib.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figwind/admission.h"
#include "figwind/call.h"
#include "figwind/call_state.h"

namespace figwind {

namespace header_name {
inline constexpr auto request_id = "Figwind-Request-Id";
inline constexpr auto key = "Figwind-Key";
inline constexpr auto timeout = "Figwind-Timeout-Ms";
inline constexpr auto context = "Figwind-Context";
inline constexpr auto attempt = "Figwind-Attempt";
inline constexpr auto cluster = "Figwind-Cluster";
inline constexpr auto length = "Figwind-Length";
inline constexpr auto checksum = "Figwind-Checksum";
inline constexpr auto outcome = "Figwind-Outcome";
inline constexpr auto reason = "Figwind-Reason";
inline constexpr auto allowance = "Figwind-Retry-Allowance";
inline constexpr auto pressure = "Figwind-Pressure";
inline constexpr auto state = "Figwind-State";
inline constexpr auto sending = "Figwind-Sending";
}  // namespace header_name

/// `id` as 32 hexadecimal digits.
auto to_string(const request_id& id) -> std::string;

/// The reverse of `to_string`; nothing when `text` is not 32 such digits.
auto parse_request_id(const std::string& text) -> std::optional<request_id>;

/// One header value that carries all of `context`.
auto to_header(const call_context& context) -> std::string;

/// The reverse of `to_header`; nothing when a part is missing or malformed.
auto parse_context(const std::string& text) -> std::optional<call_context>;

/// Writes all of `head` as headers; `thresholds` are left out when empty.
auto to_headers(const answer_header& head,
                const std::vector<threshold_report>& thresholds, bool draining)
    -> httplib::Headers;

/// The reverse of `to_headers`; nothing when a part is missing or malformed.
auto parse_head(const httplib::Headers& headers)
    -> std::optional<answer_header>;

/// Thresholds in `headers`; empty when there are none or they are malformed.
auto parse_thresholds(const httplib::Headers& headers)
    -> std::vector<threshold_report>;

/// The value of header `name`, or an empty string.
auto find_header(const httplib::Headers& headers, const std::string& name)
    -> std::string;

/// Checksum of a body (xxHash, 64 bits).
auto checksum(const std::string& body) -> std::uint64_t;

/// `number` as hexadecimal digits.
auto to_hex(std::uint64_t number) -> std::string;

/// The reverse of `to_hex`.
auto parse_hex(const std::string& text) -> std::optional<std::uint64_t>;

}  // namespace figwind
