#include "adapters/codec.h"

#include <utility>

#include "adapters/binary_codec.h"

namespace figwind {
namespace {

// "fw" and the version of the format; it changes with any message.
constexpr auto format = std::uint32_t{0x66770001};

struct message_head {
  std::uint32_t format = 0;
  std::string cluster;
  vm_address sender;
  std::uint8_t family = 0;
  std::uint8_t kind = 0;
};

template <class Inspector>
auto inspect(Inspector& f, message_head& x) {
  return f(x.format, x.cluster, x.sender, x.family, x.kind);
}

auto refuse(const std::string& reason) -> findings {
  return {{{}, reason}};
}

template <std::size_t I = 0>
auto read_family(const message_head& head, caf::binary_deserializer& from,
                 process_message& to) -> bool {
  if constexpr (I == std::variant_size_v<process_message>) {
    return false;
  } else {
    if (head.family != I) return read_family<I + 1>(head, from, to);
    auto x = std::variant_alternative_t<I, process_message>{};
    if (!detail::read_alternative(head.kind, from, x)) return false;
    to = std::move(x);
    return true;
  }
}

}  // namespace

auto encode(const std::string& cluster, const envelope& x)
    -> std::vector<char> {
  auto bytes = std::vector<char>{};
  auto to = caf::binary_serializer{nullptr, bytes};
  auto head = message_head{format, cluster, x.sender,
                           static_cast<std::uint8_t>(x.message.index()), 0};
  std::visit(
      [&](const auto& family) {
        head.kind = static_cast<std::uint8_t>(family.index());
        to(head);
        std::visit([&](const auto& message) { detail::write(to, message); },
                   family);
      },
      x.message);
  return bytes;
}

auto decode_envelope(const std::string& cluster, const char* bytes,
                     std::size_t size) -> result<envelope> {
  if (size > max_message_size) return refuse("oversized");
  auto from = caf::binary_deserializer{nullptr, bytes, size};
  auto head = message_head{};
  if (from(head.format)) return refuse("malformed");
  if (head.format != format) return refuse("other-format");
  if (from(head.cluster, head.sender, head.family, head.kind)) {
    return refuse("malformed");
  }
  if (head.cluster != cluster) return refuse("other-cluster");
  auto x = envelope{head.sender, {}};
  if (!read_family(head, from, x.message)) return refuse("malformed");
  if (from.remaining() != 0) return refuse("malformed");
  return x;
}

}  // namespace figwind
