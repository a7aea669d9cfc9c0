// Strong types for names and numbers that must not be mixed up.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace figwind {

/// A value of type `T` that converts only to values with the same `Tag`.
template <class Tag, class T>
struct strong_type {
  using value_type = T;

  T value{};

  friend auto operator<=>(const strong_type& a, const strong_type& b) {
    return a.value <=> b.value;
  }
  friend auto operator==(const strong_type&, const strong_type&)
      -> bool = default;
};

template <class Inspector, class Tag, class T>
auto inspect(Inspector& f, strong_type<Tag, T>& x) {
  return f(x.value);
}

/// A service, such as `contracte`; a backend server belongs to one service.
using service_name = strong_type<struct service_name_tag, std::string>;

/// A class of work, such as `loan-confirmation`.
using class_name = strong_type<struct class_name_tag, std::string>;

/// A failure domain, such as `ro-centru-a`.
using failure_domain = strong_type<struct failure_domain_tag, std::string>;

/// The key under which a non-idempotent request runs at most once; its parts
/// are described in `key_recorder.h`.
using request_key = strong_type<struct request_key_tag, std::string>;

/// Address of a process on a VM as `ip:port`.
using vm_address = strong_type<struct vm_address_tag, std::string>;

/// Version of an accepted configuration; 0 before the first.
using config_version = strong_type<struct config_version_tag, std::uint64_t>;

/// Start number of a process; a later start at the same address has a higher
/// number.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

/// Identifies one incarnation of a process by its control address and start
/// number.
struct node_id {
  vm_address address;
  incarnation start;

  friend auto operator<=>(const node_id& a, const node_id& b) {
    auto order = a.address <=> b.address;
    return std::is_neq(order) ? order : a.start <=> b.start;
  }
  friend auto operator==(const node_id&, const node_id&) -> bool = default;
};

template <class Inspector>
auto inspect(Inspector& f, node_id& x) {
  return f(x.address, x.start);
}

/// Identifies one request over its whole call chain; 128 random bits.
struct request_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const request_id& a, const request_id& b) {
    auto order = a.high <=> b.high;
    return std::is_neq(order) ? order : a.low <=> b.low;
  }
  friend auto operator==(const request_id&, const request_id&)
      -> bool = default;
};

template <class Inspector>
auto inspect(Inspector& f, request_id& x) {
  return f(x.high, x.low);
}

}  // namespace figwind

template <class Tag, class T>
struct std::hash<figwind::strong_type<Tag, T>> {
  auto operator()(const figwind::strong_type<Tag, T>& x) const noexcept
      -> std::size_t {
    return std::hash<T>{}(x.value);
  }
};

template <>
struct std::hash<figwind::request_id> {
  auto operator()(const figwind::request_id& x) const noexcept -> std::size_t {
    return x.high ^ (x.low * 0x9e3779b97f4a7c15U);
  }
};

template <>
struct std::hash<figwind::node_id> {
  auto operator()(const figwind::node_id& x) const noexcept -> std::size_t {
    return std::hash<std::string>{}(x.address.value) ^
           (x.start.value * 0x9e3779b97f4a7c15U);
  }
};
