#include "daemon/http_listener.h"

#include <utility>

#include "daemon/acceptor.h"

namespace fuchsiadrum::daemon {
namespace {

// Pause after a failed accept, for example without free file descriptors.
constexpr Duration kAcceptRetry{10000};

}  // namespace

HttpListener::HttpListener(asio::io_context& io_context, OnSocket new_handler,
                           std::function<void()> failure_handler)
    : context(io_context),
      acceptor(io_context),
      retry(io_context),
      handler(std::move(new_handler)),
      on_failure(std::move(failure_handler)) {}

std::string HttpListener::Open(const settings::Endpoint& endpoint) {
  const Tcp::endpoint address(asio::ip::make_address(endpoint.ip),
                              endpoint.port);
  const ErrorCode error = Listen(this->acceptor, address);
  if (error) {
    return "cannot listen on " + endpoint.ToString() + ": " + error.message();
  }
  this->Accept();
  return {};
}

settings::Endpoint HttpListener::Address() const {
  ErrorCode ignored;
  const Tcp::endpoint address = this->acceptor.local_endpoint(ignored);
  return {address.address().to_string(), address.port()};
}

void HttpListener::Close() {
  ErrorCode ignored;
  this->acceptor.close(ignored);
}

void HttpListener::Accept() {
  this->acceptor.async_accept(
      this->context, [this](ErrorCode error, Tcp::socket socket) {
        if (!this->acceptor.is_open()) return;
        if (!error) {
          this->handler(std::move(socket));
          return this->Accept();
        }
        this->on_failure();
        this->retry.expires_after(kAcceptRetry);
        this->retry.async_wait([this](ErrorCode cancelled) {
          if (!cancelled && this->acceptor.is_open()) this->Accept();
        });
      });
}

}  // namespace fuchsiadrum::daemon
