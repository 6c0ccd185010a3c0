#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// Options of HolderLeases.
struct HolderLeaseOptions {
  Duration renewal_interval = std::chrono::seconds(5);
  /// Interval at which a renewal that failed is tried again.
  Duration retry_interval = std::chrono::seconds(1);
  /// A lease ends this long after the start of the last renewal that was read
  /// back. It covers an outage of the store of ten seconds.
  Duration term = std::chrono::seconds(16);
  /// Others take over from a holder that has not renewed for this long. It must
  /// exceed `term` by the error of the clocks' rates.
  Duration takeover_delay = std::chrono::seconds(20);
};

/// Leases of the gateways that hold shares of upstreams' limits. All of them
/// read one stream of renewals. A holder counts from before it wrote a renewal,
/// and the others from after they read it, so a lease has ended before its
/// shares are taken over, without a common clock. All times are of a clock that
/// runs while the VM is suspended.
class HolderLeases {
 public:
  HolderLeases(const HolderLeaseOptions& opts, std::string own_holder)
      : options(opts), own(std::move(own_holder)) {}

  /// Number of the renewal that this gateway starts to write now.
  uint64_t BeginRenewal(TimePoint now);
  /// The store did not confirm the renewal that was written last.
  void OnRenewalFailed(TimePoint now);
  /// A renewal was read from the stream. An own one extends the own lease: only
  /// then has everything that was written before it been read, too.
  void OnRenewal(TimePoint now, const std::string& holder, uint64_t renewal);
  /// A record that names the holder of a share was read.
  void OnHolder(TimePoint now, const std::string& holder);
  /// The holder's record was deleted from the stream.
  void OnRemoved(TimePoint now, const std::string& holder);

  bool IsOwnValid(TimePoint now) const;
  bool IsRenewalDue(TimePoint now) const;
  /// True if the own record is in the stream.
  bool IsOwnRecorded() const;
  /// True if the holder's lease has ended, so that its shares may be taken
  /// over. An earlier process of the own VM has ended at once.
  bool HasEnded(TimePoint now, const std::string& holder) const;

 private:
  enum class SightingKind {
    kNamed,    // a share names the holder, and no renewal was read
    kRenewed,  // a renewal was read
    kRemoved,  // the deletion of the holder's record was read
  };
  struct Sighting {
    SightingKind kind = SightingKind::kNamed;
    TimePoint at;
  };

  HolderLeaseOptions options;
  std::string own;
  /// Start of the own renewals that were not read back yet, by number.
  std::map<uint64_t, TimePoint> pending;
  uint64_t last_renewal = 0;
  /// When the next renewal is due; us is 0 before the first one.
  TimePoint due_at;
  /// Start of the last own renewal that was read back; us is 0 if there is
  /// none.
  TimePoint own_since;
  /// What was last read of each holder.
  std::map<std::string, Sighting> holders;
};

}  // namespace fuchsiadrum::serving
