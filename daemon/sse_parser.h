#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace fuchsiadrum::daemon {

/// Splits a stream of server-sent events into the data of each event.
class SseParser {
 public:
  /// Called with the data of each whole event; valid during the call only.
  using OnData = std::function<void(std::string_view data)>;

  explicit SseParser(size_t max_event) : max_event_bytes(max_event) {}

  /// Adds bytes; false if an event is longer than the limit.
  bool Feed(std::string_view bytes, const OnData& handler);
  /// During a call of the handler: the event has the type "error".
  bool IsError() const { return this->is_error; }

 private:
  void TakeLine(std::string_view line, const OnData& handler);

  size_t max_event_bytes;
  std::string partial_line;
  std::string data;
  bool has_data = false;
  bool is_error = false;
};

}  // namespace fuchsiadrum::daemon
