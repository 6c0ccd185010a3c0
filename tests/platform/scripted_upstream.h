#pragma once

#include <sys/socket.h>

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "gateway/asio.h"

namespace fuchsiadrum::gateway {

/// Counts how often each request was run, by all upstreams of a test.
class RunRecord {
 public:
  void Add(const std::string& id) {
    const std::lock_guard lock(this->mutex);
    ++this->runs[id];
  }
  int Of(const std::string& id) {
    const std::lock_guard lock(this->mutex);
    return this->runs[id];
  }

 private:
  std::mutex mutex;
  std::map<std::string, int> runs;
};

/// One request at a ScriptedUpstream, whose head was read.
class ScriptedExchange {
 public:
  ScriptedExchange(Tcp::socket& tcp_socket, boost::beast::flat_buffer& bytes,
                   RunRecord& run_record)
      : socket(tcp_socket), buffer(bytes), runs(run_record) {}

  /// Reads the head of the next request. Returns false if the connection ends.
  bool ReadHead() {
    namespace http = boost::beast::http;
    this->parser.emplace();
    this->parser->body_limit(std::numeric_limits<uint64_t>::max());
    http::read_header(this->socket, this->buffer, *this->parser, this->error);
    if (this->error) return false;
    this->earlier_id = this->id;
    this->id = std::string(this->parser->get()["Attempt-Id"]);
    ++this->number;
    return true;
  }
  /// Reads the body. Returns false if the connection ends before its end.
  bool ReadBody() {
    boost::beast::http::read(this->socket, this->buffer, *this->parser,
                             this->error);
    return !this->error;
  }
  /// Reads some bytes of the body at most.
  void ReadSomeOfBody() {
    boost::beast::http::read_some(this->socket, this->buffer, *this->parser,
                                  this->error);
  }
  const std::string& BodyText() const { return this->parser->get().body(); }
  /// Records that the upstream runs the request.
  void Run() { this->runs.Add(this->id); }
  void Write(const std::string& bytes) {
    ErrorCode ignored;
    asio::write(this->socket, asio::buffer(bytes), ignored);
  }
  /// Closes the connection after what was written.
  void Close() {
    this->keep = false;
    ::shutdown(this->socket.native_handle(), SHUT_RDWR);
  }
  /// Resets the connection.
  void Reset() {
    this->keep = false;
    ErrorCode ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->socket.close(ignored);
  }
  /// Waits until the caller closes the connection.
  void AwaitClose() {
    char byte = 0;
    while (!this->error) {
      this->socket.read_some(asio::buffer(&byte, 1), this->error);
    }
  }

  /// The request, with as much of its body as was read.
  const auto& Request() const { return this->parser->get(); }
  const std::string& Id() const { return this->id; }
  /// Value of a field of the request's head; empty if it has none.
  std::string Field(const std::string& name) {
    return std::string(this->parser->get()[name]);
  }
  /// Id of the request before on this connection; empty for the first.
  const std::string& EarlierId() const { return this->earlier_id; }
  /// Number of the request on its connection; 1: the first.
  int Number() const { return this->number; }
  Tcp::socket& Socket() { return this->socket; }
  bool IsOpen() const { return this->keep && !this->error; }

 private:
  Tcp::socket& socket;
  boost::beast::flat_buffer& buffer;
  RunRecord& runs;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser;
  ErrorCode error;
  std::string id;
  std::string earlier_id;
  int number = 0;
  bool keep = true;
};

/// Upstream on the loopback interface that reads and writes as a script says:
/// it may answer before it has read the body, stop in the middle of a head, or
/// reset the connection. One thread for each connection.
class ScriptedUpstream {
 public:
  /// Called for each request once its head was read.
  using Script = std::function<void(ScriptedExchange&)>;

  /// `accept_script` is called for each connection before its first request.
  ScriptedUpstream(RunRecord& run_record, Script request_script,
                   Script accept_script = nullptr)
      : runs(run_record),
        script(std::move(request_script)),
        on_accept(std::move(accept_script)),
        acceptor(context, {asio::ip::address_v4::loopback(), 0}),
        thread([this] { this->Accept(); }) {}
  ~ScriptedUpstream() {
    this->stopping = true;
    ErrorCode ignored;
    Tcp::socket wake(this->context);
    wake.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
    // As when a process ends: it is not to be reached any more when the first
    // of its connections is seen to be closed.
    this->acceptor.close(ignored);
    for (Connection& connection : this->open) {
      ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
    }
    for (Connection& connection : this->open) connection.worker.join();
  }
  ScriptedUpstream(const ScriptedUpstream&) = delete;
  ScriptedUpstream& operator=(const ScriptedUpstream&) = delete;

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  int Connections() const { return this->connections; }

 private:
  struct Connection {
    explicit Connection(asio::io_context& io_context) : socket(io_context) {}
    Tcp::socket socket;
    std::thread worker;
    std::atomic<bool> ended{false};
  };

  void Accept() {
    while (true) {
      Connection& connection = this->open.emplace_back(this->context);
      ErrorCode error;
      this->acceptor.accept(connection.socket, error);
      if (error || this->stopping) {
        this->open.pop_back();
        return;
      }
      ++this->connections;
      // What is written in parts is sent in parts.
      connection.socket.set_option(Tcp::no_delay(true), error);
      connection.worker =
          std::thread([this, &connection] { this->Serve(connection); });
      this->open.remove_if([](Connection& other) {
        if (!other.ended) return false;
        other.worker.join();
        return true;
      });
    }
  }
  void Serve(Connection& connection) {
    boost::beast::flat_buffer buffer;
    ScriptedExchange exchange(connection.socket, buffer, this->runs);
    if (this->on_accept) this->on_accept(exchange);
    while (exchange.IsOpen() && exchange.ReadHead()) this->script(exchange);
    ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
    connection.ended = true;
  }

  RunRecord& runs;
  Script script;
  Script on_accept;
  asio::io_context context;
  Tcp::acceptor acceptor;
  std::atomic<bool> stopping{false};
  std::atomic<int> connections{0};
  /// Used by the accepting thread until it has ended.
  std::list<Connection> open;
  std::thread thread;
};

}  // namespace fuchsiadrum::gateway
