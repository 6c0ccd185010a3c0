#include "gateway/acceptor.h"

#include <chrono>

#include "daemon/acceptor.h"
#include "settings/endpoint.h"

namespace fuchsiadrum::gateway {
namespace {

/// Delay after a failed accept. The usual cause is a lack of file descriptors,
/// which lasts until connections end.
constexpr std::chrono::milliseconds kAcceptRetryDelay(25);

}  // namespace

std::string OpenAcceptor(Tcp::acceptor& acceptor, const std::string& address) {
  const auto endpoint = settings::Endpoint::Parse(address);
  if (!endpoint) return "\"" + address + "\" is not an IP:port address";
  ErrorCode error;
  const auto ip = asio::ip::make_address(endpoint->ip, error);
  if (error) return error.message();

  error = daemon::Listen(acceptor, Tcp::endpoint(ip, endpoint->port));
  return error ? address + ": " + error.message() : "";
}

asio::awaitable<void> AcceptAll(Tcp::acceptor& acceptor,
                                std::function<void(Tcp::socket)> handler,
                                std::function<void()> on_failure) {
  asio::steady_timer retry(acceptor.get_executor());
  while (true) {
    ErrorCode error;
    Tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted ||
        error == asio::error::bad_descriptor) {
      co_return;
    }
    if (!error) {
      handler(std::move(socket));
      continue;
    }
    on_failure();
    retry.expires_after(kAcceptRetryDelay);
    ErrorCode ignored;
    co_await retry.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace fuchsiadrum::gateway
