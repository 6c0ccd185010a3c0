#include "daemon/frame_codec.h"

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::daemon {

std::string FrameCodec::Encode(const VmRef& to,
                               const std::vector<pb::PeerMessage>& messages) {
  pb::PeerFrame frame;
  *frame.mutable_from() = this->self.ToProto();
  *frame.mutable_to() = to.ToProto();
  frame.set_counter(++this->counter);
  for (const pb::PeerMessage& message : messages) {
    *frame.add_messages() = message;
  }
  frame.set_mac(Hmac(this->fleet_key, frame.SerializeAsString()));
  return frame.SerializeAsString();
}

std::optional<pb::PeerFrame> FrameCodec::Decode(const std::string& bytes) {
  // The MAC is the last field, so the bytes before it are what the sender
  // hashed, also when the sender knows fields that this version does not.
  pb::PeerFrame frame;
  if (!frame.ParseFromString(bytes)) return this->Refuse(Drop::kMalformed);
  const std::string mac = frame.mac();
  pb::PeerFrame tail;
  tail.set_mac(mac);
  const std::string suffix = tail.SerializeAsString();
  if (mac.empty() || !bytes.ends_with(suffix)) {
    return this->Refuse(Drop::kBadMac);
  }
  const std::string signed_bytes =
      bytes.substr(0, bytes.size() - suffix.size());
  if (!MacEqual(mac, Hmac(this->fleet_key, signed_bytes))) {
    return this->Refuse(Drop::kBadMac);
  }

  const VmRef to = VmRef::FromProto(frame.to());
  if (to.vm != this->self.vm ||
      (to.incarnation != 0 && to.incarnation != this->self.incarnation)) {
    return this->Refuse(Drop::kNotForUs);
  }

  const VmRef from = VmRef::FromProto(frame.from());
  Last& last = this->last_by_vm[from.vm];
  if (from.incarnation < last.incarnation ||
      (from.incarnation == last.incarnation &&
       frame.counter() <= last.counter)) {
    return this->Refuse(Drop::kOldCounter);
  }
  last = {from.incarnation, frame.counter()};
  this->drop = Drop::kNone;
  return frame;
}

std::optional<pb::PeerFrame> FrameCodec::Refuse(Drop cause) {
  this->drop = cause;
  return std::nullopt;
}

std::string FrameCodec::DropName(Drop drop) {
  switch (drop) {
    case Drop::kNone:
      return "none";
    case Drop::kMalformed:
      return "malformed";
    case Drop::kBadMac:
      return "bad-mac";
    case Drop::kNotForUs:
      return "not-for-us";
    case Drop::kOldCounter:
      break;
  }
  return "old-counter";
}

}  // namespace fuchsiadrum::daemon
