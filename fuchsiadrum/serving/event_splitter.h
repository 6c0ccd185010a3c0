#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiadrum::serving {

/// Splits a stream of server-sent events into complete events, so that a stream
/// that breaks off inside an event can be resumed at another upstream. Events
/// that the caller already has are dropped.
class EventSplitter {
 public:
  /// Drops events up to and including number `last_event`.
  explicit EventSplitter(std::optional<uint64_t> last_event)
      : last(last_event) {}

  /// Appends the complete new events, and what stands between them, to `out`.
  /// Returns the number of new events that have a number of their own.
  int Feed(std::string_view bytes, std::string& out);
  /// Bytes received after the last complete event.
  std::string_view Rest() const { return this->rest; }
  /// Number of the last complete event; empty if there was none.
  std::optional<uint64_t> LastEvent() const { return this->last; }
  /// True if the event numbers are not consecutive, so that events are missing.
  bool HasGap() const { return this->gap; }
  /// True if there was an event without a number: nothing tells at which place
  /// of the stream it belongs. Comments and retry times are no events.
  bool HasUnnumbered() const { return this->unnumbered; }
  /// True if the bytes after the last complete event are part of another one.
  bool IsInsideEvent() const;
  /// True if the unfinished event is larger than any that an upstream produces:
  /// the bytes cannot be an event stream.
  bool IsOverlong() const { return this->rest.size() > kMaxEventBytes; }

 private:
  static constexpr size_t kMaxEventBytes = 65536;

  /// Takes note of what stands before one blank line.
  enum class Kind {
    kNew,      // the next event
    kKnown,    // an event that the caller already has
    kNoEvent,  // comments and retry times
    kUnnumbered,
  };
  Kind Classify(std::string_view event);

  std::string rest;
  std::optional<uint64_t> last;
  bool gap = false;
  bool unnumbered = false;
};

}  // namespace fuchsiadrum::serving
