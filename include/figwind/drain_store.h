// Durable record of the backend servers that drain or have left, kept by a
// control member. It holds what was acknowledged to these servers beyond a
// restart of all processes that know it: a restarted node asks the members for
// the state before its start.
//
// One file with one frame, replaced as a whole: it holds a report for each node
// whose server has drained within the last minutes.

#pragma once

#include <string>
#include <vector>

#include "figwind/finding.h"
#include "figwind/fleet_messages.h"
#include "figwind/storage.h"

namespace figwind {

constexpr auto drain_file_name = "drains";

namespace detail {

auto encode_drains(const std::vector<node_report>& all) -> std::string;
/// Returns findings if the bytes are damaged or have an unknown format.
auto decode_drains(const std::string& bytes)
    -> result<std::vector<node_report>>;

}  // namespace detail

/// Reads the reports saved last; none if there is no file.
template <file_port Files>
auto load_drains(Files& files) -> result<std::vector<node_report>> {
  const auto content = files.read(drain_file_name);
  if (content.status != io_status::done) {
    return findings{{{drain_file_name, 0, "", ""}, "cannot be read"}};
  }
  if (!content.found) return std::vector<node_report>{};
  return detail::decode_drains(content.bytes);
}

/// Replaces the saved reports. Returns `done` only once they are durable; after
/// an error, the file holds either these or those before.
template <file_port Files>
auto save_drains(Files& files, const std::vector<node_report>& all)
    -> io_status {
  const auto new_name = std::string{drain_file_name} + ".new";
  auto status = files.remove(new_name);
  const auto next = [&status](auto step) {
    if (status == io_status::done) status = step();
  };
  next([&] { return files.append(new_name, detail::encode_drains(all)); });
  next([&] { return files.sync(new_name); });
  next([&] { return files.rename(new_name, drain_file_name); });
  next([&] { return files.sync_folder(); });
  return status;
}

}  // namespace figwind
