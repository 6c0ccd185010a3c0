#pragma once

/// Asio and the gateway's aliases for its types.
#include "daemon/asio.h"

namespace fuchsiadrum::gateway {

namespace asio = daemon::asio;
using daemon::ErrorCode;
using daemon::Tcp;

}  // namespace fuchsiadrum::gateway
