// Log of a process: one JSON object a line, on standard error.

#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace figwind {

/// Typed fields of one log line.
using log_fields = nlohmann::ordered_json;

/// Sets up the log; call it once, before the first line.
void open_log(const std::string& process);

/// Writes one line with the event's name and its fields.
void log_info(const std::string& event, const log_fields& fields = {});
void log_warning(const std::string& event, const log_fields& fields = {});
void log_error(const std::string& event, const log_fields& fields = {});

}  // namespace figwind
