#include "bench/budget_baselines.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace fuchsiadrum::bench {
namespace {

using budget::ReservationId;
using budget::ReserveResult;
using budget::ReserveStatus;

/// A reservation under one pot of tokens that is kept in memory.
struct PotReservation {
  std::string organisation;
  LogPosition pot;
  Tokens amount;
  bool settled = false;
};

/// Common part of baselines that spend from pots in memory.
class PotPolicy : public BudgetPolicy {
 public:
  void Settle(TimePoint /*now*/, ReservationId id, Tokens used) override {
    const auto found = this->reservations.find(id);
    if (found == this->reservations.end()) return;
    PotReservation& reservation = found->second;
    const Tokens spent = std::min(used, reservation.amount);
    this->GiveBack(reservation, reservation.amount - spent);
    reservation.amount = spent;
    reservation.settled = true;
  }
  void Confirm(TimePoint /*now*/, ReservationId id, bool billed_here) override {
    this->End(id, !billed_here);
  }
  void Release(TimePoint /*now*/, ReservationId id) override {
    this->End(id, true);
  }
  void Abandon(TimePoint /*now*/, ReservationId id) override {
    this->End(id, false);
  }

 protected:
  ReserveResult Reserved(std::string_view organisation, LogPosition pot,
                         Tokens amount) {
    const ReservationId id = this->next_id++;
    this->reservations[id] = {std::string(organisation), pot, amount};
    return {.status = ReserveStatus::kReserved, .id = id, .amount = amount};
  }
  static ReserveResult Refused() {
    return {.reason = budget::RefusalReason::kUnreachable};
  }
  /// Tokens of a reservation are free again.
  virtual void GiveBack(const PotReservation& reservation, Tokens tokens) = 0;
  /// A reservation ended.
  virtual void OnEnded(const PotReservation& /*reservation*/) {}

  std::map<ReservationId, PotReservation> reservations;
  ReservationId next_id = 1;

 private:
  void End(ReservationId id, bool give_back) {
    const auto found = this->reservations.find(id);
    if (found == this->reservations.end()) return;
    const PotReservation reservation = found->second;
    this->reservations.erase(found);
    if (give_back) this->GiveBack(reservation, reservation.amount);
    this->OnEnded(reservation);
  }
};

/// Each VM gets its part of each top-up that it reads while it runs. What a
/// killed daemon had left is lost, for its spend is not known.
class FixedSplitPolicy : public PotPolicy {
 public:
  explicit FixedSplitPolicy(const BudgetPolicySetup& setup)
      : daemons(setup.daemons),
        first_life(setup.view.Self().ref.incarnation == 1) {}

  ReserveResult Reserve(TimePoint /*now*/, std::string_view organisation,
                        Tokens worst_case, Tokens minimum,
                        TimePoint /*wait_until*/, Outbox& /*out*/) override {
    Tokens& left = this->pots[std::string(organisation)];
    const Tokens amount = std::min(worst_case, left);
    if (amount < minimum) return Refused();
    left -= amount;
    return this->Reserved(organisation, {}, amount);
  }
  void OnRecord(TimePoint /*now*/, LogPosition /*at*/, const VmRef& /*writer*/,
                const pb::Record& record, Outbox& /*out*/) override {
    if (!record.has_top_up()) return;
    const pb::TopUp& top_up = record.top_up();
    const auto id = std::pair(top_up.organisation(), top_up.top_up_id());
    if (!this->seen.insert(id).second) return;
    if (!this->first_life && !this->caught_up) return;
    this->pots[top_up.organisation()] +=
        Tokens(top_up.tokens() / this->daemons);
  }
  void OnCaughtUp() override { this->caught_up = true; }
  void OnTick(TimePoint /*now*/, Outbox& /*out*/) override {}

 protected:
  void GiveBack(const PotReservation& reservation, Tokens tokens) override {
    this->pots[reservation.organisation] += tokens;
  }

 private:
  int daemons;
  bool first_life;
  bool caught_up = false;
  std::set<std::pair<std::string, std::string>> seen;
  std::map<std::string, Tokens> pots;
};

/// Each reservation is a Grant on the log that its Close ends.
class CentralPolicy : public BudgetPolicy {
 public:
  explicit CentralPolicy(const BudgetPolicySetup& setup) : view(setup.view) {}

  ReserveResult Reserve(TimePoint /*now*/, std::string_view organisation,
                        Tokens worst_case, Tokens minimum, TimePoint wait_until,
                        Outbox& out) override {
    const budget::Account* const account = this->ledger.Find(organisation);
    const Tokens amount = account == nullptr
                              ? Tokens(0)
                              : std::min(worst_case, account->available);
    if (amount < minimum) {
      return {.reason = budget::RefusalReason::kUnreachable};
    }

    const ReservationId id = this->next_id++;
    this->open[id] = {.amount = amount, .wait_until = wait_until};
    pb::Grant& grant = *out.AddRecord().mutable_grant();
    grant.set_organisation(std::string(organisation));
    *grant.mutable_holder() = this->view.Self().ref.ToProto();
    grant.set_amount(amount.count);
    // The fold wants two witnesses; nobody seals here.
    grant.mutable_fine_witness()->set_vm("none-1");
    grant.mutable_coarse_witness()->set_vm("none-2");
    grant.set_grant_nonce(std::to_string(id));
    return {.status = ReserveStatus::kWaiting, .id = id};
  }
  std::vector<ReserveResult> TakeFinished() override {
    return std::exchange(this->finished, {});
  }
  void Settle(TimePoint /*now*/, ReservationId id, Tokens used) override {
    const auto found = this->open.find(id);
    if (found == this->open.end()) return;
    found->second.spent = std::min(used, found->second.amount);
  }
  void Confirm(TimePoint /*now*/, ReservationId id, bool billed_here) override {
    const auto found = this->open.find(id);
    if (found == this->open.end()) return;
    if (!billed_here) found->second.spent = Tokens(0);
    found->second.ended = true;
  }
  void Release(TimePoint /*now*/, ReservationId id) override {
    const auto found = this->open.find(id);
    if (found != this->open.end()) found->second.ended = true;
  }
  void Abandon(TimePoint /*now*/, ReservationId id) override {
    const auto found = this->open.find(id);
    if (found == this->open.end()) return;
    found->second.spent = Tokens(0);
    found->second.unknown = found->second.amount;
    found->second.ended = true;
  }
  void OnRecord(TimePoint /*now*/, LogPosition at, const VmRef& writer,
                const pb::Record& record, Outbox& /*out*/) override {
    const Verdict verdict = this->ledger.Apply(at, writer, record);
    if (!record.has_grant() || writer != this->view.Self().ref) return;

    const ReservationId id = std::stoull(record.grant().grant_nonce());
    Entry& entry = this->open.at(id);
    if (verdict != Verdict::kAccepted) {
      if (!entry.decided) this->Refuse(id);
      this->open.erase(id);
      return;
    }
    entry.at = at;
    entry.granted = true;
    if (entry.decided) return;
    entry.decided = true;
    this->finished.push_back(
        {.status = ReserveStatus::kReserved, .id = id, .amount = entry.amount});
  }
  void OnTick(TimePoint now, Outbox& out) override {
    for (auto it = this->open.begin(); it != this->open.end();) {
      Entry& entry = it->second;
      if (!entry.decided && now >= entry.wait_until) {
        this->Refuse(it->first);
        entry.decided = true;
        entry.ended = true;
      }
      if (!entry.ended || !entry.granted) {
        ++it;
        continue;
      }
      pb::Close& close = *out.AddRecord().mutable_close();
      *close.mutable_grant() = entry.at.ToProto();
      close.set_spent(entry.spent.count);
      close.set_possibly_used(entry.unknown.count);
      it = this->open.erase(it);
    }
  }

 private:
  struct Entry {
    Tokens amount;
    TimePoint wait_until;
    Tokens spent;
    Tokens unknown;
    LogPosition at;
    bool granted = false;
    bool decided = false;
    bool ended = false;
  };

  void Refuse(ReservationId id) {
    this->finished.push_back(
        {.id = id, .reason = budget::RefusalReason::kUnreachable});
  }

  const PeerView& view;
  budget::Ledger ledger;
  std::map<ReservationId, Entry> open;
  std::vector<ReserveResult> finished;
  ReservationId next_id = 1;
};

/// Tokens are leased for kLease by the holder's clock. Every daemon watches
/// the renewals on the log; the first one by name reclaims a lease that was not
/// renewed for kReclaimAfter, which ought to be safe if clocks were.
class TimeLeasePolicy : public PotPolicy {
 public:
  explicit TimeLeasePolicy(const BudgetPolicySetup& setup)
      : view(setup.view), daemons(setup.daemons) {}

  ReserveResult Reserve(TimePoint now, std::string_view organisation,
                        Tokens worst_case, Tokens minimum,
                        TimePoint /*wait_until*/, Outbox& /*out*/) override {
    this->wanted[std::string(organisation)] = worst_case;
    for (auto& [at, lease] : this->own) {
      if (lease.organisation != organisation || now >= lease.valid_until) {
        continue;
      }
      const Tokens amount = std::min(worst_case, lease.amount - lease.used);
      if (amount < minimum) continue;
      lease.used += amount;
      return this->Reserved(organisation, at, amount);
    }
    return Refused();
  }
  void OnRecord(TimePoint now, LogPosition at, const VmRef& writer,
                const pb::Record& record, Outbox& /*out*/) override {
    if (record.has_top_up()) {
      const pb::TopUp& top_up = record.top_up();
      if (this->top_ups.insert({top_up.organisation(), top_up.top_up_id()})
              .second) {
        this->pool[top_up.organisation()] += Tokens(top_up.tokens());
      }
    } else if (record.has_grant()) {
      this->OnGrant(now, at, writer, record.grant());
    } else if (record.has_settle()) {
      const auto found =
          this->leases.find(LogPosition::FromProto(record.settle().grant()));
      if (found == this->leases.end()) return;
      found->second.spent = Tokens(record.settle().spent());
      found->second.renewed = now;
    } else if (record.has_seal()) {
      const LogPosition id = LogPosition::FromProto(record.seal().grant());
      const auto found = this->leases.find(id);
      if (found == this->leases.end()) return;
      this->pool[found->second.organisation] +=
          found->second.amount - found->second.spent;
      this->leases.erase(found);
      this->own.erase(id);
    }
  }
  void OnTick(TimePoint now, Outbox& out) override {
    this->Renew(now, out);
    this->AskForLeases(out);
    this->Reclaim(now, out);
  }

 protected:
  void GiveBack(const PotReservation& reservation, Tokens tokens) override {
    const auto found = this->own.find(reservation.pot);
    if (found != this->own.end()) found->second.used -= tokens;
  }

 private:
  static constexpr Duration kLease = std::chrono::seconds(8);
  static constexpr Duration kReclaimAfter = std::chrono::seconds(12);
  static constexpr Duration kRenewEvery = std::chrono::seconds(2);

  struct Lease {
    std::string organisation;
    Tokens amount;
    Tokens spent;
    TimePoint renewed;
    bool reclaiming = false;
  };
  struct OwnLease {
    std::string organisation;
    Tokens amount;
    Tokens used;
    TimePoint valid_until;
    TimePoint renewed;
  };

  void OnGrant(TimePoint now, LogPosition at, const VmRef& writer,
               const pb::Grant& grant) {
    const bool mine = writer == this->view.Self().ref;
    if (mine) this->asked.erase(grant.organisation());
    Tokens& left = this->pool[grant.organisation()];
    const Tokens amount(grant.amount());
    if (amount > left) return;

    left -= amount;
    this->leases[at] = {grant.organisation(), amount, Tokens(0), now};
    if (mine) {
      this->own[at] = {grant.organisation(), amount, Tokens(0), now + kLease,
                       now};
    }
  }
  void Renew(TimePoint now, Outbox& out) {
    if (!this->view.IsLogReachable()) return;
    for (auto& [at, lease] : this->own) {
      if (now - lease.renewed < kRenewEvery || now >= lease.valid_until) {
        continue;
      }
      lease.renewed = now;
      lease.valid_until = now + kLease;
      pb::Settle& settle = *out.AddRecord().mutable_settle();
      *settle.mutable_grant() = at.ToProto();
      settle.set_spent(lease.used.count);
    }
  }
  void AskForLeases(Outbox& out) {
    for (const auto& [organisation, worst_case] : this->wanted) {
      if (this->asked.contains(organisation)) continue;
      Tokens left;
      for (const auto& [at, lease] : this->own) {
        if (lease.organisation != organisation) continue;
        left += lease.amount - lease.used;
      }
      const Tokens pool_left = this->pool[organisation];
      const Tokens size(std::max(pool_left.count / this->daemons,
                                 std::min(pool_left.count, worst_case.count)));
      if (left > worst_case + worst_case || size <= Tokens(0)) continue;

      this->asked.insert(organisation);
      pb::Grant& grant = *out.AddRecord().mutable_grant();
      grant.set_organisation(organisation);
      *grant.mutable_holder() = this->view.Self().ref.ToProto();
      grant.set_amount(size.count);
    }
  }
  void Reclaim(TimePoint now, Outbox& out) {
    for (const VmInfo& peer : this->view.AlivePeers()) {
      if (peer.ref.vm < this->view.Self().ref.vm) return;
    }
    if (!this->view.IsLogReachable()) return;
    for (auto& [at, lease] : this->leases) {
      if (lease.reclaiming || now - lease.renewed < kReclaimAfter) continue;
      lease.reclaiming = true;
      *out.AddRecord().mutable_seal()->mutable_grant() = at.ToProto();
    }
  }

  const PeerView& view;
  int daemons;
  std::set<std::pair<std::string, std::string>> top_ups;
  std::map<std::string, Tokens> pool;
  std::map<std::string, Tokens> wanted;
  std::set<std::string> asked;
  std::map<LogPosition, Lease> leases;
  std::map<LogPosition, OwnLease> own;
};

}  // namespace

std::unique_ptr<BudgetPolicy> MakeBudgetBaseline(
    const BudgetPolicySetup& setup) {
  if (setup.name == "fixed-split") {
    return std::make_unique<FixedSplitPolicy>(setup);
  }
  if (setup.name == "central") return std::make_unique<CentralPolicy>(setup);
  if (setup.name == "time-lease") {
    return std::make_unique<TimeLeasePolicy>(setup);
  }
  return nullptr;
}

}  // namespace fuchsiadrum::bench
