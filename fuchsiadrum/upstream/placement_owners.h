#pragma once

#include <map>
#include <string>

#include "fuchsiadrum/core/fold_part.h"

namespace fuchsiadrum::upstream {

/// Which daemon orders the placement of each upstream: a fold over the
/// appointments on the log, so that all daemons agree on one owner.
class PlacementOwners final : public FoldPart {
 public:
  /// An appointment in force.
  struct Appointment {
    VmRef owner;
    /// Position of its record; the offset is the fencing number.
    LogPosition term;
  };

  /// Accepts an appointment that names the one in force as the previous one.
  Verdict Apply(LogPosition at, const VmRef& writer,
                const pb::Record& record) override;
  void Save(pb::Snapshot& snapshot) const override;
  bool Load(const pb::Snapshot& snapshot) override;
  uint64_t Digest() const override;

  /// The appointment in force; nullptr: the upstream has no owner.
  const Appointment* Find(const std::string& upstream) const;

 private:
  std::map<std::string, Appointment> appointments;
};

}  // namespace fuchsiadrum::upstream
