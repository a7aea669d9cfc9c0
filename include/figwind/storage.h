// Durable state of a control member in one folder: the log, the hard state and
// the last snapshot.
//
// Files: `log` holds one frame with a checksum per batch, `snapshot` holds a
// single frame. A file is replaced by writing `*.new`, syncing it, renaming it
// and syncing the folder. A frame is written only after the previous one is
// synced, so damage before an intact frame is corruption, and damage at the end
// is a torn write.

#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figwind/consensus.h"
#include "figwind/finding.h"

namespace figwind {

enum class io_status : std::uint8_t { done, no_space, failed };

auto to_string(io_status x) -> std::string;

/// Contents of a file; `found` is false if the file does not exist.
struct file_content {
  io_status status = io_status::done;
  bool found = false;
  std::string bytes;
};

/// One flat folder of files. Bytes are guaranteed to survive a crash only after
/// `sync`, new names and renames only after `sync_folder`.
template <class T>
concept file_port = requires(T files, const std::string& name,
                             const std::string& bytes, std::uint64_t size) {
  { files.read(name) } -> std::same_as<file_content>;
  /// Creates the file if it does not exist.
  { files.append(name, bytes) } -> std::same_as<io_status>;
  { files.truncate(name, size) } -> std::same_as<io_status>;
  { files.sync(name) } -> std::same_as<io_status>;
  { files.rename(name, name) } -> std::same_as<io_status>;
  /// Succeeds if the file does not exist.
  { files.remove(name) } -> std::same_as<io_status>;
  { files.sync_folder() } -> std::same_as<io_status>;
};

constexpr auto log_file_name = "log";
constexpr auto snapshot_file_name = "snapshot";

namespace detail {

/// Contents of `log`: intact frames up to the offset `intact_size`.
struct scanned_log {
  hard_state state;
  std::vector<log_entry> entries;
  std::uint64_t next_frame = 0;
  std::uint64_t intact_size = 0;
  /// Offset of a damaged frame with intact frames after it.
  std::optional<std::uint64_t> damage_offset;
};

auto encode_frame(std::uint64_t number, const std::string& payload)
    -> std::string;
/// Payload of a file that consists of one frame; nullopt if damaged.
auto decode_frame(const std::string& bytes) -> std::optional<std::string>;
auto encode_batch(const persist_batch& batch) -> std::string;
auto scan_log(const std::string& bytes) -> scanned_log;
/// Combines snapshot and log into the durable state. Adds a finding for damage
/// and for a gap between the two.
auto recover_state(const file_content& snapshot, const scanned_log& log,
                   findings& found) -> durable_state;

}  // namespace detail

/// Storage on top of a file port. Errors are permanent, since the contents of a
/// file are unknown after a failed sync: reopen the folder to continue.
template <file_port Files>
class storage {
 public:
  explicit storage(Files& files) : files_{files} {}

  /// Reads the folder, removes a torn tail and unfinished `*.new` files.
  /// Findings report I/O errors, and damage with file and offset.
  auto open() -> result<durable_state>;

  /// Makes `batch` durable. Returns `done` only after all syncs.
  auto write(const persist_batch& batch) -> io_status;

  /// The error that stopped the storage, or `done`.
  auto status() const -> io_status { return status_; }

  /// Size of the log file in bytes.
  auto log_size() const -> std::uint64_t { return log_size_; }

 private:
  auto check(io_status status) -> bool;
  auto read_file(const std::string& name, findings& found) -> file_content;
  auto replace_file(const std::string& name, const std::string& bytes) -> bool;
  auto append_frame(const std::string& payload) -> bool;

  Files& files_;
  io_status status_ = io_status::done;
  std::uint64_t next_frame_ = 0;
  std::uint64_t log_size_ = 0;
  bool log_exists_ = false;
};

template <file_port Files>
auto storage<Files>::check(io_status status) -> bool {
  if (status_ == io_status::done) status_ = status;
  return status_ == io_status::done;
}

template <file_port Files>
auto storage<Files>::read_file(const std::string& name, findings& found)
    -> file_content {
  auto content = files_.read(name);
  if (!check(content.status)) {
    found.push_back({{name, 0, "", ""}, "cannot be read"});
  }
  return content;
}

template <file_port Files>
auto storage<Files>::replace_file(const std::string& name,
                                  const std::string& bytes) -> bool {
  auto new_name = name + ".new";
  return check(files_.remove(new_name)) &&
         check(files_.append(new_name, bytes)) &&
         check(files_.sync(new_name)) && check(files_.rename(new_name, name)) &&
         check(files_.sync_folder());
}

template <file_port Files>
auto storage<Files>::open() -> result<durable_state> {
  status_ = io_status::done;
  auto found = findings{};
  auto snapshot_file = read_file(snapshot_file_name, found);
  auto log_file = read_file(log_file_name, found);
  if (!found.empty()) return found;
  auto log = detail::scan_log(log_file.bytes);
  auto state = detail::recover_state(snapshot_file, log, found);
  if (!found.empty()) return found;
  auto prepared =
      check(files_.remove(std::string{snapshot_file_name} + ".new")) &&
      check(files_.remove(std::string{log_file_name} + ".new"));
  if (prepared && log.intact_size < log_file.bytes.size()) {
    prepared = check(files_.truncate(log_file_name, log.intact_size));
  }
  // A process may have crashed between the write and the sync of a frame.
  if (prepared && log_file.found) prepared = check(files_.sync(log_file_name));
  // A rename before a crash may not be durable yet.
  prepared = prepared && check(files_.sync_folder());
  if (!prepared) {
    return findings{{{log_file_name, 0, "", ""},
                     "cannot be prepared for writing: " + to_string(status_)}};
  }
  log_exists_ = log.intact_size > 0;
  log_size_ = log.intact_size;
  next_frame_ = log.next_frame;
  return state;
}

template <file_port Files>
auto storage<Files>::write(const persist_batch& batch) -> io_status {
  if (status_ != io_status::done) return status_;
  if (!batch.snapshot) {
    append_frame(detail::encode_batch(batch));
    return status_;
  }
  // A folder with a snapshot always has a log, so that a missing log is
  // detected as damage.
  auto state_only = persist_batch{0, batch.state, std::nullopt, {}};
  if (!log_exists_ && !append_frame(detail::encode_batch(state_only))) {
    return status_;
  }
  auto bytes = detail::encode_frame(0, encode(*batch.snapshot));
  auto frame = detail::encode_frame(next_frame_, detail::encode_batch(batch));
  if (!replace_file(snapshot_file_name, bytes)) return status_;
  if (!replace_file(log_file_name, frame)) return status_;
  ++next_frame_;
  log_size_ = frame.size();
  return status_;
}

template <file_port Files>
auto storage<Files>::append_frame(const std::string& payload) -> bool {
  auto frame = detail::encode_frame(next_frame_, payload);
  if (!check(files_.append(log_file_name, frame))) return false;
  if (!check(files_.sync(log_file_name))) return false;
  if (!log_exists_ && !check(files_.sync_folder())) return false;
  log_exists_ = true;
  ++next_frame_;
  log_size_ += frame.size();
  return true;
}

}  // namespace figwind
