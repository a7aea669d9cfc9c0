#include "adapters/address.h"

#include <charconv>

namespace figwind {

auto split(const vm_address& address) -> host_port {
  const auto& text = address.value;
  auto colon = text.rfind(':');
  if (colon == std::string::npos) return {text, 0};
  auto to = host_port{text.substr(0, colon), 0};
  if (to.host.size() > 2 && to.host.front() == '[' && to.host.back() == ']') {
    to.host = to.host.substr(1, to.host.size() - 2);
  }
  const auto* end = text.data() + text.size();
  std::from_chars(text.data() + colon + 1, end, to.port);
  return to;
}

}  // namespace figwind
