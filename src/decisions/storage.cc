#include "figwind/storage.h"

#include <xxhash.h>

#include <string_view>

#include "figwind/bytes.h"

namespace figwind {
namespace {

constexpr std::string_view frame_magic{"\xf1gwF", 4};
constexpr std::size_t frame_header_size = 24;
constexpr std::uint8_t has_state_flag = 1;

struct frame {
  std::uint64_t number = 0;
  std::string_view payload;
};

auto checksum(std::uint64_t number, std::string_view payload) -> std::uint64_t {
  return XXH64(payload.data(), payload.size(), number);
}

// The frame at `offset`, if it is intact.
auto frame_at(std::string_view bytes, std::size_t offset)
    -> std::optional<frame> {
  auto rest = bytes.substr(offset);
  if (rest.size() < frame_header_size) return std::nullopt;
  if (rest.substr(0, frame_magic.size()) != frame_magic) return std::nullopt;
  auto header = byte_reader{rest.substr(frame_magic.size(), frame_header_size)};
  auto size = header.get_u32();
  auto number = header.get_u64();
  auto stored_checksum = header.get_u64();
  if (rest.size() - frame_header_size < size) return std::nullopt;
  auto payload = rest.substr(frame_header_size, size);
  if (checksum(number, payload) != stored_checksum) return std::nullopt;
  return frame{number, payload};
}

auto has_later_frame(std::string_view bytes, std::size_t offset,
                     std::uint64_t number) -> bool {
  while ((offset = bytes.find(frame_magic, offset + 1)) !=
         std::string_view::npos) {
    auto next = frame_at(bytes, offset);
    if (next && next->number > number) return true;
  }
  return false;
}

void put(byte_writer& to, const hard_state& x) {
  to.put_u64(x.term);
  to.put_u64(x.voted_for.value);
  to.put_u64(x.generation.value);
  to.put_string(encode(x.initial_members));
  to.put_u8(x.joins_only ? 1 : 0);
}

auto get_state(byte_reader& from, hard_state& x) -> bool {
  x.term = from.get_u64();
  x.voted_for.value = from.get_u64();
  x.generation.value = from.get_u64();
  auto first = decode_membership(from.get_string());
  if (!ok(first)) return false;
  x.initial_members = value(std::move(first));
  x.joins_only = from.get_u8() != 0;
  return true;
}

void store_entry(std::vector<log_entry>& entries, log_entry entry) {
  while (!entries.empty() && entries.back().index >= entry.index) {
    entries.pop_back();
  }
  entries.push_back(std::move(entry));
}

auto read_batch(std::string_view payload, detail::scanned_log& log) -> bool {
  auto from = byte_reader{payload};
  if (from.get_u8() == has_state_flag && !get_state(from, log.state))
    return false;
  auto count = from.get_u32();
  for (auto i = 0U; i < count && from.good(); ++i) {
    auto entry = log_entry{};
    entry.index = from.get_u64();
    entry.term = from.get_u64();
    entry.kind = static_cast<entry_kind>(from.get_u8());
    entry.bytes = from.get_string();
    store_entry(log.entries, std::move(entry));
  }
  return from.complete();
}

auto damage_finding(const std::string& file, std::uint64_t offset,
                    const std::string& what) -> finding {
  return {{file, 0, "", ""},
          what + " at offset " + std::to_string(offset) +
              "; restore the file or start with an empty data folder"};
}

}  // namespace

auto to_string(io_status x) -> std::string {
  switch (x) {
    case io_status::done:
      return "done";
    case io_status::no_space:
      return "no space left on the disk";
    case io_status::failed:
      break;
  }
  return "the disk failed";
}

namespace detail {

auto encode_frame(std::uint64_t number, const std::string& payload)
    -> std::string {
  auto header = byte_writer{};
  header.put_u32(static_cast<std::uint32_t>(payload.size()));
  header.put_u64(number);
  header.put_u64(checksum(number, payload));
  return std::string{frame_magic} + header.bytes() + payload;
}

auto decode_frame(const std::string& bytes) -> std::optional<std::string> {
  auto single = frame_at(bytes, 0);
  if (!single || single->payload.size() + frame_header_size != bytes.size()) {
    return std::nullopt;
  }
  return std::string{single->payload};
}

auto encode_batch(const persist_batch& batch) -> std::string {
  auto to = byte_writer{};
  to.put_u8(batch.state ? has_state_flag : 0);
  if (batch.state) put(to, *batch.state);
  to.put_u32(static_cast<std::uint32_t>(batch.entries.size()));
  for (const auto& e : batch.entries) {
    to.put_u64(e.index);
    to.put_u64(e.term);
    to.put_u8(static_cast<std::uint8_t>(e.kind));
    to.put_string(e.bytes);
  }
  return to.take();
}

auto scan_log(const std::string& bytes) -> scanned_log {
  auto log = scanned_log{};
  auto offset = std::size_t{0};
  while (auto next = frame_at(bytes, offset)) {
    auto in_order = offset == 0 || next->number == log.next_frame;
    if (!in_order || !read_batch(next->payload, log)) {
      log.damage_offset = offset;
      return log;
    }
    log.next_frame = next->number + 1;
    offset += frame_header_size + next->payload.size();
    log.intact_size = offset;
  }
  if (offset < bytes.size() && has_later_frame(bytes, offset, log.next_frame)) {
    log.damage_offset = offset;
  }
  return log;
}

auto recover_state(const file_content& snapshot, const scanned_log& log,
                   findings& found) -> durable_state {
  auto all = durable_state{log.state, std::nullopt, log.entries};
  if (log.damage_offset) {
    found.push_back(
        damage_finding(log_file_name, *log.damage_offset, "damaged record"));
  }
  if (!snapshot.found) {
    if (!all.entries.empty()) {
      found.push_back({{snapshot_file_name, 0, "", ""}, "is missing"});
    }
    return all;
  }
  // The first frame of the log is written before the first snapshot.
  if (log.intact_size == 0 && !log.damage_offset) {
    found.push_back(damage_finding(log_file_name, 0, "no intact record"));
  }
  auto payload = decode_frame(snapshot.bytes);
  auto decoded = payload ? decode_snapshot(*payload) : findings{};
  if (!ok(decoded)) {
    found.push_back(damage_finding(snapshot_file_name, 0, "damaged snapshot"));
    return all;
  }
  all.snapshot = value(std::move(decoded));
  auto index = all.snapshot->index;
  auto& entries = all.entries;
  if (entries.empty()) return all;
  if (entries.front().index > index + 1) {
    found.push_back({{log_file_name, 0, "", ""},
                     "entry " + std::to_string(index + 1) +
                         " after the snapshot is missing"});
  }
  // An installed snapshot overrides log entries that were never committed.
  auto overridden = entries.back().index <= index;
  for (const auto& e : entries) {
    overridden |= e.index == index && e.term != all.snapshot->term;
  }
  if (overridden) entries.clear();
  std::erase_if(entries,
                [index](const log_entry& e) { return e.index <= index; });
  return all;
}

}  // namespace detail
}  // namespace figwind
