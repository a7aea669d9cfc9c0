#include "adapters/token.h"

#include <fcntl.h>
#include <openssl/crypto.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace figwind {
namespace {

constexpr auto max_token_bytes = std::size_t{512};

class open_file {
 public:
  explicit open_file(const std::string& path)
      : descriptor_{::open(path.c_str(), O_RDONLY | O_CLOEXEC)} {}
  open_file(const open_file&) = delete;
  auto operator=(const open_file&) -> open_file& = delete;
  open_file(open_file&&) = delete;
  auto operator=(open_file&&) -> open_file& = delete;
  ~open_file() {
    if (descriptor_ >= 0) ::close(descriptor_);
  }
  auto get() const -> int { return descriptor_; }

 private:
  int descriptor_;
};

auto refuse(const std::string& path, const std::string& message) -> findings {
  return {{{path, 0, "", ""}, message}};
}

}  // namespace

auto read_token(const std::string& path) -> result<std::string> {
  auto file = open_file{path};
  if (file.get() < 0) {
    return refuse(path, std::string{"cannot be read: "} + strerror(errno));
  }
  // The opened file is checked, not the path, which could be exchanged between
  // the check and the read.
  struct stat status {};
  if (::fstat(file.get(), &status) != 0 || !S_ISREG(status.st_mode)) {
    return refuse(path, "is not a regular file");
  }
  if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return refuse(
        path, "is open to others than its owner, correct it with chmod 600");
  }
  auto buffer = std::array<char, max_token_bytes + 2>{};
  auto size = ::read(file.get(), buffer.data(), buffer.size());
  if (size < 0) return refuse(path, "cannot be read");
  auto text = std::string{buffer.data(), static_cast<std::size_t>(size)};
  auto token = text.substr(0, text.find_first_of("\r\n"));
  if (token.empty()) return refuse(path, "holds no token");
  if (!std::all_of(token.begin(), token.end(),
                   [](char c) { return c > ' ' && c <= '~'; })) {
    return refuse(path, "holds a token with other signs than printable ASCII");
  }
  if (token.size() > max_token_bytes) {
    return refuse(path, "holds a token above 512 bytes");
  }
  return token;
}

auto is_authorized(const std::string& expected, const std::string& header)
    -> bool {
  auto wanted = "Bearer " + expected;
  if (expected.empty() || header.size() != wanted.size()) return false;
  return CRYPTO_memcmp(wanted.data(), header.data(), wanted.size()) == 0;
}

}  // namespace figwind
