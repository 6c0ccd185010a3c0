#pragma once

#include <optional>
#include <vector>

#include "fuchsiadrum/core/fold_part.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/types.h"
#include "schema/peer.pb.h"
#include "schema/record.pb.h"

namespace fuchsiadrum {

/// An active part of one daemon: a state machine without threads, I/O or
/// clocks. The caller serialises all calls.
class Agent {
 public:
  Agent() = default;
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;
  virtual ~Agent() = default;

  /// A record was folded with this verdict. Records that were folded before a
  /// snapshot was loaded are not repeated; see OnStateLoaded.
  virtual void OnRecord(TimePoint /*now*/, LogPosition /*at*/,
                        const pb::Record& /*record*/, Verdict /*verdict*/,
                        Outbox& /*out*/) {}
  /// The fold parts were replaced by a snapshot.
  virtual void OnStateLoaded(TimePoint /*now*/, Outbox& /*out*/) {}
  /// A message arrived from another daemon.
  virtual void OnMessage(TimePoint /*now*/, const VmRef& /*from*/,
                         const pb::PeerMessage& /*message*/, Outbox& /*out*/) {}
  /// Called at least every 100 ms.
  virtual void OnTick(TimePoint /*now*/, Outbox& /*out*/) {}
  /// Starts a planned stop: hand over or give back what this part holds.
  virtual void BeginDrain(TimePoint /*now*/, Outbox& /*out*/) {}
  /// True when a planned stop leaves nothing behind in this part.
  virtual bool IsDrained() const { return true; }
};

/// What an agent may know about the other daemons. It steers choices only; no
/// safety argument rests on it.
class PeerView {
 public:
  virtual ~PeerView() = default;

  /// This daemon.
  virtual const VmInfo& Self() const = 0;
  /// Daemons believed alive, without this one, ordered by VM name.
  virtual const std::vector<VmInfo>& AlivePeers() const = 0;
  /// How long a daemon has been silent; nullopt: never heard of. A newer
  /// incarnation of the same VM makes the older one silent for ever
  /// (Duration::max()).
  virtual std::optional<Duration> SilentFor(TimePoint now,
                                            const VmRef& peer) const = 0;
  /// False while the platform's log cannot be reached, even through peers.
  virtual bool IsLogReachable() const = 0;
};

}  // namespace fuchsiadrum
