#pragma once

#include <functional>
#include <string>

#include "gateway/asio.h"

namespace fuchsiadrum::gateway {

/// Opens an acceptor at "IP:port". Returns the reason of a failure, or an empty
/// string.
std::string OpenAcceptor(Tcp::acceptor& acceptor, const std::string& address);

/// Passes each new connection to the handler until the acceptor is closed.
/// `on_failure` is called when a connection cannot be accepted; the usual cause
/// is a lack of descriptors.
asio::awaitable<void> AcceptAll(Tcp::acceptor& acceptor,
                                std::function<void(Tcp::socket)> handler,
                                std::function<void()> on_failure);

}  // namespace fuchsiadrum::gateway
