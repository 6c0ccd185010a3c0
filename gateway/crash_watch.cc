#include "gateway/crash_watch.h"

#include <algorithm>
#include <utility>

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {

void CrashWatch::OnLostRun(const serving::FleetUpstreamPtr& upstream,
                           serving::LostRun run) {
  const serving::UpstreamIncarnation incarnation = {
      .id = upstream->entry.id,
      .started_unix_ms = upstream->entry.started_unix_ms};
  const auto [it, is_new] =
      this->pending.try_emplace(serving::CrashKey(incarnation));
  it->second.upstream = incarnation;
  it->second.runs.push_back(std::move(run));
  if (!is_new) return;
  asio::co_spawn(this->context, this->Examine(upstream), asio::detached);
}

asio::awaitable<void> CrashWatch::Examine(serving::FleetUpstreamPtr upstream) {
  co_await this->Wait(this->options.collect_time);
  const bool is_alive = co_await this->IsAlive(*upstream);

  const serving::UpstreamIncarnation incarnation = {
      .id = upstream->entry.id,
      .started_unix_ms = upstream->entry.started_unix_ms};
  const auto found = this->pending.find(serving::CrashKey(incarnation));
  const serving::UpstreamCrash crash = std::move(found->second);
  this->pending.erase(found);
  if (is_alive) co_return;

  ++this->crashes;
  const auto begun = std::ranges::count_if(
      crash.runs, [](const serving::LostRun& run) { return run.has_begun; });
  this->event_log.Write("upstream-crash",
                        {{"upstream", crash.upstream.id},
                         {"started_unix_ms", crash.upstream.started_unix_ms},
                         {"lost_runs", static_cast<int64_t>(crash.runs.size())},
                         {"begun", static_cast<int64_t>(begun)}});
  upstream->OnUnreachable(Now());
  this->on_crash(crash);
}

asio::awaitable<bool> CrashWatch::IsAlive(
    const serving::FleetUpstream& upstream) {
  serving::LivenessProbe probe(this->options.probe);
  serving::ProbeResult result = co_await this->Probe(upstream.entry);
  std::optional<bool> is_alive = probe.Add(result);
  while (!is_alive) {
    co_await this->Wait(this->options.settle_time);
    result = co_await this->Probe(upstream.entry);
    is_alive = probe.Add(result);
  }
  if (result != serving::ProbeResult::kKept) {
    this->event_log.Write("upstream-probe",
                          {{"upstream", upstream.entry.id},
                           {"connection", serving::ProbeResultName(result)},
                           {"verdict", *is_alive ? "alive" : "ended"}});
  }
  co_return *is_alive;
}

asio::awaitable<serving::ProbeResult> CrashWatch::Probe(
    const serving::UpstreamEntry& entry) {
  const auto connection = this->pool.MakeNew();
  connection->ExpireAt(Now() + this->options.connect_timeout);
  const bool is_open = co_await connection->Connect(entry.address);
  connection->NeverExpire();
  if (!is_open) {
    const bool is_reset = connection->WasEndedByPeer();
    connection->Close();
    co_return is_reset ? serving::ProbeResult::kReset
                       : serving::ProbeResult::kFailed;
  }
  co_await this->Wait(this->options.settle_time);
  if (!connection->IsReusable()) {
    connection->Close();
    co_return serving::ProbeResult::kReset;
  }
  this->pool.Release(entry, connection, std::nullopt);
  co_return serving::ProbeResult::kKept;
}

asio::awaitable<void> CrashWatch::Wait(Duration time) {
  asio::steady_timer timer(this->context);
  timer.expires_after(time);
  ErrorCode ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace fuchsiadrum::gateway
