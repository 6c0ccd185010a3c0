#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "schema/peer.pb.h"

namespace fuchsiadrum::membership {

/// Upstreams that are leaving, as gossip tells. A hint is passed on for a
/// short time after it was first heard and then forgotten; hearing it again
/// does not prolong it, so that two daemons cannot keep a hint alive between
/// them after the upstream came back.
class UpstreamHints {
 public:
  /// Time for which a hint of a peer is passed on.
  static constexpr Duration kForward = Duration(5'000'000);
  /// Time for which a hint is kept.
  static constexpr Duration kKeep = Duration(60'000'000);

  /// This daemon saw it itself. True if the hint is new.
  bool NoteOwn(Duration awake, std::string_view upstream);
  /// A peer told. True if the hint is new.
  bool NotePeer(Duration awake, const pb::UpstreamHint& hint);
  /// Forgets old hints.
  void Expire(Duration awake);

  /// Hints to put into a heartbeat.
  void Fill(Duration awake, pb::Heartbeat& heartbeat) const;
  /// Upstreams believed to be leaving, in order.
  std::vector<std::string> Leaving(Duration awake) const;

 private:
  struct Hint {
    Duration first{};
    /// Moment up to which the hint is passed on.
    Duration forward_until{};
    Duration keep_until{};
  };
  std::map<std::string, Hint, std::less<>> hints;
};

}  // namespace fuchsiadrum::membership
