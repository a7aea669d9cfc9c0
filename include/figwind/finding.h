// Results and findings. Errors in an input are collected with their location
// and reported together.

#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace figwind {

/// Where in an input a problem was found. Unknown parts are empty; line 0 is no
/// line.
struct source_location {
  std::string file;
  std::size_t line = 0;
  std::string section;
  std::string key;

  friend auto operator==(const source_location&, const source_location&)
      -> bool = default;
};

/// One problem in an input.
struct finding {
  source_location location;
  std::string message;

  friend auto operator==(const finding&, const finding&) -> bool = default;
};

using findings = std::vector<finding>;

/// A value, or the findings that prevent it.
template <class T>
using result = std::variant<T, findings>;

/// True if `r` holds a value.
template <class T>
auto ok(const result<T>& r) -> bool {
  return r.index() == 0;
}

/// Returns the value of `r`; throws `std::bad_variant_access` if there is none.
template <class T>
auto value(const result<T>& r) -> const T& {
  return std::get<0>(r);
}

template <class T>
auto value(result<T>&& r) -> T {
  return std::get<0>(std::move(r));
}

/// Returns the findings of `r`; empty if it holds a value.
template <class T>
auto errors(const result<T>& r) -> findings {
  return ok(r) ? findings{} : std::get<1>(r);
}

/// Sorts by line; findings of the same line keep their order.
void sort_by_line(findings& all);

/// Formats a finding as `file:line: [section] key: message`.
auto to_string(const finding& x) -> std::string;

/// Formats findings, one per line.
auto to_string(const findings& all) -> std::string;

}  // namespace figwind
