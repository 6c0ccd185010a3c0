#include "gateway/upstream_pool.h"

#include <algorithm>

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {

std::string UpstreamPool::KeyOf(const serving::UpstreamEntry& entry) {
  return entry.id + '@' + entry.address + '/' +
         std::to_string(entry.started_unix_ms);
}

std::shared_ptr<HttpConnection> UpstreamPool::TakeIdle(
    const serving::UpstreamEntry& entry, std::string_view request_id,
    bool repeatable) {
  const auto found = this->idle.find(KeyOf(entry));
  if (found == this->idle.end()) return nullptr;

  const TimePoint now = Now();
  std::vector<IdleConnection>& connections = found->second;
  for (size_t i = connections.size(); i-- > 0;) {
    const IdleConnection candidate = connections[i];
    if (candidate.connection->HasCarried(request_id)) continue;
    const bool too_old = !repeatable && now - candidate.since >
                                            this->options.max_idle_unrepeatable;
    if (too_old && now < candidate.until) return nullptr;
    connections.erase(connections.begin() + static_cast<ptrdiff_t>(i));
    --this->idle_count;
    if (now < candidate.until) {
      if (candidate.connection->IsReusable()) return candidate.connection;
      this->on_lost(entry);
    }
    candidate.connection->Close();
  }
  return nullptr;
}

std::shared_ptr<HttpConnection> UpstreamPool::MakeNew() {
  auto connection =
      std::make_shared<HttpConnection>(this->context, &this->link);
  this->watchdog.Watch(*connection);
  ++this->opened;
  return connection;
}

void UpstreamPool::Release(const serving::UpstreamEntry& entry,
                           std::shared_ptr<HttpConnection> connection,
                           std::optional<Duration> keep_alive) {
  connection->NeverExpire();
  const bool is_full = this->options.max_connections > 0 &&
                       this->idle_count >= this->options.max_connections;
  if (is_full || !connection->IsReusable()) {
    connection->Close();
    return;
  }
  ++this->idle_count;
  Duration idle_limit = this->options.max_idle;
  if (keep_alive) {
    const auto usable = std::chrono::duration_cast<Duration>(
        *keep_alive * this->options.keep_alive_fraction);
    idle_limit = std::min(idle_limit, usable);
  }
  const TimePoint now = Now();
  this->idle[KeyOf(entry)].push_back({.connection = std::move(connection),
                                      .since = now,
                                      .until = now + idle_limit});
}

void UpstreamPool::OnTick(TimePoint now) {
  for (auto it = this->idle.begin(); it != this->idle.end();) {
    this->idle_count -=
        std::erase_if(it->second, [now](const IdleConnection& entry) {
          if (now < entry.until) return false;
          entry.connection->Close();
          return true;
        });
    it = it->second.empty() ? this->idle.erase(it) : std::next(it);
  }
}

}  // namespace fuchsiadrum::gateway
