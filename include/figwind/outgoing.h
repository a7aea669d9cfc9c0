// A message that a decision module asks its caller to send.

#pragma once

#include "figwind/ids.h"

namespace figwind {

/// `message` for the process with the control address `to`.
template <class Message>
struct outgoing {
  vm_address to;
  Message message;
};

}  // namespace figwind
