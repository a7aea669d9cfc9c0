#include "figwind/consensus_messages.h"

#include <algorithm>

#include "figwind/bytes.h"

namespace figwind {
namespace {

constexpr std::size_t max_members = 64;

void put(byte_writer& to, const membership& x) {
  to.put_u32(static_cast<std::uint32_t>(x.members.size()));
  for (const auto& m : x.members) {
    to.put_u64(m.id.value);
    to.put_string(m.address.value);
    to.put_u64(m.generation.value);
    to.put_u8(m.voter ? 1 : 0);
    to.put_u64(m.replaces.value);
  }
}

auto get_members(byte_reader& from) -> membership {
  auto all = membership{};
  auto count = from.get_u32();
  for (auto i = 0U; i < count && i < max_members && from.good(); ++i) {
    auto m = member{};
    m.id.value = from.get_u64();
    m.address.value = from.get_string();
    m.generation.value = from.get_u64();
    m.voter = from.get_u8() != 0;
    m.replaces.value = from.get_u64();
    all.members.push_back(std::move(m));
  }
  return all;
}

auto decoding_error(const std::string& what) -> findings {
  return {{{}, what + " cannot be decoded"}};
}

}  // namespace

auto find_member(const membership& all, member_id id) -> const member* {
  auto found = std::find_if(all.members.begin(), all.members.end(),
                            [id](const member& m) { return m.id == id; });
  return found == all.members.end() ? nullptr : &*found;
}

auto voter_count(const membership& all) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(all.members.begin(), all.members.end(),
                    [](const member& m) { return m.voter; }));
}

auto majority(const membership& all) -> std::size_t {
  return voter_count(all) / 2 + 1;
}

auto encode(const membership& x) -> std::string {
  auto to = byte_writer{};
  put(to, x);
  return to.take();
}

auto decode_membership(const std::string& bytes) -> result<membership> {
  auto from = byte_reader{bytes};
  auto all = get_members(from);
  if (!from.complete()) return decoding_error("membership");
  return all;
}

auto encode(const log_snapshot& x) -> std::string {
  auto to = byte_writer{};
  to.put_u64(x.index);
  to.put_u64(x.term);
  put(to, x.members);
  to.put_string(x.state);
  return to.take();
}

auto decode_snapshot(const std::string& bytes) -> result<log_snapshot> {
  auto from = byte_reader{bytes};
  auto x = log_snapshot{};
  x.index = from.get_u64();
  x.term = from.get_u64();
  x.members = get_members(from);
  x.state = from.get_string();
  if (!from.complete()) return decoding_error("snapshot");
  return x;
}

auto header_of(const consensus_message& x) -> const message_header& {
  return std::visit(
      [](const auto& m) -> const message_header& { return m.header; }, x);
}

}  // namespace figwind
