#pragma once

#include <optional>
#include <set>
#include <string>

#include "fuchsiadrum/core/byte_budget.h"
#include "fuchsiadrum/serving/answer_times.h"
#include "fuchsiadrum/serving/client_limits.h"
#include "fuchsiadrum/serving/link_load.h"
#include "fuchsiadrum/serving/loop_delay.h"
#include "fuchsiadrum/serving/placement.h"
#include "fuchsiadrum/serving/prompt_quarantine.h"
#include "fuchsiadrum/serving/retry_allowance.h"
#include "fuchsiadrum/serving/serving_config.h"
#include "fuchsiadrum/serving/stop_schedule.h"
#include "fuchsiadrum/serving/upstream_directory.h"
#include "gateway/budget_client.h"
#include "gateway/client_limit_log.h"
#include "gateway/crash_watch.h"
#include "gateway/event_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/limit_client.h"
#include "gateway/quarantine_client.h"
#include "gateway/stream_follower.h"
#include "gateway/upstream_pool.h"
#include "gateway/version_client.h"
#include "schema/gateway.pb.h"

namespace fuchsiadrum::gateway {

class CallerConnection;
class RequestTask;

/// The state that all requests of a gateway share: configuration, upstreams and
/// connections to them, budgets, load of the VM, log and metrics. Not
/// thread-safe; all calls come from the gateway's thread.
class GatewayCore {
 public:
  GatewayCore(const pb::GatewaySettings& gateway_settings,
              asio::io_context& io_context);

  /// Starts to read the configuration, the upstreams' entries and the budgets
  /// from the store.
  void Start();
  /// Checks timeouts, load and stalled requests; call it every few
  /// milliseconds.
  void OnTick(TimePoint now);
  /// From now on the readiness check fails and callers' connections are closed
  /// after their next answer, so that the balancer sends callers to other VMs.
  void BeginStop();

  bool IsStopping() const { return this->stop_schedule.HasBegun(); }
  const serving::StopSchedule& Schedule() const { return this->stop_schedule; }
  /// Gives each open request its last answer before the process ends: 503 if it
  /// was not sent to an upstream, else 502. A stream that has begun is cut.
  void EndOpenRequests();
  /// The answer of the readiness check: true unless the gateway is stopping or
  /// busy, or has not yet read the configuration, the upstreams' entries,
  /// their limits and the quarantines.
  bool IsReady() const;
  /// True if the network link or the processor is so loaded that other VMs
  /// serve new callers better.
  bool IsBusy() const {
    return this->link.IsBusy() || this->loop_delay.IsBusy();
  }
  /// True if the configuration is proven only for a moment so long ago that it
  /// may have changed since. A key or route that it does not name may then be
  /// new.
  bool IsConfigStale(TimePoint now) const;
  /// Logs on which read of the configuration a refusal for want of `wanted`, a
  /// route or key, rests.
  void LogConfigRefusal(const std::string& request, uint64_t version,
                        std::string_view wanted);
  /// Finds out whether the process has been paused, for example with its VM.
  /// Call it before a request is sent.
  void CheckPause();
  /// True if zones may have been evacuated while the process was paused, and
  /// the operators' stream is being read again.
  bool AreEvacuationsUnknown(TimePoint now) const;
  /// The upstream could not be reached, or broke its connection off.
  void OnUpstreamLost(const serving::UpstreamEntry& entry);
  serving::CallerLimits Limits() const;

  const serving::ServingConfigPtr& Config() const { return this->config.Get(); }
  serving::UpstreamDirectory& Upstreams() { return this->directory; }
  serving::Placement& Placer() { return this->placement; }
  serving::RetryAllowance& Retries() { return this->retries; }
  /// Logs an announcement of an upstream that is not known, once for each name.
  void LogUnknownNotice(const std::string& upstream, const std::string& name);
  /// Software versions that began streams, and the records of them.
  serving::StreamVersions& Versions() { return this->versions; }
  VersionClient& VersionRecords() { return this->version_client; }
  LimitClient& SharedLimits() { return this->shared_limits; }
  serving::PromptQuarantine& Quarantines() { return this->quarantines; }
  CrashWatch& Crashes() { return this->crash_watch; }
  BudgetClient& Budgets() { return this->budgets; }
  serving::LinkLoad& Link() { return this->link; }
  const serving::LoopDelay& EventLoopDelay() const { return this->loop_delay; }
  /// Limits what clients make the process hold: connections, requests, and
  /// answers that are read whole.
  ByteBudget& BodyBytes() { return this->client_bytes; }
  const serving::ClientLimits& LimitsOfClients() const {
    return this->client_limits;
  }
  ClientLimitLog& LimitLog() { return this->limit_log; }
  /// Connections of callers.
  daemon::ClientGate& CallerGate() { return this->caller_gate; }
  UpstreamPool& Pool() { return this->pool; }
  serving::AnswerTimes& Times() { return this->answer_times; }
  EventLog& Log() { return this->log; }
  GatewayMetrics& Metrics() { return this->metrics; }
  Rng& Random() { return this->rng; }
  std::set<CallerConnection*>& Callers() { return this->callers; }
  std::set<RequestTask*>& Tasks() { return this->tasks; }
  Watchdog& Timeouts() { return this->watchdog; }
  /// The metrics page in Prometheus text format.
  std::string MetricsText() const;

 private:
  void UpdateLoad(TimePoint now);
  /// A record of the operators' stream was read.
  void OnOperatorsRecord(const store::KeyedRecord& record);
  void OnEvacuationRecord(const store::KeyedRecord& record,
                          const std::string& zone);
  void ApplyPendingConfig();
  void OnStoreRecovered();
  /// The store was restored from an older copy.
  void OnStoreRestored(std::optional<uint64_t> before,
                       std::optional<uint64_t> now);
  /// Takes over what is known of the fleet's VMs, if that has changed.
  void UpdateFleet();
  void LogColdUpstreams(TimePoint now);
  void OnUpstreamRecord(const store::KeyedRecord& record);
  /// All entries of the upstreams were read.
  void OnUpstreamsRead();
  void OnUpstreamCrash(const serving::UpstreamCrash& crash);

  pb::GatewaySettings settings;
  asio::io_context& context;
  Watchdog watchdog;
  EventLog log;
  StoreEndpoint store;
  Rng rng;
  GatewayMetrics metrics;
  serving::CurrentConfig config;
  /// The newest record of the configuration, until it is decoded.
  std::optional<store::KeyedRecord> pending_config;
  /// Offset of the record of the configuration in force.
  uint64_t config_offset = 0;
  serving::UpstreamDirectory directory;
  serving::Placement placement;
  serving::RetryAllowance retries;
  serving::LinkLoad link;
  serving::LoopDelay loop_delay;
  serving::ClientLimits client_limits;
  ByteBudget client_bytes;
  ClientLimitLog limit_log;
  daemon::ClientGate caller_gate;
  UpstreamPool pool;
  StreamFollower config_follower;
  StreamFollower upstream_follower;
  BudgetClient budgets;
  LimitClient shared_limits;
  serving::PromptQuarantine quarantines;
  QuarantineClient quarantine_client;
  serving::StreamVersions versions;
  VersionClient version_client;
  CrashWatch crash_watch;
  std::set<CallerConnection*> callers;
  /// Requests that are being served.
  std::set<RequestTask*> tasks;
  /// Names of unknown announcements that were logged.
  std::set<std::string> unknown_notices;
  /// Records of the operators' stream that could not be read whole.
  uint64_t unusable_evacuations = 0;
  /// Upstreams that were logged as cold.
  std::set<std::string> logged_cold;
  /// Number of reads of the fleet that `directory` knows.
  uint64_t fleet_reads = 0;
  /// When the process went on after its last pause; us is 0: it had none.
  TimePoint paused_until;
  /// When the store was last seen to be restored from an older copy.
  std::optional<TimePoint> store_restored_at;
  TimePoint last_pool_sweep;
  serving::StopSchedule stop_schedule;
  serving::AnswerTimes answer_times;
};

}  // namespace fuchsiadrum::gateway
