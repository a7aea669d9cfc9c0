#include "figwind/bytes.h"

#include <bit>

namespace figwind {

void byte_writer::put_double(double x) {
  put_u64(std::bit_cast<std::uint64_t>(x));
}

void byte_writer::put_string(std::string_view x) {
  put_u32(static_cast<std::uint32_t>(x.size()));
  bytes_.append(x);
}

auto byte_reader::get_double() -> double {
  return std::bit_cast<double>(get_u64());
}

auto byte_reader::get_string() -> std::string {
  auto size = get_u32();
  return std::string{take(size)};
}

auto byte_reader::take(std::size_t size) -> std::string_view {
  if (size > rest_.size()) {
    good_ = false;
    rest_ = {};
    return {};
  }
  auto part = rest_.substr(0, size);
  rest_.remove_prefix(size);
  return part;
}

}  // namespace figwind
