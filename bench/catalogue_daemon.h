#pragma once

#include <string>
#include <vector>

#include "fuchsiadrum/catalogue/catalogue.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/log/log_agent.h"
#include "fuchsiadrum/log/mutation.h"
#include "fuchsiadrum/log/replica.h"
#include "fuchsiadrum/membership/membership_agent.h"

namespace fuchsiadrum::bench {

/// Key of the fleet in the bench.
inline constexpr const char* kBenchFleetKey =
    "a fleet key that only the benches use";

/// Options of a daemon in the bench.
struct CatalogueDaemonOptions {
  VmInfo self;
  std::vector<VmInfo> peers;
  /// Retention time of the log.
  Duration retention = Duration(20'000'000);
  /// Chunks of snapshots.
  size_t chunk_bytes = log::SnapshotWriter::kMaxChunkBytes;
  log::Mutation mutation = log::Mutation::kNone;
};

/// The parts of one daemon incarnation that own the catalogue.
class CatalogueDaemon {
 public:
  explicit CatalogueDaemon(const CatalogueDaemonOptions& options);

  /// Passes a message to all parts.
  void OnMessage(TimePoint now, const VmRef& from,
                 const pb::PeerMessage& message, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);

  catalogue::Catalogue catalogue;
  membership::MembershipAgent membership;
  log::Replica replica;
  log::LogAgent log;
};

}  // namespace fuchsiadrum::bench
