#include "gateway/gateway_core.h"

#include <algorithm>

#include "fuchsiadrum/core/duration.h"
#include "gateway/caller_connection.h"
#include "gateway/clock.h"
#include "gateway/fleet_heartbeats.h"
#include "gateway/request_task.h"
#include "platform/config_codec.h"

namespace fuchsiadrum::gateway {
namespace {

/// How long a read of the configuration may wait in the store for a new record.
/// A dead connection is detected after this time plus the store's timeout.
constexpr Duration kConfigReadWait = std::chrono::milliseconds(1000);
/// Interval between reads of the upstreams' entries. Each read returns all
/// heartbeats since the last one. Leaving upstreams must be known within the
/// drain time.
constexpr Duration kUpstreamReadInterval = std::chrono::milliseconds(350);
/// Age of the newest proven configuration above which a change may be unknown.
/// A change must be in force after 2 s. A held read takes 1 s, and what is
/// proven at its beginning may be kMaxConfigProofAge old.
constexpr Duration kMaxConfigAge = std::chrono::milliseconds(1800);
/// Age of the newest proven configuration above which it is read without a
/// wait.
constexpr Duration kMaxConfigProofAge = std::chrono::milliseconds(300);
/// Time after which the operators have written again what a restored store has
/// lost. Until then, its configuration may be older than the one in force.
constexpr Duration kRewriteTime = std::chrono::seconds(3);
/// After a pause of the process, nothing is sent until the evacuations have
/// been read again, but for this time at most: if the store is away, the last
/// ones remain in force.
constexpr Duration kMaxEvacuationRead = std::chrono::milliseconds(1000);
/// How long evacuations of an earlier era of the store stay in force after it
/// was restored, unless they are written again or deleted.
constexpr Duration kKeepUnconfirmed = std::chrono::seconds(5);
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr size_t kBytesPerMegabyte = 1000000;
/// Interval at which idle connections and upstreams are checked and the fleet's
/// size is taken over.
constexpr Duration kPoolSweepInterval = std::chrono::milliseconds(500);

Duration StoreTimeout(const pb::GatewaySettings& settings) {
  return std::chrono::milliseconds(settings.store().timeout_ms());
}

serving::RetryAllowanceOptions RetryOptions(
    const pb::GatewaySettings& settings) {
  return {.ratio = settings.bounds().retry_ratio(),
          .slack = settings.bounds().retry_slack(),
          .window = FromSeconds(settings.bounds().retry_window_s())};
}

/// Name of this process among the holders of grants and shares.
std::string HolderName(const pb::GatewaySettings& settings) {
  return VmRef{settings.vm().name(), daemon::StartIncarnation()}.ToString();
}

serving::UpstreamDirectoryOptions DirectoryOptions(
    const pb::GatewaySettings& settings) {
  serving::UpstreamDirectoryOptions options;
  options.keep_missing = serving::KeepMissingTime(
      std::chrono::milliseconds(settings.bounds().drain_ms()));
  options.limits.holder = HolderName(settings);
  options.cold.overage = settings.bounds().cold_overage();
  options.cold.slack = settings.bounds().cold_slack();
  options.cold.share.vm = settings.vm().name();
  return options;
}

serving::PromptQuarantineOptions QuarantineOptions(
    const pb::GatewaySettings& settings) {
  serving::PromptQuarantineOptions options;
  options.holder = HolderName(settings);
  return options;
}

/// Descriptors that the process may have open; 0: not known.
size_t MaxDescriptors(const pb::GatewaySettings& settings) {
  const size_t system = daemon::SystemDescriptors();
  const size_t set = settings.vm().max_fds();
  if (set == 0 || system == 0) return std::max(set, system);
  return std::min(set, system);
}

serving::ClientLimits LimitsOf(const pb::GatewaySettings& settings) {
  const auto& clients = settings.clients();
  const size_t memory_bytes = settings.vm().memory_mb() * kBytesPerMegabyte;
  serving::ClientLimits limits = serving::ClientLimits::For(
      {.memory_bytes = memory_bytes, .descriptors = MaxDescriptors(settings)});
  if (clients.held_mb() > 0) {
    limits.SetTotal(clients.held_mb() * kBytesPerMegabyte);
  }
  if (clients.max_connections() > 0) {
    limits.connections = clients.max_connections();
  }
  if (clients.max_page_connections() > 0) {
    limits.page_connections = clients.max_page_connections();
  }
  if (clients.max_header_fields() > 0) {
    limits.header_fields = clients.max_header_fields();
  }
  return limits;
}

/// Services with streams that callers may take up.
std::set<std::string> ResumableServices(const serving::ServingConfig& config) {
  std::set<std::string> services;
  for (const serving::Route& route : config.routes) {
    if (route.kind != serving::RequestKind::kStreaming || !route.resumable) {
      continue;
    }
    for (const serving::ServiceShare& share : route.services) {
      services.insert(share.service);
    }
  }
  return services;
}

/// How long after its first event a stream may be taken up: a caller makes all
/// its attempts within a time limit, which is about its route's timeout.
Duration StreamLifetime(const serving::ServingConfig& config) {
  constexpr Duration kMargin = std::chrono::seconds(5);
  constexpr Duration kMaxLifetime = std::chrono::minutes(10);
  Duration longest = Duration::zero();
  for (const serving::Route& route : config.routes) {
    if (route.kind == serving::RequestKind::kStreaming && route.resumable) {
      longest = std::max(longest, route.timeout);
    }
  }
  return std::min(2 * longest + kMargin, kMaxLifetime);
}

BudgetClientOptions BudgetOptions(const pb::GatewaySettings& settings,
                                  StoreEndpoint& store) {
  return {.vm = settings.vm().name(),
          .incarnation = daemon::StartIncarnation(),
          .store = &store,
          .store_timeout = StoreTimeout(settings),
          .parts = settings.store().parts(),
          .writes_per_s = settings.store().writes_per_s()};
}

}  // namespace

GatewayCore::GatewayCore(const pb::GatewaySettings& gateway_settings,
                         asio::io_context& io_context)
    : settings(gateway_settings),
      context(io_context),
      log({.vm = gateway_settings.vm().name()}),
      store({.address = gateway_settings.store().address()}),
      rng(daemon::StartIncarnation()),
      directory(DirectoryOptions(gateway_settings)),
      placement(
          {.seed = daemon::StartIncarnation(),
           .availability_zone = gateway_settings.vm().availability_zone()}),
      retries(RetryOptions(gateway_settings)),
      link({.bytes_per_s =
                gateway_settings.vm().link_mbps() * kBytesPerMegabit}),
      loop_delay(serving::LoopDelayOptions()),
      client_limits(LimitsOf(gateway_settings)),
      client_bytes(this->client_limits.total_bytes),
      limit_log(this->log),
      caller_gate({.max_connections = this->client_limits.connections},
                  [this](auto action) { this->limit_log.Count(action); }),
      pool({.max_connections = this->client_limits.idle_upstreams}, io_context,
           this->watchdog, this->link,
           [this](const auto& entry) { this->OnUpstreamLost(entry); }),
      config_follower(
          {.stream = platform::Stream::kOperators,
           .long_poll_wait = kConfigReadWait,
           .max_proof_age = kMaxConfigProofAge,
           .skip_to_newest_after_failure = true,
           .max_lag_records = 1,
           .timeout = StoreTimeout(gateway_settings),
           .keep_unconfirmed = kKeepUnconfirmed},
          {.on_change = [this](const auto& r) { this->OnOperatorsRecord(r); },
           .on_read = [this] { this->ApplyPendingConfig(); },
           .on_recovered = [] {}},
          io_context, this->watchdog, this->log, this->store),
      upstream_follower(
          {.stream = platform::Stream::kUpstreams,
           .interval = kUpstreamReadInterval,
           .timeout = StoreTimeout(gateway_settings)},
          {.on_change = [this](const auto& r) { this->OnUpstreamRecord(r); },
           .on_read =
               [this] {
                 if (this->upstream_follower.IsCurrent()) {
                   this->OnUpstreamsRead();
                 }
               },
           .on_recovered = [this] { this->OnStoreRecovered(); }},
          io_context, this->watchdog, this->log, this->store),
      budgets(BudgetOptions(gateway_settings, this->store), io_context,
              this->watchdog, this->log),
      shared_limits({.holder = HolderName(gateway_settings),
                     .store = &this->store,
                     .store_timeout = StoreTimeout(gateway_settings)},
                    io_context, this->watchdog, this->log,
                    this->directory.Limits()),
      quarantines(QuarantineOptions(gateway_settings)),
      quarantine_client({.holder = HolderName(gateway_settings),
                         .store = &this->store,
                         .store_timeout = StoreTimeout(gateway_settings)},
                        io_context, this->watchdog, this->log,
                        this->quarantines),
      versions(serving::StreamVersionsOptions()),
      version_client({.store = &this->store,
                      .store_timeout = StoreTimeout(gateway_settings)},
                     io_context, this->watchdog, this->log, this->versions),
      crash_watch(CrashWatchOptions(), io_context, this->pool, this->log,
                  [this](const serving::UpstreamCrash& crash) {
                    this->OnUpstreamCrash(crash);
                  }),
      stop_schedule({.grace = FromSeconds(gateway_settings.stop().grace_s())}) {
  this->store.era.Subscribe(
      [this](auto before, auto now) { this->OnStoreRestored(before, now); });
}

void GatewayCore::Start() {
  asio::co_spawn(this->context, this->config_follower.Run(), asio::detached);
  asio::co_spawn(this->context, this->upstream_follower.Run(), asio::detached);
  this->budgets.Start();
  this->shared_limits.Start();
  this->quarantine_client.Start();
  this->version_client.Start();
}

void GatewayCore::OnTick(TimePoint now) {
  this->CheckPause();
  this->watchdog.Check(now);
  this->UpdateLoad(now);
  this->shared_limits.CheckLease();
  for (RequestTask* task : this->tasks) task->CheckStall(now);
  if (now - this->last_pool_sweep >= kPoolSweepInterval) {
    this->last_pool_sweep = now;
    this->pool.OnTick(now);
    this->directory.OnTick(now);
    this->UpdateFleet();
    this->LogColdUpstreams(now);
    if (this->budgets.FleetSize() > 0) {
      this->retries.SetFleetSize(this->budgets.FleetSize());
      this->shared_limits.SetFleetSize(this->budgets.FleetSize());
      this->quarantine_client.SetFleetSize(this->budgets.FleetSize());
    }
  }
  this->quarantine_client.LogChanges();
  this->limit_log.OnTick(now);
  this->log.Flush();
}

void GatewayCore::UpdateLoad(TimePoint now) {
  if (this->loop_delay.OnTick(now)) {
    this->log.Write(
        "processor-load",
        {{"busy", this->loop_delay.IsBusy()},
         {"mean_delay_ms", ToMilliseconds(this->loop_delay.Mean())}});
  }
  if (!this->link.OnTick(now)) return;
  this->log.Write("link-load",
                  {{"busy", this->link.IsBusy()},
                   {"use", this->link.Utilization()},
                   {"queue_ms", ToMilliseconds(this->link.QueueTime())}});
}

void GatewayCore::BeginStop() {
  this->stop_schedule.Begin(Now());
  this->log.Write("stop-begin",
                  {{"callers", static_cast<int64_t>(this->callers.size())}});
  this->directory.Limits().Close(Now());
  this->shared_limits.Notify();
}

void GatewayCore::EndOpenRequests() {
  this->log.Write("stop-end-requests",
                  {{"callers", static_cast<int64_t>(this->callers.size())},
                   {"requests", static_cast<int64_t>(this->tasks.size())}});
  // Ending a request may end others that are in the sets, but never at once:
  // their coroutines run later.
  for (RequestTask* task : this->tasks) task->EndForStop();
  for (CallerConnection* caller : this->callers) caller->EndReading();
}

bool GatewayCore::IsReady() const {
  return !this->IsStopping() && !this->IsBusy() &&
         this->config.Get() != nullptr &&
         this->upstream_follower.LastRead().us != 0 &&
         this->shared_limits.LastRead().us != 0 &&
         this->quarantine_client.LastRead().us != 0 &&
         this->version_client.LastRead().us != 0;
}

bool GatewayCore::IsConfigStale(TimePoint now) const {
  if (this->store_restored_at &&
      now - *this->store_restored_at < kRewriteTime) {
    return true;
  }
  return now - this->config_follower.ProvenUntil() > kMaxConfigAge;
}

void GatewayCore::LogConfigRefusal(const std::string& request, uint64_t version,
                                   std::string_view wanted) {
  const TimePoint now = Now();
  const StreamFollower& reader = this->config_follower;
  this->log.Write(
      "config-refusal",
      {{"id", request},
       {"wanted", wanted},
       {"config", static_cast<int64_t>(version)},
       {"offset", static_cast<int64_t>(this->config_offset)},
       {"next_offset", static_cast<int64_t>(reader.NextOffset())},
       {"is_current", reader.IsCurrent()},
       {"read_age_ms", ToMilliseconds(now - reader.LastRead())},
       {"proven_age_ms", ToMilliseconds(now - reader.ProvenUntil())},
       {"read_begun_age_ms", ToMilliseconds(now - reader.LastReadBegun())},
       {"era", static_cast<int64_t>(this->store.era.Current().value_or(0))}});
}

serving::CallerLimits GatewayCore::Limits() const {
  return this->config.Get() ? this->config.Get()->limits
                            : serving::CallerLimits();
}

void GatewayCore::LogUnknownNotice(const std::string& upstream,
                                   const std::string& name) {
  // Bounds the memory and the lines that an upstream can cause.
  constexpr size_t kMaxNames = 32;
  if (this->unknown_notices.size() >= kMaxNames) return;
  if (!this->unknown_notices.insert(name).second) return;
  this->log.Write("upstream-notice-unknown",
                  {{"upstream", upstream}, {"field", name}});
}

void GatewayCore::OnOperatorsRecord(const store::KeyedRecord& record) {
  // The stream has other keys, whose records may come in the same read.
  if (record.key == platform::ConfigKey()) this->pending_config = record;
  const auto zone = platform::EvacuatedZone(record.key);
  if (zone) this->OnEvacuationRecord(record, *zone);
}

void GatewayCore::OnEvacuationRecord(const store::KeyedRecord& record,
                                     const std::string& zone) {
  const TimePoint now = Now();
  const auto offset = static_cast<int64_t>(record.offset);
  // The newest records of all keys may include those that delete a key.
  if (!record.value || record.value->empty()) {
    if (!this->directory.LiftEvacuation(now, zone)) return;
    this->log.Write("zone-evacuation-lifted",
                    {{"zone", zone}, {"offset", offset}});
    return;
  }
  if (!platform::IsEvacuationValue(*record.value)) {
    ++this->unusable_evacuations;
    this->log.Write("zone-evacuation-unusable",
                    {{"zone", zone}, {"offset", offset}});
  }
  if (!this->directory.BeginEvacuation(now, zone)) return;
  this->log.Write("zone-evacuated", {{"zone", zone}, {"offset", offset}});
}

void GatewayCore::OnStoreRecovered() {
  this->directory.OnStoreReconnected(Now());
  // A pending read of the operators' stream may wait for an answer that was
  // lost. The evacuations are needed before requests are sent.
  const bool is_promised = this->settings.bounds().evacuate_ms() > 0;
  if (is_promised && this->IsConfigStale(Now())) {
    this->config_follower.ReadAgain();
  }
}

void GatewayCore::OnStoreRestored(std::optional<uint64_t> before,
                                  std::optional<uint64_t> now) {
  const auto logged = [](std::optional<uint64_t> era) {
    return era ? static_cast<int64_t>(*era) : -1;
  };
  this->log.Write(
      "store-restored",
      {{"era_before", logged(before)},
       {"era", logged(now)},
       {"config_offset",
        static_cast<int64_t>(this->config_follower.NextOffset())},
       {"upstreams_offset",
        static_cast<int64_t>(this->upstream_follower.NextOffset())}});
  const TimePoint at = Now();
  this->store_restored_at = at;
  this->directory.OnStoreRestored(at);
}

void GatewayCore::CheckPause() {
  // Asked before each send, and it reads several clocks.
  const pb::GatewayBoundSettings& bounds = this->settings.bounds();
  const bool may_be_cold = bounds.cold_overage() > 0 || bounds.cold_slack() > 0;
  if (bounds.evacuate_ms() == 0 && !may_be_cold) return;

  const TimePoint now = Now();
  if (!this->directory.Cold().OnClock(now, BootNow())) return;
  this->log.Write("process-paused", {});
  if (bounds.evacuate_ms() == 0) return;
  this->paused_until = now;
  this->config_follower.ReadAgain();
}

bool GatewayCore::AreEvacuationsUnknown(TimePoint now) const {
  if (now - this->paused_until >= kMaxEvacuationRead) return false;
  return this->config_follower.LastReadBegun() < this->paused_until ||
         !this->config_follower.HasReadNewest();
}

void GatewayCore::UpdateFleet() {
  const FleetHeartbeats& heartbeats = this->budgets.Heartbeats();
  if (heartbeats.Reads() == this->fleet_reads) return;
  this->fleet_reads = heartbeats.Reads();
  this->directory.Cold().SetFleet(
      {.vms = heartbeats.Vms(),
       .reads = heartbeats.Reads(),
       .was_listed = heartbeats.HadPredecessor(),
       .first_heartbeat_at = heartbeats.FirstWrittenAt()});
}

void GatewayCore::LogColdUpstreams(TimePoint now) {
  std::set<std::string> cold = this->directory.ColdIds(now);
  for (const std::string& id : cold) {
    if (this->logged_cold.contains(id)) continue;
    this->log.Write("upstream-cold", {{"upstream", id}});
  }
  for (const std::string& id : this->logged_cold) {
    if (cold.contains(id)) continue;
    this->log.Write("upstream-warm", {{"upstream", id}});
  }
  this->logged_cold = std::move(cold);
}

void GatewayCore::OnUpstreamLost(const serving::UpstreamEntry& entry) {
  this->directory.OnLost(
      Now(), {.id = entry.id, .started_unix_ms = entry.started_unix_ms});
}

void GatewayCore::ApplyPendingConfig() {
  // If one read returned several versions, only the last one is decoded.
  if (!this->pending_config) return;
  // The first configuration begins to send requests: the evacuations, which may
  // be on a later page, must be known by then.
  if (!this->config.Get() && !this->config_follower.HasReadNewest()) return;
  const store::KeyedRecord record = std::move(*this->pending_config);
  this->pending_config.reset();
  if (!record.value) return;
  std::string reason;
  const serving::ServingConfigPtr offered =
      platform::DecodeConfig(*record.value, reason);
  if (!offered) {
    this->log.Write(
        "config-unusable",
        {{"offset", static_cast<int64_t>(record.offset)}, {"reason", reason}});
    return;
  }
  const bool taken = this->config.UpdateIfNewer(offered);
  this->log.Write("config",
                  {{"version", static_cast<int64_t>(offered->version)},
                   {"offset", static_cast<int64_t>(record.offset)},
                   {"in_force", taken}});
  if (!taken) return;
  this->config_offset = record.offset;
  this->budgets.OnConfig(*offered);
  this->directory.Cold().OnConfig(*offered);
  this->answer_times.KeepRoutesOf(*offered);
  this->versions.SetServices(ResumableServices(*offered),
                             StreamLifetime(*offered));
  this->version_client.OnEntriesRead();
}

void GatewayCore::OnUpstreamsRead() {
  this->directory.Cold().OnEntriesRead();
  this->versions.OnEntries(Now(), this->directory.VersionsByService());
  this->version_client.OnEntriesRead();
}

void GatewayCore::OnUpstreamRecord(const store::KeyedRecord& record) {
  const TimePoint now = Now();
  if (!record.value) {
    this->log.Write("upstream-entry-deleted", {{"upstream", record.key}});
    this->directory.Remove(now, record.key);
    return;
  }
  std::string reason;
  const auto entry =
      platform::DecodeUpstreamEntry(record.key, *record.value, reason);
  if (!entry) {
    this->log.Write("upstream-entry-unusable",
                    {{"upstream", record.key}, {"reason", reason}});
    this->directory.OnUnusableEntry(now, record.key);
    return;
  }
  const bool changed = this->directory.Put(now, *entry);
  if (changed) {
    this->log.Write("upstream-entry",
                    {{"upstream", entry->id},
                     {"service", entry->service},
                     {"draining", entry->draining},
                     {"offset", static_cast<int64_t>(record.offset)}});
  }
}

void GatewayCore::OnUpstreamCrash(const serving::UpstreamCrash& crash) {
  this->directory.OnLost(Now(), crash.upstream);
  this->quarantines.OnCrash(Now(), crash);
  this->quarantine_client.LogChanges();
  this->quarantine_client.Notify();
}

std::string GatewayCore::MetricsText() const {
  std::string text = this->metrics.Text();
  const auto add = [&text](std::string_view name, double value) {
    text += GatewayMetrics::Line(name, value);
  };
  add("config_version", this->config.Get()
                            ? static_cast<double>(this->config.Get()->version)
                            : 0);
  add("store_era", static_cast<double>(this->store.era.Current().value_or(0)));
  add("store_restores_total",
      static_cast<double>(this->store.era.Generation()));
  for (const auto verdict :
       {store::EraVerdict::kOutdated, store::EraVerdict::kDoubtful}) {
    std::string name = "store_answers_dropped_total{era=\"";
    name += store::EraVerdictName(verdict);
    name += "\"}";
    add(name, static_cast<double>(this->store.era.Count(verdict)));
  }
  add("callers", static_cast<double>(this->callers.size()));
  add("upstreams", static_cast<double>(this->directory.Size()));
  add("evacuated_zones",
      static_cast<double>(this->directory.Evacuations().Size()));
  add("unusable_evacuations_total",
      static_cast<double>(this->unusable_evacuations));
  add("cold_upstreams",
      static_cast<double>(this->directory.ColdIds(Now()).size()));
  add("upstream_connections_total", static_cast<double>(this->pool.Opened()));
  add("store_calls_total",
      static_cast<double>(
          this->config_follower.Calls() + this->upstream_follower.Calls() +
          this->shared_limits.Calls() + this->quarantine_client.Calls() +
          this->version_client.Calls() + this->budgets.Calls()));
  add("limited_upstreams",
      static_cast<double>(this->directory.Limits().Limited()));
  add("own_limit_shares", this->directory.Limits().OwnRate());
  add("upstream_crashes_total",
      static_cast<double>(this->crash_watch.Crashes()));
  add("suspected_parts", static_cast<double>(this->quarantines.Suspected()));
  add("quarantined_parts",
      static_cast<double>(this->quarantines.Quarantined()));
  add("recorded_streams", static_cast<double>(this->versions.Recorded()));
  add("unrecorded_streams", static_cast<double>(this->versions.Unrecorded()));
  add("link_use", this->link.Utilization());
  add("loop_delay_ms", ToMilliseconds(this->loop_delay.Mean()));
  add("client_bytes", static_cast<double>(this->client_bytes.Held()));
  this->limit_log.AddMetrics(text);
  add("log_lines_dropped_total", static_cast<double>(this->log.Dropped()));
  const auto add_calls = [&add](std::string_view purpose, uint64_t calls) {
    std::string name = "store_calls_by_purpose_total{purpose=\"";
    name += purpose;
    name += "\"}";
    add(name, static_cast<double>(calls));
  };
  add_calls("config", this->config_follower.Calls());
  add_calls("upstreams", this->upstream_follower.Calls());
  add_calls("limits", this->shared_limits.Calls());
  add_calls("quarantine", this->quarantine_client.Calls());
  add_calls("versions", this->version_client.Calls());
  text += this->budgets.MetricsText();
  return text;
}

}  // namespace fuchsiadrum::gateway
