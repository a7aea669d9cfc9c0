#include "adapters/posix_files.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

namespace figwind {
namespace {

constexpr int file_mode = 0600;
constexpr auto lock_name = "lock";

auto message_of(int error) -> std::string {
  return std::error_code{error, std::system_category()}.message();
}

auto open_file(int folder, const std::string& name, int flags) -> file_handle {
  return file_handle{
      ::openat(folder, name.c_str(), flags | O_CLOEXEC, file_mode)};
}

// Creates the folder and syncs its parent, which makes the new name durable.
// Returns an errno value, 0 on success.
auto make_folder(const std::string& folder) -> int {
  auto error = std::error_code{};
  if (std::filesystem::is_directory(folder, error)) return 0;
  std::filesystem::create_directories(folder, error);
  if (error) return error.value();
  auto parent = std::filesystem::absolute(folder, error).parent_path();
  auto handle = open_file(AT_FDCWD, parent.string(), O_RDONLY | O_DIRECTORY);
  if (!handle.is_open() || ::fsync(handle.get()) != 0) return errno;
  return 0;
}

}  // namespace

file_handle::file_handle(file_handle&& other) noexcept
    : descriptor_{std::exchange(other.descriptor_, -1)} {}

auto file_handle::operator=(file_handle&& other) noexcept -> file_handle& {
  std::swap(descriptor_, other.descriptor_);
  return *this;
}

file_handle::~file_handle() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

auto posix_files::open(const std::string& folder) -> findings {
  folder_ = folder;
  auto refused = [&](const std::string& what, int error) {
    auto reason = error != 0 ? ": " + message_of(error) : std::string{};
    return findings{{{folder, 0, "", ""}, what + reason}};
  };
  auto made = make_folder(folder);
  if (made != 0) return refused("cannot be created", made);
  folder_handle_ = open_file(AT_FDCWD, folder, O_RDONLY | O_DIRECTORY);
  if (!folder_handle_.is_open()) return refused("cannot be opened", errno);
  lock_ = open_file(folder_handle_.get(), lock_name, O_RDWR | O_CREAT);
  if (!lock_.is_open()) return refused("cannot be locked", errno);
  if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0) {
    return refused("is in use by another process", 0);
  }
  return {};
}

auto posix_files::read(const std::string& name) -> file_content {
  auto from = open_file(folder_handle_.get(), name, O_RDONLY);
  if (!from.is_open()) {
    if (errno == ENOENT) return {};
    return {record_error("open", name), false, {}};
  }
  auto content = file_content{io_status::done, true, {}};
  auto buffer = std::array<char, 64U << 10U>{};
  while (true) {
    auto count = ::read(from.get(), buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return {record_error("read", name), true, {}};
    if (count == 0) return content;
    content.bytes.append(buffer.data(), static_cast<std::size_t>(count));
  }
}

auto posix_files::open_for_append(const std::string& name) -> int {
  auto& handle = open_files_[name];
  if (!handle.is_open()) {
    handle =
        open_file(folder_handle_.get(), name, O_WRONLY | O_CREAT | O_APPEND);
  }
  return handle.get();
}

auto posix_files::append(const std::string& name, const std::string& bytes)
    -> io_status {
  auto to = open_for_append(name);
  if (to < 0) return record_error("open", name);
  auto written = std::size_t{0};
  while (written < bytes.size()) {
    auto count = ::write(to, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return record_error("write", name);
    written += static_cast<std::size_t>(count);
  }
  return io_status::done;
}

auto posix_files::truncate(const std::string& name, std::uint64_t size)
    -> io_status {
  auto handle = open_for_append(name);
  if (handle < 0) return record_error("open", name);
  if (::ftruncate(handle, static_cast<off_t>(size)) != 0) {
    return record_error("truncate", name);
  }
  return io_status::done;
}

auto posix_files::sync(const std::string& name) -> io_status {
  auto handle = open_for_append(name);
  if (handle < 0) return record_error("open", name);
  if (::fdatasync(handle) != 0) return record_error("sync", name);
  return io_status::done;
}

auto posix_files::rename(const std::string& from, const std::string& to)
    -> io_status {
  auto folder = folder_handle_.get();
  if (::renameat(folder, from.c_str(), folder, to.c_str()) != 0) {
    return record_error("rename", from);
  }
  open_files_[to] = std::exchange(open_files_[from], file_handle{});
  open_files_.erase(from);
  return io_status::done;
}

auto posix_files::remove(const std::string& name) -> io_status {
  open_files_.erase(name);
  auto folder = folder_handle_.get();
  if (::unlinkat(folder, name.c_str(), 0) != 0 && errno != ENOENT) {
    return record_error("remove", name);
  }
  return io_status::done;
}

auto posix_files::sync_folder() -> io_status {
  if (::fsync(folder_handle_.get()) != 0) return record_error("sync", folder_);
  return io_status::done;
}

auto posix_files::record_error(const std::string& operation,
                               const std::string& name) -> io_status {
  auto error = errno;
  last_error_ = operation + " " + name + ": " + message_of(error);
  auto full = error == ENOSPC || error == EDQUOT;
  return full ? io_status::no_space : io_status::failed;
}

}  // namespace figwind
