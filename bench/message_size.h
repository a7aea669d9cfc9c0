// Size of a message as its fields take it, without the envelope.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <type_traits>
#include <vector>

namespace figwind::bench {

/// Sums the sizes of the fields of a message; a length takes 4 bytes.
class size_counter {
 public:
  template <class... Fields>
  auto operator()(Fields&... fields) -> bool {
    (add(fields), ...);
    return true;
  }

  [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

 private:
  template <class T>
  void add(T& x) {
    if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
      bytes_ += sizeof(T);
    } else {
      inspect(*this, x);
    }
  }
  void add(std::string& x) { bytes_ += 4 + x.size(); }
  template <class T>
  void add(std::vector<T>& all) {
    bytes_ += 4;
    for (auto& x : all) add(x);
  }

  std::size_t bytes_ = 0;
};

template <class Message>
auto size_of(Message x) -> std::size_t {
  auto counter = size_counter{};
  inspect(counter, x);
  return counter.bytes();
}

}  // namespace figwind::bench
