// Fixed binary format of records on disk and in the log: little-endian
// integers, and strings with a 32-bit length.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace figwind {

/// Appends values to a byte string.
class byte_writer {
 public:
  void put_u8(std::uint8_t x) { bytes_.push_back(static_cast<char>(x)); }
  void put_u32(std::uint32_t x) { put_integer(x); }
  void put_u64(std::uint64_t x) { put_integer(x); }
  void put_double(double x);
  /// Writes the length as 32 bits, then the bytes.
  void put_string(std::string_view x);

  auto bytes() const -> const std::string& { return bytes_; }
  auto take() -> std::string { return std::move(bytes_); }

 private:
  template <class Integer>
  void put_integer(Integer x) {
    for (auto i = 0U; i < sizeof(x); ++i) {
      bytes_.push_back(static_cast<char>((x >> (8 * i)) & 0xffU));
    }
  }

  std::string bytes_;
};

/// Reads values from a byte string. Reading past the end returns zero or an
/// empty string and makes `good` return false.
class byte_reader {
 public:
  explicit byte_reader(std::string_view bytes) : rest_{bytes} {}

  auto get_u8() -> std::uint8_t { return get_integer<std::uint8_t>(); }
  auto get_u32() -> std::uint32_t { return get_integer<std::uint32_t>(); }
  auto get_u64() -> std::uint64_t { return get_integer<std::uint64_t>(); }
  auto get_double() -> double;
  auto get_string() -> std::string;

  /// False after a read past the end.
  auto good() const -> bool { return good_; }
  /// True if everything was read and nothing was missing.
  auto complete() const -> bool { return good_ && rest_.empty(); }

 private:
  auto take(std::size_t size) -> std::string_view;

  template <class Integer>
  auto get_integer() -> Integer {
    auto part = take(sizeof(Integer));
    std::uint64_t x = 0;
    for (auto i = part.size(); i > 0; --i) {
      x = (x << 8U) | static_cast<unsigned char>(part[i - 1]);
    }
    return static_cast<Integer>(x);
  }

  std::string_view rest_;
  bool good_ = true;
};

}  // namespace figwind
