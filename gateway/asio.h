#pragma once

/// Asio and the aliases of the gateway.
#include "daemon/asio.h"

namespace fuchsiadrum::gateway {

namespace asio = daemon::asio;
using daemon::ErrorCode;
using daemon::Tcp;

}  // namespace fuchsiadrum::gateway
