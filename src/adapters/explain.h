// The story of one request, joined from the logs of several processes.

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace figwind {

/// One line of a log that belongs to the request or to a call of its chain.
struct story_line {
  std::int64_t time_ms = 0;
  /// What the line's file has before the object, else the file's name.
  std::string source;
  /// Hops above the call; 0 for the request itself.
  int depth = 0;
  nlohmann::ordered_json fields;
};

struct story {
  /// In order of time.
  std::vector<story_line> lines;
  /// The deepest failure in the chain, or how the request ended.
  std::string cause;
};

/// Text of one log file and its name.
struct log_text {
  std::string name;
  std::string text;
};

/// Joins the lines of the request with `id`. Lines that are no JSON objects are
/// ignored; the story is empty when no line names the request.
auto explain(const std::string& id, const std::vector<log_text>& logs) -> story;

}  // namespace figwind
