#include "soak/caller_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "gateway/clock.h"

namespace fuchsiadrum::soak {

bool CallerSocket::Connect(uint16_t port) {
  this->Close();
  this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(this->descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) == 0) {
    return true;
  }
  this->Close();
  return false;
}

bool CallerSocket::Write(std::string_view bytes, TimePoint deadline) {
  while (!bytes.empty()) {
    const ssize_t sent = send(this->descriptor, bytes.data(), bytes.size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent >= 0) {
      bytes.remove_prefix(static_cast<size_t>(sent));
      continue;
    }
    const bool may_wait = errno == EAGAIN || errno == EINTR;
    if (!may_wait || !this->Wait(POLLOUT, deadline)) return false;
  }
  return true;
}

ReadStatus CallerSocket::Read(std::string& bytes, TimePoint deadline) {
  if (!this->Wait(POLLIN, deadline)) return ReadStatus::kTimedOut;
  std::array<char, 16384> part{};
  const ssize_t got = recv(this->descriptor, part.data(), part.size(), 0);
  if (got < 0) return ReadStatus::kReset;
  if (got == 0) return ReadStatus::kEnd;
  bytes.append(part.data(), static_cast<size_t>(got));
  return ReadStatus::kBytes;
}

void CallerSocket::Close() {
  if (this->descriptor >= 0) close(this->descriptor);
  this->descriptor = -1;
}

bool CallerSocket::Wait(int events, TimePoint deadline) const {
  pollfd waiting{};
  waiting.fd = this->descriptor;
  waiting.events = static_cast<decltype(waiting.events)>(events);
  while (true) {
    const int64_t left_us = (deadline - gateway::Now()).count();
    constexpr int64_t kMicrosecondsPerMs = 1000;
    const int64_t left_ms = std::max<int64_t>(0, left_us / kMicrosecondsPerMs);
    const int ready = poll(&waiting, 1, static_cast<int>(left_ms));
    if (ready > 0) return true;
    if (ready == 0 || errno != EINTR) return false;
  }
}

}  // namespace fuchsiadrum::soak
