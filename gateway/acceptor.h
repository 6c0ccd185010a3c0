#pragma once

#include <functional>
#include <string>

#include "gateway/asio.h"

namespace fuchsiadrum::gateway {

/// Opens an acceptor at "IP:port"; otherwise the reason.
std::string OpenAcceptor(Tcp::acceptor& acceptor, const std::string& address);

/// Hands each new connection to the handler until the acceptor closes.
asio::awaitable<void> AcceptAll(Tcp::acceptor& acceptor,
                                std::function<void(Tcp::socket)> handler);

}  // namespace fuchsiadrum::gateway
