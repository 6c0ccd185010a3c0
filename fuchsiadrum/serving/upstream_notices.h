#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// One life of an upstream: the same id with another start is another one, to
/// which no notice of before applies.
struct UpstreamLife {
  std::string id;
  int64_t started_unix_ms = 0;
};

/// Options of the notices.
struct UpstreamNoticeOptions {
  /// Longest pause that is granted: a wrong value must not take an upstream out
  /// of use for good.
  Duration longest_pause = std::chrono::minutes(10);
  /// A notice is forgotten when its upstream was not heard of for this long. A
  /// leaving upstream ends within a minute; its entry may come back once more.
  Duration memory = std::chrono::minutes(10);
};

/// What upstreams told this VM in their own answers: that they leave, or that
/// they want nothing for a while. A notice binds this VM whatever the
/// upstream's entry in the store says, also when that entry goes and comes
/// back.
class UpstreamNotices {
 public:
  explicit UpstreamNotices(const UpstreamNoticeOptions& opts) : options(opts) {}

  /// The upstream leaves; true if that is news.
  bool OnLeaving(TimePoint now, const UpstreamLife& life);
  /// The upstream wants nothing for so long; the longest pause counts.
  void OnPause(TimePoint now, const UpstreamLife& life, Duration pause);
  /// Drops what is too old to matter.
  void OnTick(TimePoint now);

  bool IsLeaving(const UpstreamLife& life) const;
  /// End of the pause; us 0: none was asked for.
  TimePoint PausedUntil(const UpstreamLife& life) const;

 private:
  struct Notice {
    int64_t started_unix_ms = 0;
    bool leaving = false;
    TimePoint paused_until;
    TimePoint heard_at;
  };

  Notice& NoticeOf(TimePoint now, const UpstreamLife& life);
  const Notice* Find(const UpstreamLife& life) const;

  UpstreamNoticeOptions options;
  std::map<std::string, Notice> notices;
};

}  // namespace fuchsiadrum::serving
