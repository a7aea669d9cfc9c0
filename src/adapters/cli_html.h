// The page of `figwind report --html`.

#pragma once

#include <string>
#include <vector>

#include "figwind/burn.h"

namespace figwind::cli {

/// What a page shows.
struct report_page {
  std::vector<class_burn_report> classes;
  config_version version;
  /// Addresses whose counts are missing.
  std::vector<std::string> missing;
  time_point made_at;
};

/// One HTML page that needs no other file, script or network.
auto to_html(const report_page& page) -> std::string;

/// A time on the Unix clock as in 2026-12-04 05:10 UTC.
auto to_utc_text(time_point at) -> std::string;

/// A span as in 3.5 days, "never" when infinite and "spent" when 0.
auto to_span_text(duration span) -> std::string;

/// A share as a percentage as in 99.95%.
auto to_percent_text(double share) -> std::string;

}  // namespace figwind::cli
