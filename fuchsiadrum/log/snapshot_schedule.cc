#include "fuchsiadrum/log/snapshot_schedule.h"

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::log {

bool SnapshotSchedule::IsDue(TimePoint now, const Replica& replica,
                             const PeerView& peers) {
  // A new snapshot of anyone starts the time again, a clock jump as well.
  if (!this->changed_at || now < *this->changed_at ||
      replica.SnapshotBase() != this->seen_base) {
    this->changed_at = now;
    this->seen_base = replica.SnapshotBase();
    this->missing_since.reset();
    this->written_at.reset();
  }

  const bool usable =
      replica.FirstRetained() == 0 ||
      (this->seen_base && *this->seen_base >= replica.FirstRetained());
  if (usable) {
    this->missing_since.reset();
  } else if (!this->missing_since) {
    this->missing_since = now;
  }

  const Duration rank = this->Rank(peers, this->seen_base.value_or(0));
  const bool periodic =
      now - *this->changed_at >= this->options.retention / 4 + rank;
  const bool urgent = this->missing_since && now - *this->missing_since >= rank;
  const bool is_on_its_way =
      this->written_at && now >= *this->written_at &&
      now - *this->written_at < this->options.rewrite_after;
  if ((!periodic && !urgent) || is_on_its_way) return false;

  this->changed_at = now;
  this->written_at = now;
  this->missing_since.reset();
  return true;
}

Duration SnapshotSchedule::Rank(const PeerView& peers, uint64_t salt) const {
  const uint64_t own = Hash64(peers.Self().ref.vm, salt);
  int64_t before = 0;
  for (const VmInfo& peer : peers.AlivePeers()) {
    if (Hash64(peer.ref.vm, salt) < own) ++before;
  }
  return this->options.rank_delay * before;
}

}  // namespace fuchsiadrum::log
