#include "fuchsiadrum/budget/held_budget.h"

#include <algorithm>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::budget {

Tokens HeldGrant::Limit() const {
  if (!this->witnessed || this->ignores_ceilings) return this->amount;
  return std::min({this->amount, this->fine.ceiling, this->coarse.ceiling});
}

Tokens HeldGrant::Room() const {
  if (!this->IsUsable()) return Tokens(0);
  return std::max(Tokens(0), this->Limit() - this->Used());
}

Tokens HeldBudget::Room() const {
  Tokens room;
  for (const auto& grant : this->grants) room += grant->Room();
  return room;
}

Tokens HeldBudget::Unused() const {
  Tokens unused;
  for (const auto& grant : this->grants) {
    if (!grant->IsUsable()) continue;
    unused += std::max(Tokens(0), grant->amount - grant->Used());
  }
  return unused;
}

Tokens HeldBudget::InFlight() const {
  Tokens in_flight;
  for (const auto& grant : this->grants) {
    in_flight += grant->reserved + grant->held;
  }
  return in_flight;
}

Tokens HeldBudget::Unconfirmed() const {
  Tokens unconfirmed = this->InFlight();
  for (const auto& grant : this->grants) {
    unconfirmed += grant->possibly_used - grant->settled_unknown;
  }
  return unconfirmed;
}

Tokens HeldBudget::StepInForce(WitnessRole role) const {
  const bool fine = role == WitnessRole::kFine;
  Tokens step =
      fine ? this->sizer.FineMargin() : this->sizer.CoarseMargin(true);
  step += Tokens(step.count / 2) + this->Unconfirmed();
  Tokens shares;

  for (const auto& grant : this->grants) {
    if (!grant->witnessed) {
      shares += grant->amount - grant->confirmed - grant->given;
      continue;
    }
    step = std::max(step, fine ? grant->fine.step : grant->coarse.step);
  }
  return step + shares;
}

bool HeldBudget::Take(Tokens amount, ReservedParts& parts) {
  if (!this->Collect(amount, Tokens(1), parts)) {
    // Many small grants: only large ones give their part.
    const auto most = static_cast<int64_t>(parts.parts.size());
    const Tokens least(amount.count / most);
    const bool found = least > Tokens(1) && this->Collect(amount, least, parts);
    if (!found) return false;
  }

  for (int i = 0; i < parts.count; ++i) {
    const ReservedPart& part = parts.parts[static_cast<size_t>(i)];
    part.grant->reserved += part.amount;
  }
  return true;
}

bool HeldBudget::Collect(Tokens amount, Tokens least, ReservedParts& parts) {
  parts.count = 0;
  Tokens missing = amount;
  for (const auto& grant : this->grants) {
    const Tokens room = grant->Room();
    const Tokens part = std::min(missing, room);
    if (part <= Tokens(0) || room < least) continue;
    if (parts.count == static_cast<int>(parts.parts.size())) return false;
    parts.parts[static_cast<size_t>(parts.count++)] = {grant.get(), part};
    missing -= part;
    if (missing == Tokens(0)) return true;
  }
  return false;
}

HeldBudget* HeldBudgets::Find(std::string_view organisation) {
  const auto found = this->by_name.find(organisation);
  return found == this->by_name.end() ? nullptr : found->second;
}

HeldBudget& HeldBudgets::Get(std::string_view organisation) {
  if (HeldBudget* const found = this->Find(organisation)) return *found;

  this->budgets.push_back(
      std::make_unique<HeldBudget>(std::string(organisation), this->options));
  this->by_name[std::string(organisation)] = this->budgets.back().get();
  return *this->budgets.back();
}

HeldGrant* HeldBudgets::FindGrant(LogPosition id) {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? nullptr : found->second;
}

HeldGrant* HeldBudgets::FindTransfer(std::string_view transfer_id) {
  const auto found = this->by_transfer.find(transfer_id);
  return found == this->by_transfer.end() ? nullptr : found->second;
}

HeldGrant& HeldBudgets::Add(HeldBudget& budget) {
  budget.grants.push_back(std::make_unique<HeldGrant>());
  budget.grants.back()->budget = &budget;
  ++this->grant_count;
  return *budget.grants.back();
}

void HeldBudgets::SetId(HeldGrant& grant, LogPosition id) {
  grant.id = id;
  grant.recorded = true;
  this->by_id[id] = &grant;
}

void HeldBudgets::SetTransfer(HeldGrant& grant,
                              const std::string& transfer_id) {
  grant.transfer_id = transfer_id;
  this->by_transfer[transfer_id] = &grant;
}

void HeldBudgets::Remove(HeldGrant& grant) {
  FD_ASSERT(grant.IsIdle(), "budget: a grant in use is removed");
  if (grant.recorded) this->by_id.erase(grant.id);
  if (!grant.transfer_id.empty()) this->by_transfer.erase(grant.transfer_id);

  auto& grants = grant.budget->grants;
  const auto found =
      std::find_if(grants.begin(), grants.end(),
                   [&](const auto& item) { return item.get() == &grant; });
  grants.erase(found);
  --this->grant_count;
}

}  // namespace fuchsiadrum::budget
