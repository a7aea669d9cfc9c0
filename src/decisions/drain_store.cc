#include "figwind/drain_store.h"

#include <utility>

#include "figwind/bytes.h"

namespace figwind::detail {
namespace {

constexpr std::uint8_t format_version = 1;

void put(byte_writer& to, const node_report& x) {
  to.put_string(x.node.address.value);
  to.put_u64(x.node.start.value);
  to.put_u64(x.sequence);
  to.put_string(x.domain.value);
  to.put_string(x.server.server.value);
  to.put_string(x.server.service.value);
  to.put_string(x.server.address.value);
  to.put_string(x.server.domain.value);
  to.put_u32(x.server.slots);
  to.put_u8(static_cast<std::uint8_t>(x.server.state));
  to.put_u64(static_cast<std::uint64_t>(x.server.born_ms));
  to.put_u64(x.server.sequence);
}

auto get_report(byte_reader& from) -> node_report {
  auto x = node_report{};
  x.node.address.value = from.get_string();
  x.node.start.value = from.get_u64();
  x.sequence = from.get_u64();
  x.domain.value = from.get_string();
  x.server.server.value = from.get_string();
  x.server.service.value = from.get_string();
  x.server.address.value = from.get_string();
  x.server.domain.value = from.get_string();
  x.server.slots = from.get_u32();
  const auto is_draining =
      from.get_u8() == static_cast<std::uint8_t>(announced_state::draining);
  x.server.state =
      is_draining ? announced_state::draining : announced_state::left;
  x.server.born_ms = static_cast<std::int64_t>(from.get_u64());
  x.server.sequence = from.get_u64();
  return x;
}

}  // namespace

auto encode_drains(const std::vector<node_report>& all) -> std::string {
  auto to = byte_writer{};
  to.put_u8(format_version);
  to.put_u32(static_cast<std::uint32_t>(all.size()));
  for (const auto& x : all) put(to, x);
  return encode_frame(0, to.take());
}

auto decode_drains(const std::string& bytes)
    -> result<std::vector<node_report>> {
  const auto refuse = [](const char* reason) {
    return findings{{{drain_file_name, 0, "", ""}, reason}};
  };
  const auto payload = decode_frame(bytes);
  if (!payload) return refuse("damaged");
  auto from = byte_reader{*payload};
  if (from.get_u8() != format_version) return refuse("unknown format");
  const auto count = from.get_u32();
  auto out = std::vector<node_report>{};
  for (auto i = 0U; i < count && from.good(); ++i) {
    out.push_back(get_report(from));
  }
  if (!from.complete()) return refuse("damaged");
  return out;
}

}  // namespace figwind::detail
