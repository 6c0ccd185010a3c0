#pragma once

/// Asio and Beast for the daemon, with the header that Boost 1.74 forgets.
// Asio of Boost 1.74 uses std::exchange without including <utility>.
// clang-format off
#include <utility>

#include <boost/asio.hpp>
// clang-format on

namespace fuchsiadrum::daemon {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

}  // namespace fuchsiadrum::daemon
