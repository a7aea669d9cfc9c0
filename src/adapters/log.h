// Log of a process: one JSON object per line, rate-limited by event.

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "figwind/ids.h"

namespace figwind {

/// Typed fields of one log line.
using log_fields = nlohmann::ordered_json;

enum class log_stream : std::uint8_t { error, output };

/// Sets up the log; call it once, before the first line. At most 10 lines per
/// event are written in 10 s; the next line of the event gives the number of
/// `suppressed` ones. A slow reader never blocks the process: lines that would
/// block are dropped, and the next line gives the number of `dropped` ones.
void open_log(const std::string& process, log_stream to = log_stream::error);

/// Writes a line with an event name and fields. Event names must be literals,
/// with details in the fields, because the rate limit is per event name.
void log_info(const std::string& event, const log_fields& fields = {});
void log_warning(const std::string& event, const log_fields& fields = {});
void log_error(const std::string& event, const log_fields& fields = {});

namespace detail {
auto admit_request_line(const std::string& event, const request_id& root)
    -> std::optional<std::uint64_t>;
void write_request_line(const std::string& event, std::uint64_t suppressed,
                        const log_fields& fields);
}  // namespace detail

/// Writes a line about a request in the chain of `root`. At most 400 lines per
/// event are written in 10 s, the last 200 of them only for sampled requests,
/// which all processes log. `fields` returns the fields and is called only if
/// the line is written.
template <class Fields>
void log_request(const std::string& event, const request_id& root,
                 Fields&& fields) {
  const auto suppressed = detail::admit_request_line(event, root);
  if (suppressed) detail::write_request_line(event, *suppressed, fields());
}

}  // namespace figwind
