#include "adapters/fleet_codec.h"

#include <cstdint>
#include <vector>

#include "adapters/binary_codec.h"

namespace figwind {
namespace {

// Must change with the layout of any message.
constexpr std::uint8_t format = 6;

}  // namespace

auto encode_frame(const fleet_message& x) -> std::string {
  auto bytes = std::vector<char>(frame_prefix_size);
  auto to = caf::binary_serializer{nullptr, bytes};
  detail::write(to, format);
  detail::write(to, x);
  const auto size = bytes.size() - frame_prefix_size;
  for (auto i = std::size_t{0}; i < frame_prefix_size; ++i) {
    const auto shift = 8 * (frame_prefix_size - 1 - i);
    bytes[i] = static_cast<char>((size >> shift) & 0xffU);
  }
  return {bytes.begin(), bytes.end()};
}

auto parse_frame_size(std::string_view head) -> std::size_t {
  auto out = std::size_t{0};
  for (const auto byte : head.substr(0, frame_prefix_size)) {
    out = (out << 8U) | static_cast<unsigned char>(byte);
  }
  return out;
}

auto decode_frame(std::string_view bytes) -> result<fleet_message> {
  const auto refuse = [](const char* reason) { return findings{{{}, reason}}; };
  auto from = caf::binary_deserializer{nullptr, bytes.data(), bytes.size()};
  auto read_format = std::uint8_t{0};
  auto out = fleet_message{};
  if (!detail::read(from, read_format)) return refuse("malformed");
  if (read_format != format) return refuse("other format");
  if (!detail::read(from, out)) return refuse("malformed");
  if (from.remaining() != 0) return refuse("malformed");
  return out;
}

}  // namespace figwind
