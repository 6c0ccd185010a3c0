#include "soak/port_range.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fuchsiadrum::soak {
namespace {

constexpr uint16_t kFirst = 10000;
constexpr uint16_t kCount = 20000;

bool IsFree(uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                         sizeof(address)) == 0;
  close(descriptor);
  return free;
}

}  // namespace

// Runs at the same time begin at different ports.
PortRange::PortRange() : next(static_cast<uint16_t>(getpid() * 101 % kCount)) {}

uint16_t PortRange::Take() {
  for (uint16_t tried = 0; tried < kCount; ++tried) {
    const auto port = static_cast<uint16_t>(kFirst + this->next);
    this->next = static_cast<uint16_t>((this->next + 1) % kCount);
    if (IsFree(port)) return port;
  }
  return 0;
}

}  // namespace fuchsiadrum::soak
