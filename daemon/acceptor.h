#pragma once

#include "daemon/asio.h"

namespace fuchsiadrum::daemon {

/// Opens the acceptor at the address and listens.
ErrorCode Listen(Tcp::acceptor& acceptor, const Tcp::endpoint& address);

}  // namespace fuchsiadrum::daemon
