#include "fuchsiadrum/budget/escrow_agent.h"

#include <algorithm>
#include <array>
#include <utility>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::budget {
namespace {

/// After so many rounds over the peers without a gain a waiting reservation is
/// cut to what is there. The first one makes peers raise their ceilings.
constexpr int kFruitlessRounds = 2;

/// A caller of an exhausted budget gains nothing from a quick retry.
constexpr Duration kRetryExhausted = std::chrono::seconds(60);
/// Long enough for a grant or for a partition's end to be noticed.
constexpr Duration kRetryUnreachable = std::chrono::seconds(2);
/// While the log is down, tokens only move by shares.
constexpr Duration kRetryLogDown = std::chrono::seconds(10);
/// Another daemon serves at once.
constexpr Duration kRetryDraining = std::chrono::seconds(1);

}  // namespace

std::string_view RefusalText(RefusalReason reason) {
  static constexpr std::array<std::string_view, 5> kTexts = {
      "none", "no budget", "budget exhausted", "tokens not within reach",
      "daemon is stopping"};
  return kTexts.at(static_cast<size_t>(reason));
}

EscrowAgent::EscrowAgent(const Ledger& ledger, const PeerView& peers,
                         EscrowAgentOptions options, Rng rng)
    : ledger(ledger),
      peers(peers),
      options(options),
      budgets(this->options.sizes),
      witness(ledger, peers, this->options),
      ceilings(peers, this->options, this->budgets, rng.Fork("ceilings")),
      keeper(ledger, peers, this->options, this->budgets, rng.Fork("keeper")),
      shares(ledger, peers, this->options, this->budgets) {}

ReserveResult EscrowAgent::Reserve(TimePoint now, std::string_view organisation,
                                   Tokens worst_case, Tokens minimum,
                                   TimePoint wait_until, Outbox& out) {
  FD_ASSERT(minimum > Tokens(0) && minimum <= worst_case,
            "budget: a reservation needs 0 < minimum <= worst case");
  const auto refused = [&](RefusalReason reason) {
    return ReserveResult{.reason = reason,
                         .retry_after = this->RetryAfter(reason)};
  };
  if (this->draining) return refused(RefusalReason::kDraining);

  HeldBudget* budget = this->budgets.Find(organisation);
  if (budget == nullptr) {
    if (this->ledger.Find(organisation) == nullptr) {
      return refused(RefusalReason::kNoBudget);
    }
    budget = &this->budgets.Get(organisation);
  }
  budget->sizer.OnReserve(worst_case);

  // The usual case: the tokens are at hand.
  const uint32_t index = this->TakeSlot(*budget);
  Slot& slot = this->slots[index];
  if (budget->Take(worst_case, slot.parts)) {
    return this->Decide(index, worst_case);
  }

  slot.amount = worst_case;
  slot.minimum = minimum;
  slot.wait_until = wait_until;
  return this->Queue(now, *budget, index, out);
}

ReserveResult EscrowAgent::Queue(TimePoint now, HeldBudget& budget,
                                 uint32_t index, Outbox& out) {
  Slot& slot = this->slots[index];
  const RefusalReason reason = this->WhyNot(budget, slot.minimum);
  if (reason == RefusalReason::kExhausted) return this->Refuse(index, reason);

  slot.state = SlotState::kWaiting;
  if (budget.waiting.empty()) budget.waiting_since = now;
  budget.waiting.push_back(index);
  ++this->waiting_count;
  this->CountWaiting(budget);
  this->GetTokens(now, budget, out);
  if (now < slot.wait_until) {
    return {.status = ReserveStatus::kWaiting, .id = this->IdOf(index)};
  }

  // The caller does not wait: what is there now decides.
  this->LeaveQueue(budget, index);
  const Tokens room = std::min(budget.Room(), slot.amount);
  if (room >= slot.minimum && budget.Take(room, slot.parts)) {
    return this->Decide(index, room);
  }
  return this->Refuse(index, reason);
}

std::vector<ReserveResult> EscrowAgent::TakeFinished() {
  return std::exchange(this->finished, {});
}

void EscrowAgent::Settle(TimePoint /*now*/, ReservationId id, Tokens used) {
  Slot* const slot = this->FindSlot(id);
  if (slot == nullptr || slot->state != SlotState::kReserved) return;
  slot->state = SlotState::kSettled;
  const Tokens overrun = std::max(Tokens(0), used - slot->amount);
  Tokens left = std::clamp(used, Tokens(0), slot->amount);
  slot->budget->sizer.OnSpend(left);

  for (int i = 0; i < slot->parts.count; ++i) {
    ReservedPart& part = slot->parts.parts[static_cast<size_t>(i)];
    const Tokens share = std::min(left, part.amount);
    part.grant->reserved -= part.amount;
    part.grant->held += share;
    part.amount = share;
    left -= share;
  }
  if (slot->parts.count > 0) slot->parts.parts[0].grant->overrun += overrun;
  this->ServeWaiting(*slot->budget);
}

void EscrowAgent::Confirm(TimePoint /*now*/, ReservationId id,
                          bool billed_here) {
  Slot* const slot = this->FindSlot(id);
  if (slot == nullptr || slot->state != SlotState::kSettled) return;

  for (int i = 0; i < slot->parts.count; ++i) {
    const ReservedPart& part = slot->parts.parts[static_cast<size_t>(i)];
    part.grant->held -= part.amount;
    if (billed_here) part.grant->confirmed += part.amount;
  }
  HeldBudget& budget = *slot->budget;
  this->FreeSlot(static_cast<uint32_t>(id));
  if (!billed_here) this->ServeWaiting(budget);
}

void EscrowAgent::Release(TimePoint /*now*/, ReservationId id) {
  Slot* const slot = this->FindSlot(id);
  if (slot == nullptr) return;
  HeldBudget& budget = *slot->budget;
  if (slot->state == SlotState::kWaiting) {
    this->LeaveQueue(budget, static_cast<uint32_t>(id));
  } else if (slot->state == SlotState::kReserved) {
    for (int i = 0; i < slot->parts.count; ++i) {
      const ReservedPart& part = slot->parts.parts[static_cast<size_t>(i)];
      part.grant->reserved -= part.amount;
    }
  } else {
    return;
  }
  this->FreeSlot(static_cast<uint32_t>(id));
  this->ServeWaiting(budget);
}

void EscrowAgent::Abandon(TimePoint now, ReservationId id) {
  if (this->options.mutation == Mutation::kForgetUnknown) {
    this->Release(now, id);
    return;
  }
  Slot* const slot = this->FindSlot(id);
  if (slot == nullptr || slot->state == SlotState::kWaiting) return;

  for (int i = 0; i < slot->parts.count; ++i) {
    const ReservedPart& part = slot->parts.parts[static_cast<size_t>(i)];
    Tokens& from = slot->state == SlotState::kReserved ? part.grant->reserved
                                                       : part.grant->held;
    from -= part.amount;
    part.grant->possibly_used += part.amount;
  }
  this->FreeSlot(static_cast<uint32_t>(id));
}

void EscrowAgent::OnRecord(TimePoint now, LogPosition at,
                           const pb::Record& record, Verdict verdict,
                           Outbox& out) {
  this->last_now = now;
  if (verdict == Verdict::kNotMine) return;
  this->keeper.OnRecord(now, at, record, verdict);

  switch (record.kind_case()) {
    case pb::Record::kGrant:
      this->witness.OnGrantChanged(at);
      break;
    case pb::Record::kReplaceWitness:
      this->ceilings.OnReplaced(at, record.replace_witness(), verdict);
      this->witness.OnGrantChanged(
          LogPosition::FromProto(record.replace_witness().grant()));
      break;
    case pb::Record::kSeal:
      this->witness.OnGrantChanged(
          LogPosition::FromProto(record.seal().grant()));
      break;
    case pb::Record::kClose:
      this->witness.OnGrantChanged(
          LogPosition::FromProto(record.close().grant()));
      break;
    case pb::Record::kWriteOff:
      this->witness.OnGrantChanged(
          LogPosition::FromProto(record.write_off().grant()));
      break;
    case pb::Record::kTransfer:
      this->shares.OnRecorded(record.transfer());
      break;
    default:
      break;
  }

  if (this->waiting_count == 0) return;
  for (const auto& budget : this->budgets.All()) {
    if (budget->waiting.empty()) continue;
    this->ServeWaiting(*budget);
    if (!budget->waiting.empty()) this->GetTokens(now, *budget, out);
  }
}

void EscrowAgent::OnStateLoaded(TimePoint now, Outbox& /*out*/) {
  this->keeper.OnStateLoaded(now);
  this->witness.OnStateLoaded();
  for (const auto& budget : this->budgets.All()) this->ServeWaiting(*budget);
}

void EscrowAgent::OnMessage(TimePoint now, const VmRef& from,
                            const pb::PeerMessage& message, Outbox& out) {
  this->last_now = now;
  switch (message.kind_case()) {
    case pb::PeerMessage::kCeilingRaise:
      this->witness.OnRaise(from, message.ceiling_raise(), out);
      break;
    case pb::PeerMessage::kCeilingAck:
      this->ceilings.OnAck(from, message.ceiling_ack());
      if (this->waiting_count == 0) break;
      for (const auto& budget : this->budgets.All()) {
        if (!budget->waiting.empty()) this->ServeWaiting(*budget);
      }
      break;
    case pb::PeerMessage::kGrantAsk:
      this->shares.OnAsk(now, from, message.grant_ask(), out);
      if (HeldBudget* const budget =
              this->budgets.Find(message.grant_ask().organisation())) {
        this->ceilings.Raise(now, *budget, out);
        this->keeper.ReturnSurplus(*budget, out);
      }
      break;
    case pb::PeerMessage::kTransfer:
      if (HeldBudget* const budget =
              this->shares.OnTransfer(now, from, message.transfer(), out)) {
        this->ServeWaiting(*budget);
        this->shares.AskIfNeeded(now, *budget, out);
      }
      break;
    case pb::PeerMessage::kTransferAck:
      this->shares.OnTransferAck(message.transfer_ack());
      break;
    default:
      break;
  }
}

void EscrowAgent::OnTick(TimePoint now, Outbox& out) {
  this->last_now = now;
  for (const auto& budget : this->budgets.All()) {
    budget->sizer.OnTick(now, budget->InFlight() + budget->waiting_tokens);
    this->ServeWaiting(*budget);
    this->ExpireWaiting(now, *budget);
  }

  this->witness.OnTick(now, out);
  this->keeper.OnTick(now, out);
  this->ceilings.OnTick(now, out);
  this->shares.OnTick(now, out);
}

void EscrowAgent::BeginDrain(TimePoint now, Outbox& out) {
  this->last_now = now;
  this->draining = true;
  for (const auto& budget : this->budgets.All()) {
    while (!budget->waiting.empty()) {
      const uint32_t index = budget->waiting.front();
      this->LeaveQueue(*budget, index);
      this->finished.push_back(this->Refuse(index, RefusalReason::kDraining));
    }
  }
  this->keeper.BeginDrain();
  this->witness.BeginDrain(now);
  this->OnTick(now, out);
}

bool EscrowAgent::IsDrained() const {
  return this->draining && this->budgets.GrantCount() == 0 &&
         this->shares.IsIdle() && this->witness.IsDrained(this->last_now);
}

EscrowFigures EscrowAgent::Figures(std::string_view organisation) {
  const HeldBudget* const budget = this->budgets.Find(organisation);
  if (budget == nullptr) return {};

  EscrowFigures figures{
      .room = budget->Room(),
      .fine_step = budget->StepInForce(WitnessRole::kFine),
      .coarse_step = budget->StepInForce(WitnessRole::kCoarse)};
  figures.above_ceilings = budget->Unused() - figures.room;
  for (const auto& grant : budget->grants) {
    figures.reserved += grant->reserved;
    figures.unconfirmed += grant->held;
  }
  return figures;
}

uint32_t EscrowAgent::TakeSlot(HeldBudget& budget) {
  if (this->free_slots.empty()) {
    this->free_slots.push_back(static_cast<uint32_t>(this->slots.size()));
    this->slots.emplace_back();
  }
  const uint32_t index = this->free_slots.back();
  this->free_slots.pop_back();
  this->slots[index].budget = &budget;
  return index;
}

void EscrowAgent::FreeSlot(uint32_t index) {
  Slot& slot = this->slots[index];
  slot.state = SlotState::kFree;
  ++slot.generation;
  slot.parts.count = 0;
  this->free_slots.push_back(index);
}

EscrowAgent::Slot* EscrowAgent::FindSlot(ReservationId id) {
  const auto index = static_cast<uint32_t>(id);
  if (index >= this->slots.size()) return nullptr;
  Slot& slot = this->slots[index];
  const bool current = slot.generation == static_cast<uint32_t>(id >> 32U);
  return current && slot.state != SlotState::kFree ? &slot : nullptr;
}

ReservationId EscrowAgent::IdOf(uint32_t index) const {
  return (static_cast<uint64_t>(this->slots[index].generation) << 32U) | index;
}

ReserveResult EscrowAgent::Decide(uint32_t index, Tokens amount) {
  Slot& slot = this->slots[index];
  slot.state = SlotState::kReserved;
  slot.amount = amount;
  return {.status = ReserveStatus::kReserved,
          .id = this->IdOf(index),
          .amount = amount};
}

ReserveResult EscrowAgent::Refuse(uint32_t index, RefusalReason reason) {
  const ReservationId id = this->IdOf(index);
  this->FreeSlot(index);
  return {.id = id, .reason = reason, .retry_after = this->RetryAfter(reason)};
}

RefusalReason EscrowAgent::WhyNot(const HeldBudget& budget,
                                  Tokens minimum) const {
  // The fold's view of what is left is an upper bound, for it bills late.
  const Account* const account = this->ledger.Find(budget.organisation);
  if (account == nullptr) return RefusalReason::kNoBudget;
  return account->available + account->open < minimum
             ? RefusalReason::kExhausted
             : RefusalReason::kUnreachable;
}

Duration EscrowAgent::RetryAfter(RefusalReason reason) const {
  if (reason == RefusalReason::kDraining) return kRetryDraining;
  if (reason != RefusalReason::kUnreachable) return kRetryExhausted;
  return this->peers.IsLogReachable() ? kRetryUnreachable : kRetryLogDown;
}

void EscrowAgent::GetTokens(TimePoint now, HeldBudget& budget, Outbox& out) {
  this->ceilings.Raise(now, budget, out);
  this->keeper.Replenish(now, budget, out);
  this->shares.AskIfNeeded(now, budget, out);
}

void EscrowAgent::ServeWaiting(HeldBudget& budget) {
  // A large reservation at the head does not hold up smaller ones; its wait is
  // bounded by its own limit.
  for (size_t i = 0; i < budget.waiting.size();) {
    const uint32_t index = budget.waiting[i];
    Slot& slot = this->slots[index];
    if (!budget.Take(slot.amount, slot.parts)) {
      ++i;
      continue;
    }
    this->LeaveQueue(budget, index);
    this->finished.push_back(this->Decide(index, slot.amount));
  }
}

void EscrowAgent::ExpireWaiting(TimePoint now, HeldBudget& budget) {
  for (size_t i = 0; i < budget.waiting.size();) {
    const uint32_t index = budget.waiting[i];
    Slot& slot = this->slots[index];
    const RefusalReason reason = this->WhyNot(budget, slot.minimum);
    const Tokens room = std::min(budget.Room(), slot.amount);
    const bool cut = room >= slot.minimum && this->IsAllFound(budget);
    if (now < slot.wait_until && reason != RefusalReason::kExhausted && !cut) {
      ++i;
      continue;
    }

    this->LeaveQueue(budget, index);
    if (room >= slot.minimum && budget.Take(room, slot.parts)) {
      this->finished.push_back(this->Decide(index, room));
    } else {
      this->finished.push_back(this->Refuse(index, reason));
    }
  }
}

bool EscrowAgent::IsAllFound(const HeldBudget& budget) const {
  if (budget.search.fruitless < kFruitlessRounds) return false;
  if (!this->peers.IsLogReachable()) return true;
  const Account* const account = this->ledger.Find(budget.organisation);
  return account == nullptr || account->available <= Tokens(0);
}

void EscrowAgent::LeaveQueue(HeldBudget& budget, uint32_t index) {
  const auto found =
      std::find(budget.waiting.begin(), budget.waiting.end(), index);
  FD_ASSERT(found != budget.waiting.end(), "budget: a waiting slot is lost");
  budget.waiting.erase(found);
  --this->waiting_count;
  this->CountWaiting(budget);
}

void EscrowAgent::CountWaiting(HeldBudget& budget) {
  budget.waiting_tokens = Tokens(0);
  budget.waiting_minimum = Tokens(0);
  for (const uint32_t index : budget.waiting) {
    const Slot& slot = this->slots[index];
    budget.waiting_tokens += slot.amount;
    if (budget.waiting_minimum == Tokens(0) ||
        slot.minimum < budget.waiting_minimum) {
      budget.waiting_minimum = slot.minimum;
    }
  }
  if (budget.waiting.empty()) budget.search.fruitless = 0;
}

}  // namespace fuchsiadrum::budget
