#include "adapters/load.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace figwind {
namespace {

constexpr auto max_file_bytes = std::uintmax_t{1} << 20U;

auto refuse(const std::string& path, const std::string& message) -> findings {
  return {{{path, 0, "", ""}, message}};
}

}  // namespace

auto load_text(const std::string& path) -> result<std::string> {
  auto error = std::error_code{};
  auto status = std::filesystem::status(path, error);
  if (!std::filesystem::exists(status)) {
    return refuse(path, "cannot be read: no such file");
  }
  if (!std::filesystem::is_regular_file(status)) {
    return refuse(path, "cannot be read: not a regular file");
  }
  auto size = std::filesystem::file_size(path, error);
  if (!error && size > max_file_bytes) {
    return refuse(path, "is larger than 1 MiB");
  }
  auto in = std::ifstream{path, std::ios::binary};
  if (!in) {
    return refuse(path, std::string{"cannot be read: "} + strerror(errno));
  }
  auto text = std::string{std::istreambuf_iterator<char>{in}, {}};
  if (in.bad()) return refuse(path, "cannot be read to its end");
  return text;
}

auto load_settings(const std::string& path) -> result<process_settings> {
  auto text = load_text(path);
  if (!ok(text)) return errors(text);
  return parse_process_settings(path, value(text));
}

auto load_workload(const std::string& path) -> result<workload> {
  auto text = load_text(path);
  if (!ok(text)) return errors(text);
  return parse_workload(path, value(text));
}

}  // namespace figwind
