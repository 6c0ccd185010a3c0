#pragma once

#include <optional>
#include <set>
#include <string>

#include "fuchsiadrum/core/byte_budget.h"
#include "fuchsiadrum/serving/link_load.h"
#include "fuchsiadrum/serving/loop_delay.h"
#include "fuchsiadrum/serving/placement.h"
#include "fuchsiadrum/serving/retry_allowance.h"
#include "fuchsiadrum/serving/serving_config.h"
#include "fuchsiadrum/serving/upstream_directory.h"
#include "gateway/budget_client.h"
#include "gateway/event_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/stream_follower.h"
#include "gateway/upstream_pool.h"
#include "schema/gateway.pb.h"

namespace fuchsiadrum::gateway {

class CallerConnection;
class RequestTask;

/// What all requests of a gateway share: beliefs, decisions and connections.
/// Everything runs in one thread.
class GatewayCore {
 public:
  GatewayCore(const pb::GatewaySettings& gateway_settings,
              asio::io_context& io_context);

  /// Begins to follow the store.
  void Start();
  /// Call every few milliseconds.
  void OnTick(TimePoint now);
  /// From now on callers are told to go elsewhere.
  void BeginStop();

  bool IsStopping() const { return this->stopping; }
  /// True while new callers can be served as well as elsewhere.
  bool IsReady() const;
  /// Link or processor are so busy that callers are better served elsewhere.
  bool IsBusy() const { return this->link.IsBusy() || this->delay.IsBusy(); }
  /// The configuration may have changed unseen: a key or route that it does not
  /// name may be new.
  bool IsConfigStale(TimePoint now) const;
  serving::CallerLimits Limits() const;

  const serving::ServingConfigPtr& Config() const { return this->config.Get(); }
  serving::UpstreamDirectory& Upstreams() { return this->directory; }
  serving::Placement& Placer() { return this->placement; }
  serving::RetryAllowance& Retries() { return this->retries; }
  BudgetClient& Budgets() { return this->budgets; }
  serving::LinkLoad& Link() { return this->link; }
  const serving::LoopDelay& Delay() const { return this->delay; }
  /// Memory of the bodies of all requests and answers.
  ByteBudget& BodyBytes() { return this->body_bytes; }
  UpstreamPool& Pool() { return this->pool; }
  EventLog& Log() { return this->log; }
  GatewayMetrics& Metrics() { return this->metrics; }
  Rng& Random() { return this->rng; }
  std::set<CallerConnection*>& Callers() { return this->callers; }
  std::set<RequestTask*>& Tasks() { return this->tasks; }
  Watchdog& Timeouts() { return this->watchdog; }
  /// The metrics page.
  std::string MetricsText() const;

 private:
  void JudgeLoad(TimePoint now);
  void TakeOfferedConfig();
  void OnUpstreamRecord(const store::KeyedRecord& record);

  pb::GatewaySettings settings;
  asio::io_context& context;
  Watchdog watchdog;
  EventLog log;
  Rng rng;
  GatewayMetrics metrics;
  serving::ConfigInForce config;
  /// The newest record of the configuration that was not yet decoded.
  std::optional<store::KeyedRecord> offered_config;
  serving::UpstreamDirectory directory;
  serving::Placement placement;
  serving::RetryAllowance retries;
  serving::LinkLoad link;
  serving::LoopDelay delay;
  ByteBudget body_bytes;
  UpstreamPool pool;
  StreamFollower config_follower;
  StreamFollower upstream_follower;
  BudgetClient budgets;
  std::set<CallerConnection*> callers;
  /// Requests that are being served.
  std::set<RequestTask*> tasks;
  TimePoint pool_swept;
  bool stopping = false;
};

}  // namespace fuchsiadrum::gateway
