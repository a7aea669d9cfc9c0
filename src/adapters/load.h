// Settings and workloads from files; file errors are findings.

#pragma once

#include <string>

#include "figwind/finding.h"
#include "figwind/settings.h"
#include "figwind/workload.h"

namespace figwind {

/// The whole file as text; a file above 1 MiB is refused because a change of
/// the configuration must fit into one message.
auto load_text(const std::string& path) -> result<std::string>;

auto load_settings(const std::string& path) -> result<process_settings>;

auto load_workload(const std::string& path) -> result<workload>;

}  // namespace figwind
