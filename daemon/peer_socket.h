#pragma once

#include <nng/nng.h>

#include <functional>
#include <string>
#include <string_view>

namespace fuchsiadrum::daemon {

/// Receiving end of all peers' links: one nng pull socket with a listener.
class PeerListener {
 public:
  /// Called in a thread of nng for each message. Nothing more is received
  /// until Next.
  using OnMessage = std::function<void(std::string bytes)>;

  explicit PeerListener(OnMessage new_handler);
  ~PeerListener();
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;

  /// Opens "IP:port" and receives the first message; otherwise the reason.
  std::string Open(const std::string& address);
  /// Receives the next message.
  void Next();

 private:
  static void Received(void* listener);

  OnMessage handler;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  nng_aio* aio = nullptr;
};

/// Sending end of the link to one peer: one nng push socket with a dialler.
class PeerDialler {
 public:
  explicit PeerDialler(std::string peer_address)
      : address(std::move(peer_address)) {}
  ~PeerDialler();
  PeerDialler(const PeerDialler&) = delete;
  PeerDialler& operator=(const PeerDialler&) = delete;

  /// Closes the connection, if there is one, and dials anew in the background;
  /// false if the socket could not be made.
  bool Redial();
  /// Queues a message; false if the link's queue is full or it is not open.
  bool Send(std::string_view bytes);

 private:
  void Close();

  std::string address;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  bool open = false;
};

}  // namespace fuchsiadrum::daemon
