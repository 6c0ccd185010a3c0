#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "daemon/client_gate.h"
#include "daemon/request_parser.h"
#include "fuchsiadrum/core/byte_budget.h"
#include "fuchsiadrum/serving/caller_request.h"
#include "fuchsiadrum/serving/serving_config.h"
#include "gateway/asio.h"
#include "gateway/watchdog.h"

namespace fuchsiadrum::gateway {

class GatewayCore;

/// One connection of a caller. It reads one request at a time, runs a
/// RequestTask for it, and detects when the caller disconnects meanwhile.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         public Timed,
                         public daemon::GatedClient {
 public:
  CallerConnection(Tcp::socket accepted, GatewayCore& gateway_core);
  ~CallerConnection() override;

  bool HasUnreadBytes() override;
  void CloseForOthers() override;

  /// Serves requests until the connection ends.
  asio::awaitable<void> Run();

  /// Writes bytes of an answer. Returns false if the caller is gone, or if it
  /// takes none for the idle timeout of the configuration.
  asio::awaitable<bool> Write(std::string_view bytes);
  /// The same for bytes that stand in two places.
  asio::awaitable<bool> Write(std::string_view first, std::string_view second);
  /// Closes the connection without completing the answer.
  void Abort();
  /// Only the end of the connection will end the answer. From now on, the
  /// connection is reset unless the answer is completed, also if the process
  /// dies. Call it before AnnounceClose.
  void EndAnswerWithConnection();
  /// True if the answer to the current request may come in chunks.
  bool TakesChunks() const { return this->takes_chunks; }
  /// True if the answer must announce that the connection will be closed. The
  /// connection then closes after it.
  bool AnnounceClose();
  /// True if the caller has closed the connection, even if the event has not
  /// been handled yet.
  bool HasLeft();
  /// Closes the connection if it has been idle for a while and no bytes of a
  /// request have arrived.
  void CloseIdle(TimePoint now);
  /// Refuses a request that is still being read, because the gateway stops.
  void EndReading();
  /// Sets a handler that is called at most once before Disarm: when the caller
  /// disconnects or the deadline passes.
  void Arm(TimePoint deadline, std::function<void(bool caller_gone)> interrupt);
  void Disarm();

 protected:
  void OnExpired() override;

 private:
  asio::awaitable<bool> WaitForBytes();
  asio::awaitable<std::optional<serving::CallerRequest>> ReadRequest();
  /// Reads the head, or then the rest of the request. Returns false if the
  /// connection is to be closed; a refusal was sent then.
  asio::awaitable<bool> ReadPart(daemon::RequestParser& reader);
  /// Reads some bytes. Returns the same as ReadPart.
  asio::awaitable<bool> ReadSome(daemon::RequestParser& reader);
  /// Holds this much memory for the request. Returns false if the limits do not
  /// allow it; it must be refused then.
  bool Hold(size_t bytes);
  /// True if a request that holds `held` bytes may hold `missing` more.
  bool MayHold(size_t held, size_t missing);
  /// Waits until the caller takes more of its answer.
  asio::awaitable<void> WaitForReader(ErrorCode& error);
  /// `retry_after` is only for statuses that promise that the request did not
  /// run.
  asio::awaitable<void> Refuse(
      int status, std::string reason, const std::string& request_id,
      std::optional<Duration> retry_after = std::nullopt);
  /// Refuses a request for what its parser has found.
  asio::awaitable<void> RefuseFault(daemon::RequestFault fault);
  /// Refuses a request whose body was not read whole with a promise that it
  /// does not run.
  asio::awaitable<void> RefuseUnread(std::string reason);
  /// Waits until the caller has closed the connection after its last answer, or
  /// for a short time, and for as many bytes as a body may have. Closing with
  /// unread bytes, of a further request for example, would reset the
  /// connection, and the caller might lose the answer.
  asio::awaitable<void> Linger();
  void LogBadInput(int status, const std::string& reason);
  void WatchForClose();
  void Interrupt(bool caller_gone);
  /// Sets whether closing the connection resets it.
  void SetResetOnClose(bool resets);

  Tcp::socket socket;
  GatewayCore& core;
  boost::beast::flat_buffer buffer;
  /// Memory accounted for the connection and for the request that is being read
  /// or served.
  ByteHold request_bytes;
  /// Id of the request that is being read; empty until it is known.
  std::string request_id;
  std::function<void(bool caller_gone)> interrupt;
  /// True while no request is being read or served.
  bool idle = true;
  TimePoint idle_since;
  /// True while a request is being read.
  bool reading = false;
  /// True if EndReading has ended the read.
  bool reading_ended = false;
  /// True if the last answer announced that the connection will be closed.
  bool close_announced = false;
  bool close_after = false;
  bool takes_chunks = true;
  bool resets_on_close = false;
  bool has_served_request = false;
  /// True while a wait for the caller's close is pending.
  bool watching = false;
};

/// Answers 503 on a connection that is not served, and closes it.
void RefuseConnection(Tcp::socket socket);

}  // namespace fuchsiadrum::gateway
