#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fuchsiadrum/core/byte_budget.h"
#include "fuchsiadrum/serving/caller_request.h"
#include "fuchsiadrum/serving/serving_config.h"
#include "gateway/asio.h"
#include "gateway/watchdog.h"
#include "platform/http_fields.h"

namespace fuchsiadrum::gateway {

class GatewayCore;

/// One connection of a caller: reads a request at a time, has it served, and
/// notices when the caller leaves meanwhile.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         public Timed {
 public:
  CallerConnection(Tcp::socket accepted, GatewayCore& gateway_core);
  ~CallerConnection() override;

  /// Serves requests until the connection ends.
  asio::awaitable<void> Run();

  /// Writes bytes of an answer; false: the caller is gone.
  asio::awaitable<bool> Write(std::string_view bytes);
  /// Ends the connection without an end of the answer.
  void Abort();
  /// True if the answer must announce that the connection closes.
  bool MustClose() const;
  /// True if the caller has closed the connection, also if that was not handled
  /// yet.
  bool HasLeft();
  /// Closes an idle connection.
  void CloseIdle();
  /// Called once if the caller leaves, or the request's time is over, before
  /// Disarm.
  void Arm(TimePoint deadline, std::function<void(bool caller_gone)> interrupt);
  void Disarm();

 protected:
  void OnExpired() override;

 private:
  asio::awaitable<bool> WaitForBytes();
  asio::awaitable<std::optional<serving::CallerRequest>> ReadRequest();
  /// `retry`: when to come back; only for statuses that promise that the
  /// request did not run.
  asio::awaitable<void> Refuse(int status, std::string reason,
                               const std::string& request_id,
                               std::optional<Duration> retry = std::nullopt);
  /// The process holds as many bodies as it may.
  asio::awaitable<void> RefuseForMemory(const platform::HttpRequestHead& head);
  void LogBadInput(int status, const std::string& reason);
  void WatchForEnd();
  void Interrupt(bool caller_gone);

  Tcp::socket socket;
  GatewayCore& core;
  boost::beast::flat_buffer buffer;
  /// Body of the request that is being read or served.
  ByteHold request_bytes;
  std::function<void(bool caller_gone)> interrupt;
  /// Between two requests.
  bool idle = true;
  bool close_after = false;
  bool served_one = false;
  /// A wait for the caller's end is under way.
  bool watching = false;
};

}  // namespace fuchsiadrum::gateway
