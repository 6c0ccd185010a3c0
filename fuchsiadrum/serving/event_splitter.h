#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiadrum::serving {

/// Cuts a stream of server-sent events into whole events, so that a stream that
/// breaks off inside an event can go on at another upstream, and leaves out
/// events that the caller already has.
class EventSplitter {
 public:
  /// Events up to `last_event` are left out.
  explicit EventSplitter(std::optional<uint64_t> last_event)
      : last(last_event) {}

  /// Appends the new whole events among the bytes to `out`; the number of
  /// them.
  int Feed(std::string_view bytes, std::string& out);
  /// Bytes after the last whole event.
  std::string_view Rest() const { return this->rest; }
  /// Number of the last whole event; empty: none.
  std::optional<uint64_t> LastEvent() const { return this->last; }
  /// True if an event did not follow the one before it: a piece is missing.
  bool HasGap() const { return this->gap; }
  /// True if an event is larger than any upstream makes: the bytes are none.
  bool IsOverlong() const { return this->rest.size() > kMostEventBytes; }

 private:
  static constexpr size_t kMostEventBytes = 65536;

  bool IsNew(std::string_view event);

  std::string rest;
  std::optional<uint64_t> last;
  bool gap = false;
};

}  // namespace fuchsiadrum::serving
