#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::gateway {

/// One named value of a log line.
struct LogField {
  std::string_view name;
  std::variant<std::string_view, int64_t, double, bool> value;
};

/// Options of the log.
struct EventLogOptions {
  std::string vm;
  int descriptor = 1;
  /// Lines that wait for a slow reader; further ones are unreported_drops and counted.
  size_t buffer_bytes = 262144;
};

/// Structured log: one JSON object a line. Lines are collected and written
/// without blocking; what does not fit is unreported_drops, and the number of unreported_drops
/// lines is logged.
class EventLog {
 public:
  explicit EventLog(const EventLogOptions& opts);

  void Write(std::string_view event, std::initializer_list<LogField> fields);
  /// Hands collected lines to the descriptor, as far as it takes them.
  void Flush();
  uint64_t Dropped() const { return this->dropped_total; }

 private:
  void AppendValue(const LogField& field);

  EventLogOptions options;
  std::string buffer;
  uint64_t unreported_drops = 0;
  uint64_t dropped_total = 0;
};

}  // namespace fuchsiadrum::gateway
