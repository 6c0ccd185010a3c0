#pragma once

#include <map>
#include <optional>

#include "fuchsiadrum/budget/escrow_options.h"
#include "fuchsiadrum/budget/ledger.h"
#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/outbox.h"

namespace fuchsiadrum::budget {

/// The witness's side of ceilings: acknowledges raises, and seals the grants of
/// holders that it believes dead. After its seal it never acknowledges again.
class CeilingWitness {
 public:
  CeilingWitness(const Ledger& ledger, const PeerView& peers,
                 const EscrowAgentOptions& options)
      : ledger(ledger), peers(peers), options(options) {}

  /// The fold changed this grant.
  void OnGrantChanged(LogPosition id);
  /// The fold was replaced by a snapshot.
  void OnStateLoaded();
  void OnRaise(const VmRef& from, const pb::CeilingRaise& raise, Outbox& out);
  /// Seals and writes off what is due.
  void OnTick(TimePoint now, Outbox& out);
  void BeginDrain(TimePoint now);
  /// True once no holder relies on this witness, or the limit passed.
  bool IsDrained(TimePoint now) const;
  /// Highest ceiling acknowledged in this term; nullopt: not the witness.
  std::optional<Tokens> CeilingOf(LogPosition id, LogPosition term) const;
  /// Grants under watch.
  size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    VmRef holder;
    LogPosition term;
    Tokens ceiling;
    Tokens spent;
    bool is_fine = false;
    /// The other witness of the grant.
    VmRef other;
    /// A seal was appended in this term.
    bool sealing = false;
  };

  bool IsSealDue(TimePoint now, const Entry& entry);
  Duration Silence(TimePoint now, const VmRef& peer);
  void AppendSeal(LogPosition id, Entry& entry, Outbox& out);
  void WriteOffOrphans(TimePoint now, Outbox& out);
  bool IsOrphan(TimePoint now, const Grant& grant);
  void AnnounceLeaving(Outbox& out);

  const Ledger& ledger;
  const PeerView& peers;
  const EscrowAgentOptions& options;
  std::map<LogPosition, Entry> entries;
  /// When a peer that was never heard of was first asked for.
  std::map<VmRef, TimePoint> unheard;
  /// Write-offs on their way to the log.
  std::map<LogPosition, TimePoint> written_off;
  TimePoint next_check;
  TimePoint next_write_off;
  bool draining = false;
  TimePoint drain_began;
};

}  // namespace fuchsiadrum::budget
