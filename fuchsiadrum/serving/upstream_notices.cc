#include "fuchsiadrum/serving/upstream_notices.h"

#include <algorithm>

namespace fuchsiadrum::serving {

bool UpstreamNotices::OnLeaving(TimePoint now,
                                const UpstreamIncarnation& incarnation) {
  Notice& notice = this->Refresh(now, incarnation);
  const bool is_new = !notice.leaving;
  notice.leaving = true;
  return is_new;
}

void UpstreamNotices::OnPause(TimePoint now,
                              const UpstreamIncarnation& incarnation,
                              Duration pause) {
  Notice& notice = this->Refresh(now, incarnation);
  const TimePoint until = now + std::min(pause, this->options.max_pause);
  notice.paused_until = std::max(notice.paused_until, until);
}

void UpstreamNotices::OnTick(TimePoint now) {
  std::erase_if(this->notices, [&](const auto& item) {
    const Notice& notice = item.second;
    return now - notice.updated_at > this->options.retention &&
           now >= notice.paused_until;
  });
}

bool UpstreamNotices::IsLeaving(const UpstreamIncarnation& incarnation) const {
  const Notice* notice = this->Find(incarnation);
  return notice != nullptr && notice->leaving;
}

TimePoint UpstreamNotices::PausedUntil(
    const UpstreamIncarnation& incarnation) const {
  const Notice* notice = this->Find(incarnation);
  return notice == nullptr ? TimePoint() : notice->paused_until;
}

UpstreamNotices::Notice& UpstreamNotices::Refresh(
    TimePoint now, const UpstreamIncarnation& incarnation) {
  Notice& notice = this->notices[incarnation.id];
  if (notice.started_unix_ms != incarnation.started_unix_ms) notice = Notice();
  notice.started_unix_ms = incarnation.started_unix_ms;
  notice.updated_at = now;
  return notice;
}

const UpstreamNotices::Notice* UpstreamNotices::Find(
    const UpstreamIncarnation& incarnation) const {
  const auto found = this->notices.find(incarnation.id);
  if (found == this->notices.end()) return nullptr;
  const bool same =
      found->second.started_unix_ms == incarnation.started_unix_ms;
  return same ? &found->second : nullptr;
}

}  // namespace fuchsiadrum::serving
