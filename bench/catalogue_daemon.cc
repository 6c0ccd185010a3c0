#include "bench/catalogue_daemon.h"

namespace fuchsiadrum::bench {
namespace {

log::LogAgentOptions LogOptions(const CatalogueDaemonOptions& options) {
  log::LogAgentOptions out;
  out.appender.self = options.self.ref;
  out.appender.fleet_key = kBenchFleetKey;
  out.appender.mutation = options.mutation;
  out.server.fleet_key = kBenchFleetKey;
  out.schedule.retention = options.retention;
  out.schedule.rank_delay = Duration(500'000);
  out.snapshot_chunk_bytes = options.chunk_bytes;
  for (const VmInfo& peer : options.peers) {
    out.members.push_back(peer.ref.vm);
  }
  return out;
}

}  // namespace

CatalogueDaemon::CatalogueDaemon(const CatalogueDaemonOptions& options)
    : catalogue({.mutation = options.mutation}),
      membership({.self = options.self, .configured_peers = options.peers}),
      replica({.fleet_key = kBenchFleetKey,
               .self = options.self.ref,
               .digest_interval = 16,
               .mutation = options.mutation},
              {&this->catalogue}, {&this->membership}),
      log(LogOptions(options), this->replica, this->membership) {}

void CatalogueDaemon::OnMessage(TimePoint now, const VmRef& from,
                                const pb::PeerMessage& message, Outbox& out) {
  this->membership.OnMessage(now, from, message, out);
  this->log.OnMessage(now, from, message, out);
}

void CatalogueDaemon::OnTick(TimePoint now, Outbox& out) {
  membership::OwnStatus status;
  status.log_offset = this->replica.FoldedOffset();
  status.log_reachable = this->log.IsDirect(now);
  if (const auto digest = this->replica.LatestDigest()) {
    status.digest_offset = digest->first;
    status.digest = digest->second;
  }
  this->membership.SetOwnStatus(status);
  this->membership.SetRelayReachable(this->log.IsRelayReachable(now));

  this->membership.OnTick(now, out);
  this->log.OnTick(now, out);
}

}  // namespace fuchsiadrum::bench
