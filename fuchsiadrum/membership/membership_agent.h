#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/membership/upstream_hints.h"
#include "schema/peer.pb.h"

namespace fuchsiadrum::membership {

/// Options of the membership agent.
struct MembershipOptions {
  /// This daemon.
  VmInfo self;
  /// The other daemons that the settings name; an incarnation of 0 stands for
  /// any.
  std::vector<VmInfo> configured_peers;
  /// Time between heartbeats.
  Duration heartbeat = Duration(500'000);
  /// Silence after which a peer is no longer believed alive.
  Duration suspect_after = Duration(3'000'000);
  /// Longest time between two calls that counts as silence of the peers. A
  /// longer or negative one is a pause or a clock jump of this daemon.
  Duration max_step = Duration(1'000'000);
  /// Up to this many peers all are in the peer set.
  size_t max_full_set = 16;
  /// Size of the peer set above that, and how many of it are in the own zone.
  size_t bounded_set = 12;
  size_t bounded_own_zone = 8;
};

/// One VM of the platform's list.
struct ListedPeer {
  std::string name;
  bool leaving = false;
};

/// State of this daemon that heartbeats carry.
struct OwnStatus {
  /// Next offset to fold.
  uint64_t log_offset = 0;
  /// Digest of the state at digest_offset; offset 0: none.
  uint64_t digest = 0;
  uint64_t digest_offset = 0;
  bool log_reachable = false;
  /// Share of the daemon's capacity in use.
  double load = 0;
};

/// A peer as heartbeats and the VM list describe it.
struct PeerStatus {
  VmInfo info;
  /// Heard of at least once in this incarnation.
  bool heard = false;
  /// Silence, in the time that this daemon was awake.
  Duration silent = Duration::max();
  bool listed = false;
  bool leaving = false;
  pb::Heartbeat last;
};

/// Knows the other daemons by the VM list and by heartbeats. The list lags and
/// can be wrong, so that it only adds candidates and marks leaving ones; a
/// peer is believed alive because it is heard.
class MembershipAgent : public Agent, public PeerView {
 public:
  explicit MembershipAgent(MembershipOptions options);

  void OnMessage(TimePoint now, const VmRef& from,
                 const pb::PeerMessage& message, Outbox& out) override;
  void OnTick(TimePoint now, Outbox& out) override;
  void BeginDrain(TimePoint now, Outbox& out) override;

  const VmInfo& Self() const override { return this->options.self; }
  const std::vector<VmInfo>& AlivePeers() const override { return this->alive; }
  std::optional<Duration> SilentFor(TimePoint now,
                                    const VmRef& peer) const override;
  bool IsLogReachable() const override {
    return this->own.log_reachable || this->relay_reachable;
  }

  /// The platform's VM list was read.
  void OnVmList(TimePoint now, const std::vector<ListedPeer>& vms);
  /// Sets what the next heartbeats carry.
  void SetOwnStatus(const OwnStatus& status) { this->own = status; }
  /// True while the log can be reached through a peer.
  void SetRelayReachable(bool reachable) { this->relay_reachable = reachable; }

  /// This daemon saw that an upstream is leaving; tells the peer set at once.
  void NoteLeaving(TimePoint now, std::string_view upstream, Outbox& out);
  /// Upstreams that this daemon or a peer saw leaving lately, in order.
  std::vector<std::string> LeavingUpstreams() const {
    return this->hints.Leaving(this->awake);
  }

  /// Peers that this daemon sends heartbeats to, by VM name.
  std::vector<VmRef> PeerSet() const;
  /// All known peers, by VM name, for operators.
  std::vector<PeerStatus> Peers(TimePoint now) const;
  /// Latest heartbeat of a peer's present incarnation; nullptr: none.
  const pb::Heartbeat* LastHeartbeat(std::string_view vm) const;
  bool IsDraining() const { return this->draining; }

 private:
  struct Peer {
    VmInfo info;
    bool configured = false;
    bool listed = false;
    bool leaving = false;
    bool heard = false;
    /// In the time that this daemon was awake.
    Duration last_heard{};
    pb::Heartbeat last;
  };
  void Advance(TimePoint now);
  Duration StepTo(TimePoint now) const;
  void OnHeartbeat(const VmRef& from, const pb::Heartbeat& heartbeat,
                   Outbox& out);
  Peer* Note(const VmRef& from);
  void SendAll(Outbox& out);
  void FillHeartbeat(pb::Heartbeat& heartbeat) const;
  void UpdateAlive();
  bool IsAlive(const Peer& peer) const;

  MembershipOptions options;
  OwnStatus own;
  bool relay_reachable = false;
  bool draining = false;
  std::map<std::string, Peer, std::less<>> peers;
  std::vector<VmInfo> alive;
  UpstreamHints hints;

  /// Time of the last call; nullopt: none yet.
  std::optional<TimePoint> last_call;
  /// Time that this daemon was awake; never jumps.
  Duration awake{};
  std::optional<Duration> last_sent;
};

}  // namespace fuchsiadrum::membership
