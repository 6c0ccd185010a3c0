#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/cold_share.h"
#include "fuchsiadrum/serving/fleet_upstream.h"
#include "fuchsiadrum/serving/serving_config.h"

namespace fuchsiadrum::serving {

/// Options of ColdUpstreams.
struct ColdUpstreamsOptions {
  /// All VMs together may send a cold upstream, within any second, the rate
  /// that its service allows times `overage` and `slack` requests more. If both
  /// are 0, no upstream counts as cold.
  double overage = 0;
  double slack = 0;
  ColdShareOptions share;
  /// By how much the times that two requests of one VM take to the upstream may
  /// differ: a packet that is lost is sent again after 200 ms.
  Duration transit_spread = std::chrono::milliseconds(300);
  /// An entry may have been written this long before it is read: the entries
  /// are read every 350 ms.
  Duration entry_delay = std::chrono::milliseconds(500);
  /// After a longer pause of the process, what was known of the upstreams may
  /// be outdated. It is longer than the delays of a VM whose processor is busy.
  Duration max_pause = std::chrono::seconds(2);
  /// Time after which an upstream that has no entry any more is forgotten.
  Duration retention = std::chrono::minutes(10);
};

/// Knows which upstreams are cold, and bounds what this VM sends to them. It is
/// in effect for services whose configuration says how long their upstreams are
/// cold after a start.
///
/// An upstream of which it is not known whether it is cold counts as cold:
/// until an entry that was written later says that it is not, or until it has
/// had the time to warm up.
class ColdUpstreams {
 public:
  explicit ColdUpstreams(const ColdUpstreamsOptions& opts)
      : options(opts), share(opts.share) {}

  /// Takes over the services' times and rates.
  void OnConfig(const ServingConfig& config);
  void SetFleet(const FleetView& view) { this->share.SetFleet(view); }
  /// From now on, an upstream that was not known before has been started:
  /// the entries that existed when this process began have been read.
  void OnEntriesRead() { this->entries_were_read = true; }
  /// An entry was read. `is_replacement`: the upstream's process, address or
  /// service is another one than before.
  void OnEntry(TimePoint now, const UpstreamEntry& entry, bool is_replacement);
  /// An answer of the upstream says for how long it will be cold; zero: it is
  /// not.
  void OnAnswer(TimePoint now, const std::string& id, Duration cold_left);
  /// Something has happened after which the upstream may be cold: it could not
  /// be reached, broke a connection off, or its zone's evacuation was lifted.
  void OnDoubt(TimePoint now, const std::string& id);
  /// To be called at short intervals and before a request is sent. `boot_now`:
  /// a clock that also runs while the VM is suspended. Returns true if the
  /// process has paused for so long that all upstreams are in doubt.
  bool OnClock(TimePoint now, TimePoint boot_now);
  /// Forgets upstreams without an entry.
  void DropUnknown(TimePoint now,
                   const std::function<bool(const std::string&)>& is_known);

  bool IsCold(TimePoint now, const UpstreamEntry& entry) const;
  /// True if this VM may send the cold upstream one request more.
  bool HasPermit(TimePoint now, const UpstreamEntry& entry) const;
  /// Takes the permit for one request. Only one is out at a time.
  bool TakePermit(TimePoint now, const UpstreamEntry& entry);
  /// Puts back a permit whose request was not sent.
  void ReturnPermit(const std::string& id);
  /// True if a permit that was taken may still be used.
  bool IsPermitValid(TimePoint now, const UpstreamEntry& entry) const;
  /// A request is sent to the upstream, cold or not. Ends its permit.
  void OnSend(TimePoint now, const std::string& id, bool has_permit);
  /// The request that was sent at `sent_at` has reached another upstream.
  void OnMisdirected(const std::string& id, TimePoint sent_at);
  /// When the upstream may get a request of this VM: it has warmed up, or there
  /// is a permit.
  TimePoint NextChance(TimePoint now, const UpstreamEntry& entry) const;

 private:
  /// What the configuration says of a service.
  struct Terms {
    Duration cold_time = Duration::zero();
    /// Most requests within any second, of all VMs.
    double bound = 0;
  };
  struct State {
    /// Start time and number of the last entry.
    int64_t incarnation = 0;
    int64_t sequence = 0;
    /// Time that the newest statement names, and when that was read.
    Duration cold_left = Duration::zero();
    TimePoint stated_at;
    /// When an answer last said whether the upstream is cold; us is 0: never.
    TimePoint answered_at;
    /// Since when it is not known whether the upstream is cold; us is 0 if it
    /// is known.
    TimePoint doubt_since;
    bool permit_is_out = false;
    /// When the last two requests were sent; us is 0: none was.
    TimePoint sent_at;
    TimePoint sent_before_at;
    /// Since when the upstream has no entry; us is 0 while it has one.
    TimePoint unknown_since;
  };

  const Terms* TermsOf(const std::string& service) const;
  /// End of the time in which the upstream is cold or may be, if nothing new
  /// becomes known.
  static TimePoint ColdEnd(const State& state, const Terms& terms);
  /// Minimum time between two requests of this VM; zero: it may send none.
  Duration MinInterval(TimePoint now, const UpstreamEntry& entry) const;
  /// Takes over the statement of an entry that is newer than the last one.
  void OnStatement(TimePoint now, State& state, Duration cold_left) const;

  ColdUpstreamsOptions options;
  ColdShare share;
  bool entries_were_read = false;
  /// By name; only those whose upstreams may be cold.
  std::map<std::string, Terms> services;
  /// By id of the upstream.
  std::map<std::string, State> states;
  std::optional<TimePoint> last_clock;
};

}  // namespace fuchsiadrum::serving
