// Binary encoding of messages and of variants of messages with CAF, through the
// `inspect` functions of the types.

#pragma once

#include <caf/all.hpp>
#include <caf/binary_deserializer.hpp>
#include <caf/binary_serializer.hpp>
#include <cstddef>
#include <cstdint>
#include <type_traits>
#include <utility>
#include <variant>

namespace figwind::detail {

template <class T>
struct is_variant : std::false_type {};
template <class... Ts>
struct is_variant<std::variant<Ts...>> : std::true_type {};

/// Writes `message`; a variant as its index (1 byte) and its value.
template <class Message>
void write(caf::binary_serializer& to, const Message& message) {
  if constexpr (is_variant<Message>::value) {
    write(to, static_cast<std::uint8_t>(message.index()));
    std::visit([&](const auto& x) { write(to, x); }, message);
  } else {
    // CAF 0.17 serializers take values by mutable reference but do not modify
    // them.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
    to(const_cast<Message&>(message));
  }
}

template <class Message>
auto read(caf::binary_deserializer& from, Message& to) -> bool;

/// Reads the alternative of `Variant` with index `kind`; false if there is none
/// or the bytes are damaged.
template <class Variant, std::size_t I = 0>
auto read_alternative(std::size_t kind, caf::binary_deserializer& from,
                      Variant& to) -> bool {
  if constexpr (I == std::variant_size_v<Variant>) {
    return false;
  } else {
    if (kind != I) return read_alternative<Variant, I + 1>(kind, from, to);
    auto x = std::variant_alternative_t<I, Variant>{};
    if (!read(from, x)) return false;
    to = std::move(x);
    return true;
  }
}

/// Reads what `write` wrote; false if the bytes are damaged.
template <class Message>
auto read(caf::binary_deserializer& from, Message& to) -> bool {
  if constexpr (is_variant<Message>::value) {
    auto kind = std::uint8_t{0};
    return read(from, kind) && read_alternative(kind, from, to);
  } else {
    return !from(to);
  }
}

}  // namespace figwind::detail
