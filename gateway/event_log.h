#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::gateway {

/// One named value of a log line. It refers to the caller's text.
struct LogField {
  std::string_view name;
  std::variant<std::string_view, int64_t, double, bool> value;
};

/// Options of an EventLog.
struct EventLogOptions {
  /// Name of the VM, written into each line.
  std::string vm;
  int descriptor = 1;
  /// Maximum bytes of lines that wait for a slow reader. Further lines are
  /// discarded and counted.
  size_t buffer_bytes = 262144;
};

/// Structured log with one JSON object per line. Lines are buffered and written
/// without blocking. Lines that exceed the buffer are discarded, and their
/// number is logged.
class EventLog {
 public:
  explicit EventLog(const EventLogOptions& opts);

  void Write(std::string_view event, std::initializer_list<LogField> fields);
  /// Writes as much of the buffer as the descriptor accepts without blocking.
  void Flush();
  /// Number of lines discarded since the start.
  uint64_t Dropped() const { return this->dropped_total; }

 private:
  void AppendValue(const LogField& field);

  EventLogOptions options;
  std::string buffer;
  /// Lines discarded since the last "log-dropped" line.
  uint64_t unreported_drops = 0;
  uint64_t dropped_total = 0;
};

}  // namespace fuchsiadrum::gateway
