#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "standin/asio.h"

namespace fuchsiadrum::standin {

using Request = http::request<http::string_body>;
using Stream = beast::tcp_stream;

/// A JSON object with one field. GCC 12 cannot compile an initializer list
/// inside a co_await expression, so coroutines build their bodies by functions.
inline nlohmann::json Field(const char* name, nlohmann::json value) {
  nlohmann::json out;
  out[name] = std::move(value);
  return out;
}

/// Answers one request on one connection.
class Responder {
 public:
  Responder(Stream& stream, const Request& request)
      : stream(stream),
        version(request.version()),
        keep_alive(request.keep_alive()) {}

  /// Adds a header to the answer.
  void Set(const std::string& name, const std::string& value) {
    this->headers[name] = value;
  }
  /// Names the request and its attempt in the answer, so that the daemon can
  /// tell it from the answers to other requests on the connection.
  void NameRequest(const Request& request);
  /// Sends a whole answer.
  asio::awaitable<void> Send(int status, std::string content_type,
                             std::string body);
  /// Sends a JSON answer.
  asio::awaitable<void> SendJson(int status, const nlohmann::json& body);
  /// Starts a chunked answer.
  asio::awaitable<void> Begin(int status, const std::string& content_type);
  /// Sends one chunk.
  asio::awaitable<void> Chunk(std::string_view data);
  /// Ends a chunked answer.
  asio::awaitable<void> End();
  /// Closes the connection without an answer.
  void Abort();

  /// True if the connection can take a further request.
  bool IsReusable() const { return this->keep_alive && !this->aborted; }
  /// Waits on the connection's executor.
  asio::awaitable<void> Sleep(std::chrono::microseconds time);

 private:
  Stream& stream;
  unsigned version;
  bool keep_alive;
  bool aborted = false;
  std::map<std::string, std::string> headers;
};

/// Parsed target: path and query values.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;

  /// A query value as a number, or `fallback`.
  uint64_t Number(const std::string& name, uint64_t fallback) const;
};
Target ParseTarget(std::string_view target);

/// A role of the stand-in.
class Role {
 public:
  virtual ~Role() = default;
  /// Handles one request.
  virtual asio::awaitable<void> Handle(Request request, Responder& out) = 0;
};

/// Serves a role on one address; all roles of a process share one thread.
class HttpServer {
 public:
  HttpServer(asio::io_context& context, const std::string& address, Role& role);

  /// Stops accepting; connections in progress go on.
  void Close();

 private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(asio::ip::tcp::socket socket);

  asio::ip::tcp::acceptor acceptor;
  Role& role;
};

/// End point of a text "IP:port"; throws std::invalid_argument.
asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

}  // namespace fuchsiadrum::standin
