#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// One incarnation of an upstream, from start to exit. The same id with another
/// start time is another incarnation, to which earlier notices do not apply.
struct UpstreamIncarnation {
  std::string id;
  int64_t started_unix_ms = 0;

  auto operator<=>(const UpstreamIncarnation&) const = default;
};

/// Options of UpstreamNotices.
struct UpstreamNoticeOptions {
  /// Longer pauses are shortened to this, so that a wrong value cannot exclude
  /// an upstream forever.
  Duration max_pause = std::chrono::minutes(10);
  /// A notice is dropped when it was not renewed for this long. An upstream
  /// that announced its shutdown exits within a minute; its entry may reappear
  /// once more after that.
  Duration retention = std::chrono::minutes(10);
};

/// Holds what upstreams announced to this VM in their answers: that they are
/// shutting down, or that they want no requests for a while. A notice takes
/// precedence over the upstream's entry in the store, also when that entry is
/// deleted and reappears.
class UpstreamNotices {
 public:
  explicit UpstreamNotices(const UpstreamNoticeOptions& opts) : options(opts) {}

  /// The upstream is shutting down. Returns true if that was not known before.
  bool OnLeaving(TimePoint now, const UpstreamIncarnation& incarnation);
  /// The upstream wants no requests for `pause`. Of several pauses the one that
  /// ends last applies.
  void OnPause(TimePoint now, const UpstreamIncarnation& incarnation,
               Duration pause);
  /// Drops expired notices.
  void OnTick(TimePoint now);

  bool IsLeaving(const UpstreamIncarnation& incarnation) const;
  /// Returns the end of the pause; us is 0 if none was requested.
  TimePoint PausedUntil(const UpstreamIncarnation& incarnation) const;

 private:
  struct Notice {
    int64_t started_unix_ms = 0;
    bool leaving = false;
    TimePoint paused_until;
    TimePoint updated_at;
  };

  Notice& Refresh(TimePoint now, const UpstreamIncarnation& incarnation);
  const Notice* Find(const UpstreamIncarnation& incarnation) const;

  UpstreamNoticeOptions options;
  std::map<std::string, Notice> notices;
};

}  // namespace fuchsiadrum::serving
