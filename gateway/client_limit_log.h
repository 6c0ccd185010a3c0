#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "daemon/client_gate.h"
#include "daemon/request_parser.h"
#include "fuchsiadrum/core/types.h"
#include "gateway/event_log.h"

namespace fuchsiadrum::gateway {

/// A limit on what clients make the process hold.
enum class ClientLimit {
  kConnections,    // connections of an address; one was closed for another
  kRefusal,        // the same; the new connection was refused
  kDescriptors,    // descriptors of the process; a connection was not accepted
  kHeadBytes,      // bytes of a head
  kHeadFields,     // fields of a head
  kBodyBytes,      // bytes of a body
  kLineBytes,      // bytes of a chunk-size line or a trailer
  kMemory,         // the sum of all bytes; a request was refused
  kStalledMemory,  // the same; a stalled request or answer was closed
  kUnreadTime,     // time in which the client took nothing of its answer
  kMalformed,      // not a limit: input that is no HTTP, or ambiguous
};

/// Counts what the limits on clients refuse and close. Clients can meet a limit
/// many thousand times a second, so each limit is logged at most once a second.
class ClientLimitLog {
 public:
  explicit ClientLimitLog(EventLog& event_log) : log(event_log) {}

  void Count(ClientLimit limit) {
    ++this->limits[static_cast<size_t>(limit)].total;
  }
  /// Counts the limit that made a gate act.
  void Count(daemon::GateAction action);
  /// Counts the limit that the request has met.
  void Count(daemon::RequestFault fault);
  uint64_t Total(ClientLimit limit) const {
    return this->limits[static_cast<size_t>(limit)].total;
  }
  /// True if a line about a single client may be written now; false too many
  /// were written within the second.
  bool MayLogClient(TimePoint now);
  /// Writes what was counted since the last lines.
  void OnTick(TimePoint now);
  /// Appends the counters in Prometheus text format.
  void AddMetrics(std::string& text) const;

 private:
  static constexpr size_t kLimits = 11;
  struct Counter {
    uint64_t total = 0;
    uint64_t logged = 0;
  };

  EventLog& log;
  std::array<Counter, kLimits> limits;
  TimePoint logged_at;
  int client_lines = 0;
};

}  // namespace fuchsiadrum::gateway
