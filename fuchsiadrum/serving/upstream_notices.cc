#include "fuchsiadrum/serving/upstream_notices.h"

#include <algorithm>

namespace fuchsiadrum::serving {

bool UpstreamNotices::OnLeaving(TimePoint now, const UpstreamLife& life) {
  Notice& notice = this->NoticeOf(now, life);
  const bool is_news = !notice.leaving;
  notice.leaving = true;
  return is_news;
}

void UpstreamNotices::OnPause(TimePoint now, const UpstreamLife& life,
                              Duration pause) {
  Notice& notice = this->NoticeOf(now, life);
  const TimePoint until = now + std::min(pause, this->options.longest_pause);
  notice.paused_until = std::max(notice.paused_until, until);
}

void UpstreamNotices::OnTick(TimePoint now) {
  std::erase_if(this->notices, [&](const auto& item) {
    const Notice& notice = item.second;
    return now - notice.heard_at > this->options.memory &&
           now >= notice.paused_until;
  });
}

bool UpstreamNotices::IsLeaving(const UpstreamLife& life) const {
  const Notice* notice = this->Find(life);
  return notice != nullptr && notice->leaving;
}

TimePoint UpstreamNotices::PausedUntil(const UpstreamLife& life) const {
  const Notice* notice = this->Find(life);
  return notice == nullptr ? TimePoint() : notice->paused_until;
}

UpstreamNotices::Notice& UpstreamNotices::NoticeOf(TimePoint now,
                                                   const UpstreamLife& life) {
  Notice& notice = this->notices[life.id];
  if (notice.started_unix_ms != life.started_unix_ms) notice = Notice();
  notice.started_unix_ms = life.started_unix_ms;
  notice.heard_at = now;
  return notice;
}

const UpstreamNotices::Notice* UpstreamNotices::Find(
    const UpstreamLife& life) const {
  const auto found = this->notices.find(life.id);
  if (found == this->notices.end()) return nullptr;
  const bool same = found->second.started_unix_ms == life.started_unix_ms;
  return same ? &found->second : nullptr;
}

}  // namespace fuchsiadrum::serving
