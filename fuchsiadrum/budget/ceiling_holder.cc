#include "fuchsiadrum/budget/ceiling_holder.h"

#include <algorithm>

#include "fuchsiadrum/budget/witness_choice.h"
#include "fuchsiadrum/core/whole_number.h"

namespace fuchsiadrum::budget {
namespace {

/// A raise is asked for once this share of the margin is left: early enough
/// for the answer, seldom enough for the traffic.
constexpr double kFineThreshold = 0.5;
constexpr double kCoarseThreshold = 0.93;

HeldCeiling& CeilingOf(HeldGrant& grant, WitnessRole role) {
  return role == WitnessRole::kFine ? grant.fine : grant.coarse;
}

/// Confirmed spend that a witness does not know counts as lost when the holder
/// dies; it is reported once it exceeds this share of the margin.
constexpr double kReportThreshold = 0.5;

/// Confirmed spend under all grants that the witnesses of a role do not know.
Tokens Unreported(const HeldBudget& budget, WitnessRole role) {
  Tokens unreported;
  for (const auto& grant : budget.grants) {
    if (!grant->witnessed || grant->closing) continue;
    const HeldCeiling& ceiling =
        role == WitnessRole::kFine ? grant->fine : grant->coarse;
    const Tokens known = std::max(ceiling.reported, grant->settled_spent);
    unreported += std::max(Tokens(0), grant->confirmed - known);
  }
  return unreported;
}

Tokens Share(Tokens tokens, double share) {
  return Tokens(SaturatedWhole(static_cast<double>(tokens.count) * share));
}

}  // namespace

void CeilingHolder::Raise(TimePoint now, HeldBudget& budget, Outbox& out) {
  Raises raises;
  this->Collect(now, budget, WitnessRole::kFine, raises);
  this->Collect(now, budget, WitnessRole::kCoarse, raises);
  this->Send(raises, out);
}

void CeilingHolder::OnTick(TimePoint now, Outbox& out) {
  Raises raises;
  for (const auto& budget : this->budgets.All()) {
    this->Collect(now, *budget, WitnessRole::kFine, raises);
    this->Collect(now, *budget, WitnessRole::kCoarse, raises);
  }
  this->Send(raises, out);

  if (!this->peers.IsLogReachable()) return;
  for (const auto& budget : this->budgets.All()) {
    for (const auto& grant : budget->grants) {
      this->ReplaceIfNeeded(now, *grant, WitnessRole::kFine, out);
      this->ReplaceIfNeeded(now, *grant, WitnessRole::kCoarse, out);
    }
  }
}

void CeilingHolder::OnAck(const VmRef& from, const pb::CeilingAck& ack) {
  for (const pb::CeilingItem& item : ack.items()) {
    HeldGrant* const grant =
        this->budgets.FindGrant(LogPosition::FromProto(item.grant()));
    if (grant == nullptr || !grant->witnessed) continue;

    for (HeldCeiling* ceiling : {&grant->fine, &grant->coarse}) {
      if (ceiling->witness != from ||
          ceiling->term != LogPosition::FromProto(item.term())) {
        continue;
      }
      if (ack.leaving()) ceiling->leaving = true;
      ceiling->reported = std::max(ceiling->reported, Tokens(item.spent()));
      // The replacement's record names the ceiling from before it.
      if (ceiling->frozen && this->options.mutation != Mutation::kNoFreeze) {
        continue;
      }
      ceiling->ceiling = std::max(ceiling->ceiling, Tokens(item.ceiling()));
      if (ceiling->ceiling >= ceiling->asked) ceiling->pending = false;
    }
  }
}

void CeilingHolder::OnReplaced(LogPosition at, const pb::ReplaceWitness& record,
                               Verdict verdict) {
  HeldGrant* const grant =
      this->budgets.FindGrant(LogPosition::FromProto(record.grant()));
  if (grant == nullptr) return;
  const VmRef old_witness = VmRef::FromProto(record.old_witness());

  for (HeldCeiling* ceiling : {&grant->fine, &grant->coarse}) {
    if (ceiling->witness != old_witness || !ceiling->frozen) continue;
    ceiling->frozen = false;
    if (verdict != Verdict::kAccepted) return;

    ceiling->witness = VmRef::FromProto(record.new_witness());
    ceiling->term = at;
    ceiling->reported = Tokens(0);
    ceiling->pending = false;
    ceiling->leaving = false;
    // Without the freeze the old ceiling, perhaps risen since, lives on.
    if (this->options.mutation != Mutation::kNoFreeze) {
      ceiling->ceiling = Tokens(record.ceiling());
    }
    return;
  }
}

void CeilingHolder::Collect(TimePoint now, HeldBudget& budget, WitnessRole role,
                            Raises& raises) {
  const Tokens lend = now < budget.lend_until ? budget.lend_need : Tokens(0);
  const Tokens need = budget.waiting_tokens + lend;
  const bool fine = role == WitnessRole::kFine;
  const Tokens margin = fine ? budget.sizer.FineMargin()
                             : budget.sizer.CoarseMargin(this->IsDegraded());
  const Tokens kept = Share(margin, fine ? kFineThreshold : kCoarseThreshold);

  const Tokens slack = Share(margin, kReportThreshold);
  const Tokens step = need + margin + slack + budget.Unconfirmed();
  const bool report = Unreported(budget, role) > slack;

  // The step is spread over the grants in the order in which they are used.
  Tokens wanted_left = need + margin;
  Tokens needed_left = need + kept;
  for (const auto& item : budget.grants) {
    HeldGrant& grant = *item;
    if (!grant.recorded || !grant.IsUsable()) continue;
    const Tokens used = grant.Used();
    const Tokens target = std::min(grant.amount, used + wanted_left);
    const Tokens needed = std::min(grant.amount, used + needed_left);
    HeldCeiling& ceiling = CeilingOf(grant, role);
    // A ceiling that is higher than needed leaves less for the next grants.
    const Tokens reach =
        grant.witnessed
            ? std::max(target, std::min(grant.amount, ceiling.ceiling))
            : target;
    wanted_left = std::max(Tokens(0), wanted_left - (reach - used));
    needed_left = std::max(Tokens(0), needed_left - (reach - used));
    if (!grant.witnessed) continue;

    const bool raise_due = this->IsRaiseDue(now, ceiling, target, needed);
    if (!raise_due && !(report && this->IsReportDue(now, grant, ceiling))) {
      continue;
    }
    if (raise_due) {
      if (!ceiling.pending) ceiling.asked_at = now;
      ceiling.pending = true;
      ceiling.asked = target;
      ceiling.step = step;
    }
    ceiling.sent_at = now;

    pb::CeilingItem& raise = *raises[ceiling.witness].add_items();
    *raise.mutable_grant() = grant.id.ToProto();
    *raise.mutable_term() = ceiling.term.ToProto();
    raise.set_ceiling(raise_due ? target.count : ceiling.ceiling.count);
    raise.set_spent(grant.confirmed.count);
  }
}

bool CeilingHolder::IsReportDue(TimePoint now, const HeldGrant& grant,
                                const HeldCeiling& ceiling) const {
  if (grant.confirmed <= ceiling.reported) return false;
  return now < ceiling.sent_at ||
         now - ceiling.sent_at >= this->options.resend_after;
}

bool CeilingHolder::IsRaiseDue(TimePoint now, const HeldCeiling& ceiling,
                               Tokens target, Tokens needed) const {
  if (ceiling.frozen || target <= ceiling.ceiling) return false;
  if (needed <= ceiling.ceiling) return false;
  if (!ceiling.pending || now < ceiling.sent_at) return true;
  return now - ceiling.sent_at >= this->options.resend_after ||
         needed > ceiling.asked;
}

void CeilingHolder::Send(Raises& raises, Outbox& out) {
  for (auto& [witness, raise] : raises) {
    *out.AddMessage(witness).mutable_ceiling_raise() = std::move(raise);
  }
}

void CeilingHolder::ReplaceIfNeeded(TimePoint now, HeldGrant& grant,
                                    WitnessRole role, Outbox& out) {
  if (!grant.witnessed || !grant.IsUsable()) return;
  HeldCeiling& ceiling = CeilingOf(grant, role);
  if (!this->IsReplacementDue(now, ceiling, role)) return;

  const HeldCeiling& other =
      CeilingOf(grant, role == WitnessRole::kFine ? WitnessRole::kCoarse
                                                  : WitnessRole::kFine);
  const auto successor =
      ChooseWitness(this->peers, now, this->options.suspect_after, role,
                    other.witness.vm, ceiling.witness.vm, this->rng);
  if (!successor) return;

  ceiling.frozen = true;
  ceiling.pending = false;
  pb::ReplaceWitness& record = *out.AddRecord().mutable_replace_witness();
  *record.mutable_grant() = grant.id.ToProto();
  *record.mutable_old_witness() = ceiling.witness.ToProto();
  *record.mutable_new_witness() = successor->ToProto();
  record.set_ceiling(std::min(ceiling.ceiling, grant.amount).count);
}

bool CeilingHolder::IsReplacementDue(TimePoint now, const HeldCeiling& ceiling,
                                     WitnessRole role) const {
  if (ceiling.frozen) return false;
  if (ceiling.leaving) return true;

  const auto silent = this->peers.SilentFor(now, ceiling.witness);
  if (silent && *silent > this->options.suspect_after) return true;
  const Duration limit = role == WitnessRole::kFine
                             ? this->options.fine_answer_limit
                             : this->options.coarse_answer_limit;
  return ceiling.pending && now - ceiling.asked_at > limit;
}

}  // namespace fuchsiadrum::budget
