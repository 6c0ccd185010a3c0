#pragma once

#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "daemon/asio.h"

namespace fuchsiadrum::daemon {

/// A blocking TCP client for tests that writes and reads raw HTTP text.
class RawClient {
 public:
  explicit RawClient(uint16_t port) : socket(context) {
    this->socket.connect({asio::ip::address_v4::loopback(), port});
  }

  void Write(const std::string& text) {
    ErrorCode ignored;
    asio::write(this->socket, asio::buffer(text), ignored);
  }
  /// Everything until the other side closes.
  std::string ReadAll() {
    std::string out;
    ErrorCode end;
    asio::read(this->socket, asio::dynamic_buffer(out), end);
    return out;
  }
  /// Everything up to and with the mark.
  std::string ReadUntil(const std::string& mark) {
    ErrorCode end;
    const size_t size = asio::read_until(
        this->socket, asio::dynamic_buffer(this->buffer), mark, end);
    std::string out = this->buffer.substr(0, end ? std::string::npos : size);
    this->buffer.erase(0, out.size());
    return out;
  }
  void Close() { this->socket.close(); }
  Tcp::socket& Socket() { return this->socket; }

 private:
  asio::io_context context;
  Tcp::socket socket;
  std::string buffer;
};

/// A scripted HTTP server on loopback. Each connection has its own thread; the
/// script gets each whole request and writes the answer.
class ScriptedServer {
 public:
  /// Writes to the connection; false closes the connection afterwards.
  using Script =
      std::function<bool(const std::string& request, Tcp::socket& socket)>;

  explicit ScriptedServer(Script new_script)
      : script(std::move(new_script)),
        acceptor(context, {asio::ip::address_v4::loopback(), 0}),
        accepting([this] { this->Accept(); }) {}

  ~ScriptedServer() {
    this->stopping = true;
    // Wakes the blocking accept.
    ErrorCode ignored;
    Tcp::socket wake(this->context);
    wake.connect(this->acceptor.local_endpoint(), ignored);
    this->accepting.join();
    for (Tcp::socket& socket : this->sockets) {
      socket.shutdown(Tcp::socket::shutdown_both, ignored);
    }
    for (std::thread& thread : this->serving) thread.join();
  }

  uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->Port());
  }

 private:
  void Accept() {
    while (true) {
      Tcp::socket socket = this->acceptor.accept();
      if (this->stopping) return;
      Tcp::socket& kept = this->sockets.emplace_back(std::move(socket));
      this->serving.emplace_back([this, &kept] { this->Serve(kept); });
    }
  }

  void Serve(Tcp::socket& socket) {
    std::string buffer;
    ErrorCode error;
    while (!error) {
      const size_t head = asio::read_until(socket, asio::dynamic_buffer(buffer),
                                           "\r\n\r\n", error);
      if (error) break;
      const size_t at = buffer.find("Content-Length: ");
      const size_t body =
          at < head ? std::stoul(buffer.substr(at + 16)) : size_t{0};
      if (buffer.size() < head + body) {
        asio::read(socket, asio::dynamic_buffer(buffer),
                   asio::transfer_exactly(head + body - buffer.size()), error);
      }
      const std::string request = buffer.substr(0, head + body);
      buffer.erase(0, head + body);
      if (!error && !this->script(request, socket)) break;
    }
    socket.shutdown(Tcp::socket::shutdown_both, error);
  }

  Script script;
  asio::io_context context;
  Tcp::acceptor acceptor;
  std::atomic<bool> stopping{false};
  std::list<Tcp::socket> sockets;
  std::vector<std::thread> serving;
  std::thread accepting;
};

/// Writes a text; false on failure.
inline bool Put(Tcp::socket& socket, const std::string& text) {
  ErrorCode error;
  asio::write(socket, asio::buffer(text), error);
  return !error;
}

}  // namespace fuchsiadrum::daemon
