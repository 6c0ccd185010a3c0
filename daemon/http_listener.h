#pragma once

#include <functional>
#include <string>

#include "daemon/asio.h"
#include "settings/endpoint.h"

namespace fuchsiadrum::daemon {

/// Accepts connections on one address.
class HttpListener {
 public:
  using OnSocket = std::function<void(Tcp::socket)>;

  /// `failure_handler` is called when a connection cannot be accepted; the
  /// usual cause is a lack of descriptors.
  HttpListener(asio::io_context& io_context, OnSocket new_handler,
               std::function<void()> failure_handler);

  /// Opens the address; otherwise the reason.
  std::string Open(const settings::Endpoint& endpoint);
  /// Address in use, also when port 0 was asked for.
  settings::Endpoint Address() const;
  /// Stops accepting.
  void Close();

 private:
  void Accept();

  asio::io_context& context;
  Tcp::acceptor acceptor;
  asio::steady_timer retry;
  OnSocket handler;
  std::function<void()> on_failure;
};

}  // namespace fuchsiadrum::daemon
