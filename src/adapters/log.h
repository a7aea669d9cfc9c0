// Log of a process: one JSON object a line.

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace figwind {

/// Typed fields of one log line.
using log_fields = nlohmann::ordered_json;

enum class log_stream : std::uint8_t { error, output };

/// Sets up the log; call it once, before the first line. Of each event at most
/// 10 lines are written in 10 s; the next one written states how many were
/// `suppressed`.
void open_log(const std::string& process, log_stream to = log_stream::error);

/// Writes one line with the event's name and its fields. Event names are
/// literals of the program, and details go into fields: the rate limit is per
/// event name.
void log_info(const std::string& event, const log_fields& fields = {});
void log_warning(const std::string& event, const log_fields& fields = {});
void log_error(const std::string& event, const log_fields& fields = {});

/// Writes a line about one request. Of each event at most 400 lines are written
/// in 10 s.
void log_request(const std::string& event, const log_fields& fields);

}  // namespace figwind
