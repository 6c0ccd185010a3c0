#include "daemon/acceptor.h"

namespace fuchsiadrum::daemon {

ErrorCode Listen(Tcp::acceptor& acceptor, const Tcp::endpoint& address) {
  ErrorCode error;
  acceptor.open(address.protocol(), error);
  if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(address, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  return error;
}

}  // namespace fuchsiadrum::daemon
