#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace fuchsiadrum::flood {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline int ConnectTo(uint16_t port, int receive_buffer = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (receive_buffer > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof receive_buffer);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // The socket does not block: the connection is completed by the kernel.
  static_cast<void>(
      ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address));
  return fd;
}

/// What the clients of a crowd do.
struct CrowdOptions {
  uint16_t port = 0;
  int clients = 0;
  /// What each of them sends; nothing of the answers is read.
  std::string bytes;
  /// Bytes of one send.
  size_t piece_bytes = 65536;
  /// Pause after each client has sent one piece.
  milliseconds pause{0};
  /// Time after which clients that could not send everything stop.
  milliseconds give_up{4000};
  /// Receive buffer of each client in bytes; 0: the system's.
  int receive_buffer = 0;
};

/// Clients whose connections stay open until the object is destroyed.
class ClientCrowd {
 public:
  explicit ClientCrowd(CrowdOptions crowd_options)
      : options(std::move(crowd_options)) {
    for (int i = 0; i < this->options.clients; ++i) {
      this->clients.push_back(
          {ConnectTo(this->options.port, this->options.receive_buffer)});
    }
    const auto end = Clock::now() + this->options.give_up;
    bool is_sending = true;
    while (is_sending && Clock::now() < end) {
      is_sending = this->SendPieces();
      if (is_sending) std::this_thread::sleep_for(this->options.pause);
    }
  }
  ~ClientCrowd() {
    for (const Client& client : this->clients) ::close(client.fd);
  }
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

 private:
  struct Client {
    int fd = -1;
    size_t sent = 0;
    bool has_ended = false;
  };

  /// False if no client has anything left to send.
  bool SendPieces() {
    bool is_sending = false;
    for (Client& client : this->clients) {
      const size_t left = this->options.bytes.size() - client.sent;
      if (left == 0 || client.has_ended) continue;
      is_sending = true;
      const ssize_t sent =
          ::send(client.fd, this->options.bytes.data() + client.sent,
                 std::min(left, this->options.piece_bytes), MSG_NOSIGNAL);
      if (sent > 0) client.sent += static_cast<size_t>(sent);
      client.has_ended = sent < 0 && errno != EAGAIN && errno != ENOTCONN;
    }
    return is_sending;
  }

  CrowdOptions options;
  std::vector<Client> clients;
};

/// Sends the bytes on a new connection and returns the status of the answer; 0:
/// none came within `timeout`.
inline int StatusOf(uint16_t port, std::string_view bytes,
                    milliseconds timeout) {
  const int fd = ConnectTo(port);
  const auto end = Clock::now() + timeout;
  std::string answer;
  constexpr size_t kStatusEnd = std::string_view("HTTP/1.1 200").size();
  bool has_ended = false;
  while (!has_ended && answer.size() < kStatusEnd && Clock::now() < end) {
    const auto wanted =
        static_cast<decltype(pollfd::events)>(bytes.empty() ? POLLIN : POLLOUT);
    pollfd poll_fd{fd, wanted, 0};
    constexpr int kPollMs = 50;
    if (::poll(&poll_fd, 1, kPollMs) <= 0) continue;
    std::array<char, 512> text{};
    const ssize_t moved =
        bytes.empty() ? ::recv(fd, text.data(), text.size(), 0)
                      : ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    has_ended = moved == 0 || (moved < 0 && errno != EAGAIN);
    if (moved > 0 && bytes.empty()) {
      answer.append(text.data(), static_cast<size_t>(moved));
    } else if (moved > 0) {
      bytes.remove_prefix(static_cast<size_t>(moved));
    }
  }
  ::close(fd);
  if (answer.size() < kStatusEnd || !answer.starts_with("HTTP/1.1 ")) return 0;
  return std::atoi(answer.c_str() + std::string_view("HTTP/1.1 ").size());
}

}  // namespace fuchsiadrum::flood
