#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "schema/peer.pb.h"

namespace fuchsiadrum::daemon {

/// Makes and checks the frames between daemons: MAC by the fleet key,
/// addressee, and a counter that grows with each frame of a sender, so that a
/// recorded frame cannot be sent again.
class FrameCodec {
 public:
  FrameCodec(VmRef own, std::string key)
      : self(std::move(own)), fleet_key(std::move(key)) {}

  /// Why a frame was dropped.
  enum class Drop { kNone, kMalformed, kBadMac, kNotForUs, kOldCounter };

  /// Serialised frame with the messages.
  std::string Encode(const VmRef& to,
                     const std::vector<pb::PeerMessage>& messages);
  /// The frame, if it is to be used; otherwise see LastDrop.
  std::optional<pb::PeerFrame> Decode(const std::string& bytes);
  Drop LastDrop() const { return this->drop; }
  /// Label of the metric for a dropped frame.
  static std::string DropName(Drop drop);

 private:
  struct Last {
    uint64_t incarnation = 0;
    uint64_t counter = 0;
  };

  std::optional<pb::PeerFrame> Refuse(Drop cause);

  VmRef self;
  std::string fleet_key;
  uint64_t counter = 0;
  std::map<std::string, Last> last_by_vm;
  Drop drop = Drop::kNone;
};

}  // namespace fuchsiadrum::daemon
