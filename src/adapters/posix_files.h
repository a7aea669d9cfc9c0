// Files of the storage in a folder of the local disk (concept `file_port`).

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "figwind/finding.h"
#include "figwind/storage.h"

namespace figwind {

/// Owns a file descriptor; -1 means none.
class file_handle {
 public:
  explicit file_handle(int descriptor = -1) : descriptor_{descriptor} {}
  file_handle(file_handle&& other) noexcept;
  auto operator=(file_handle&& other) noexcept -> file_handle&;
  file_handle(const file_handle&) = delete;
  auto operator=(const file_handle&) -> file_handle& = delete;
  ~file_handle();

  auto get() const -> int { return descriptor_; }
  auto is_open() const -> bool { return descriptor_ >= 0; }

 private:
  int descriptor_;
};

/// A data folder, locked by one process at a time. Use it from one thread; it
/// must neither move nor end while a `storage` refers to it.
class posix_files {
 public:
  /// Creates the folder if it is missing, and locks it. Findings name the
  /// folder and the error.
  auto open(const std::string& folder) -> findings;

  auto read(const std::string& name) -> file_content;
  auto append(const std::string& name, const std::string& bytes) -> io_status;
  auto truncate(const std::string& name, std::uint64_t size) -> io_status;
  auto sync(const std::string& name) -> io_status;
  auto rename(const std::string& from, const std::string& to) -> io_status;
  auto remove(const std::string& name) -> io_status;
  auto sync_folder() -> io_status;

  /// Operation, file and system message of the last error; empty if there was
  /// none.
  auto last_error() const -> const std::string& { return last_error_; }

 private:
  auto open_for_append(const std::string& name) -> int;
  auto record_error(const std::string& operation, const std::string& name)
      -> io_status;

  std::string folder_;
  file_handle folder_handle_;
  file_handle lock_;
  std::map<std::string, file_handle> open_files_;
  std::string last_error_;
};

static_assert(file_port<posix_files>);

/// Storage of a control member on the local disk.
using disk_storage = storage<posix_files>;

}  // namespace figwind
