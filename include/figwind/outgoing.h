// A message that a decision module asks its caller to send.

#pragma once

#include "figwind/ids.h"

namespace figwind {

/// `message` for the process whose control address is `to`.
template <class Message>
struct outgoing {
  vm_address to;
  Message message;
};

}  // namespace figwind
