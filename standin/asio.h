#pragma once

/// Asio and Beast for the stand-in, with their short names.
// Boost 1.74's Asio uses std::exchange without including <utility>.
// clang-format off
#include <utility>

#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast.hpp>
// clang-format on

namespace fuchsiadrum::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

}  // namespace fuchsiadrum::standin
