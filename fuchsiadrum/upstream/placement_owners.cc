#include "fuchsiadrum/upstream/placement_owners.h"

#include <utility>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::upstream {

Verdict PlacementOwners::Apply(LogPosition at, const VmRef& /*writer*/,
                               const pb::Record& record) {
  if (!record.has_placement_appoint()) return Verdict::kNotMine;
  const pb::PlacementAppoint& appoint = record.placement_appoint();
  if (appoint.upstream().empty() || appoint.owner().vm().empty()) {
    return Verdict::kRejected;
  }

  // Of concurrent appointments the first one on the log wins.
  Appointment& present = this->appointments[appoint.upstream()];
  const LogPosition previous = LogPosition::FromProto(appoint.previous());
  const bool fencing_grows =
      present.owner.vm.empty() || at.offset > present.term.offset;
  if (previous != present.term || !fencing_grows) return Verdict::kRejected;

  present = {.owner = VmRef::FromProto(appoint.owner()), .term = at};
  return Verdict::kAccepted;
}

void PlacementOwners::Save(pb::Snapshot& snapshot) const {
  pb::PlacementOwnersState& state = *snapshot.mutable_placements();
  state.clear_owners();
  for (const auto& [upstream, appointment] : this->appointments) {
    if (appointment.owner.vm.empty()) continue;
    pb::PlacementOwnerState& one = *state.add_owners();
    one.set_upstream(upstream);
    *one.mutable_owner() = appointment.owner.ToProto();
    *one.mutable_term() = appointment.term.ToProto();
  }
}

bool PlacementOwners::Load(const pb::Snapshot& snapshot) {
  std::map<std::string, Appointment> loaded;
  for (const pb::PlacementOwnerState& one : snapshot.placements().owners()) {
    const Appointment appointment = {
        .owner = VmRef::FromProto(one.owner()),
        .term = LogPosition::FromProto(one.term())};
    const bool valid = !one.upstream().empty() && !one.owner().vm().empty();
    if (!valid || !loaded.emplace(one.upstream(), appointment).second) {
      return false;
    }
  }
  this->appointments = std::move(loaded);
  return true;
}

uint64_t PlacementOwners::Digest() const {
  uint64_t digest = 0;
  for (const auto& [upstream, appointment] : this->appointments) {
    if (appointment.owner.vm.empty()) continue;
    digest = Hash64(upstream, digest);
    digest = Hash64(appointment.owner.ToString(), digest);
    digest = Hash64(appointment.term.ToString(), digest);
  }
  return digest;
}

const PlacementOwners::Appointment* PlacementOwners::Find(
    const std::string& upstream) const {
  const auto found = this->appointments.find(upstream);
  if (found == this->appointments.end() || found->second.owner.vm.empty()) {
    return nullptr;
  }
  return &found->second;
}

}  // namespace fuchsiadrum::upstream
