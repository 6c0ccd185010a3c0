#pragma once

#include <memory>
#include <optional>
#include <string>

#include "daemon/asio.h"
#include "daemon/client_share.h"
#include "daemon/http_message.h"
#include "daemon/request_parser.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::daemon {

/// Limits of one connection.
struct HttpLimits {
  size_t header_bytes = 16384;
  /// Ordinary heads have a few dozen.
  size_t header_fields = 256;
  size_t body_bytes = 4194304;
  Duration header_timeout = std::chrono::seconds(5);
  Duration body_timeout = std::chrono::seconds(30);
  /// Longest time in which one write has to be taken by the reader.
  Duration write_timeout = std::chrono::seconds(30);
};

/// Input that is refused before it becomes a request.
struct BadInput {
  int status = 400;
  /// Label of the metric, for example "malformed-http".
  std::string kind;
  /// Short sentence for the caller.
  std::string reason;
};

/// Server side of one HTTP connection: reads one request at a time within the
/// limits and writes what the subclass composes.
class HttpServerConnection
    : public std::enable_shared_from_this<HttpServerConnection>,
      public GatedClient {
 public:
  /// `client_share`: what all connections of the server may hold.
  HttpServerConnection(Tcp::socket socket, const HttpLimits& limits,
                       std::shared_ptr<ClientShare> client_share);
  virtual ~HttpServerConnection();
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;

  /// Reads the first request.
  void Start() { this->ReadNext(); }
  /// Closes the connection at once.
  void Close();
  bool HasUnreadBytes() override;
  void CloseForOthers() override;

 protected:
  /// A whole request was read. Nothing more is read until ReadNext.
  virtual void OnRequest(HttpRequest request) = 0;
  /// The input was refused; the connection must end with FinishAndClose.
  virtual void OnBadInput(const BadInput& input) = 0;
  /// A Write ended; false: the connection failed or the reader was too slow.
  virtual void OnWritten(bool written) = 0;
  /// The other side closed while its answer was awaited.
  virtual void OnGone() = 0;

  /// Reads the next request of the connection.
  void ReadNext();
  /// Writes the text; one write at a time, then OnWritten.
  void Write(std::string text);
  /// Writes the text, then closes so that the other side can still read it.
  void FinishAndClose(std::string text);
  /// Calls OnGone if the other side closes before the next ReadNext.
  void WatchForClose();

 private:
  struct Io;

  /// Parses what has arrived, and reads more if that does not suffice.
  void Continue();
  void OnHead();
  void ReadSome();
  /// Holds this much memory for the request; false if the limits do not allow
  /// it.
  bool Hold(size_t bytes);
  void FailRead();
  void RefuseMemory();
  void Deliver();
  void Linger();
  void CheckClosed();
  void Arm(Duration timeout);
  void Disarm();

  HttpLimits limits;
  std::shared_ptr<ClientShare> share;
  ByteHold held_bytes;
  std::unique_ptr<Io> io;
};

}  // namespace fuchsiadrum::daemon
