#include "fuchsiadrum/budget/share_exchange.h"

#include <algorithm>
#include <utility>

namespace fuchsiadrum::budget {
namespace {

/// Asks under way at the same time for one organisation: two hide a silent
/// peer without drawing in many times what is wanted.
constexpr int kParallelAsks = 2;

/// An ask that is unanswered for so long goes to the next peer.
constexpr Duration kAnswerLimit = std::chrono::milliseconds(40);

/// Pause between two rounds over all peers.
constexpr Duration kRoundPause = std::chrono::milliseconds(100);

/// How long a giver's ceiling rises for an ask that it could not satisfy.
constexpr Duration kLendFor = std::chrono::seconds(1);

/// The receiver appends the record itself if the giver's is not read by then.
constexpr Duration kRecordSelfAfter = std::chrono::seconds(1);

/// Grants out of which one ask is answered.
constexpr int kMostParts = 4;

/// Peers asked in one round, those with the largest grants first.
constexpr size_t kMostPeers = 12;

}  // namespace

void ShareExchange::AskIfNeeded(TimePoint now, HeldBudget& budget,
                                Outbox& out) {
  const Tokens shortage = this->Shortage(budget);
  ShareSearch& search = budget.search;
  if (shortage <= Tokens(0)) {
    search.active = false;
    search.fruitless = 0;
    return;
  }

  // The pool comes first; a grant takes about as long as an append.
  const Account* const account = this->ledger.Find(budget.organisation);
  if (account == nullptr) return;
  const bool pool_helps =
      this->peers.IsLogReachable() &&
      (account->available >= shortage || budget.requested_nonce != 0);
  if (pool_helps && now - budget.waiting_since < this->options.ask_after) {
    return;
  }

  if (!search.active) {
    if (now >= search.last_sent && now - search.last_sent < kRoundPause) return;
    this->StartSearch(budget);
  }
  if (search.outstanding > 0 && now - search.last_sent >= kAnswerLimit) {
    search.outstanding = 0;
  }
  this->AskNext(now, budget, shortage, out);
}

void ShareExchange::OnAsk(TimePoint now, const VmRef& from,
                          const pb::GrantAsk& ask, Outbox& out) {
  HeldBudget* const budget = this->budgets.Find(ask.organisation());
  const Tokens wanted(ask.wanted());
  Tokens given;

  if (budget != nullptr) {
    uint64_t& last = budget->last_asks[from.ToString()];
    if (ask.ask_id() <= last) return;
    last = ask.ask_id();
    given = this->GiveUpTo(now, *budget, from, ask, out);
  }
  if (given == Tokens(0)) {
    pb::Transfer& answer = *out.AddMessage(from).mutable_transfer();
    answer.set_organisation(ask.organisation());
    answer.set_ask_id(ask.ask_id());
  }

  // What the ceilings did not allow now, they allow at the next ask.
  if (budget != nullptr && given < wanted) {
    budget->lend_need = std::min(wanted, budget->Unused());
    budget->lend_until = now + kLendFor;
  }
}

Tokens ShareExchange::GiveUpTo(TimePoint now, HeldBudget& budget,
                               const VmRef& from, const pb::GrantAsk& ask,
                               Outbox& out) {
  // Of two daemons that both wait, the one with the smaller minimum goes
  // first, so that the last tokens do not lie in parts that serve nobody. Who
  // has reached its minimum keeps it: it is served after the present search.
  const Tokens wanted(ask.wanted());
  const Tokens minimum(ask.minimum());
  const bool smaller =
      minimum < budget.waiting_minimum ||
      (minimum == budget.waiting_minimum && from < this->peers.Self().ref);
  const bool asker_first = smaller && budget.Room() < budget.waiting_minimum;
  const Tokens spare =
      asker_first ? budget.Room() : budget.Room() - budget.waiting_tokens;

  Tokens left =
      std::min({wanted, spare, std::max(budget.sizer.FineStep(), Tokens(1))});
  Tokens given;
  for (int i = 0; i < kMostParts && left > Tokens(0); ++i) {
    HeldGrant* const grant = this->LargestGrant(budget);
    if (grant == nullptr || grant->Room() <= Tokens(0)) break;
    const Tokens share = std::min(left, grant->Room());
    this->Give(now, *grant, share, from, ask.ask_id(), out);
    given += share;
    left -= share;
  }
  return given;
}

HeldBudget* ShareExchange::OnTransfer(TimePoint now, const VmRef& from,
                                      const pb::Transfer& transfer,
                                      Outbox& out) {
  HeldBudget* const budget = this->budgets.Find(transfer.organisation());
  if (budget != nullptr && budget->search.active) {
    budget->search.outstanding = std::max(0, budget->search.outstanding - 1);
  }
  const pb::TransferRecord& record = transfer.record();
  if (record.amount() <= 0) return budget;

  const bool is_new = this->IsNewTransfer(from, record);
  if (is_new) this->Receive(now, transfer);
  HeldGrant* const held = this->budgets.FindTransfer(record.transfer_id());
  if (!is_new && held != nullptr &&
      this->options.mutation == Mutation::kDoubleTransfer) {
    held->amount += Tokens(record.amount());
  }

  // A share that the fold does not know yet and that is not held either is
  // offered again by its giver.
  const Grant* const giver =
      this->ledger.FindGrant(LogPosition::FromProto(record.grant()));
  if (held != nullptr || giver == nullptr ||
      giver->given.contains(record.transfer_id())) {
    out.AddMessage(from).mutable_transfer_ack()->set_transfer_id(
        record.transfer_id());
  }
  return this->budgets.Find(transfer.organisation());
}

void ShareExchange::OnTransferAck(const pb::TransferAck& ack) {
  const auto found = this->unrecorded.find(ack.transfer_id());
  if (found != this->unrecorded.end()) found->second.acknowledged = true;
}

void ShareExchange::OnRecorded(const pb::TransferRecord& record) {
  this->unrecorded.erase(record.transfer_id());
}

void ShareExchange::OnTick(TimePoint now, Outbox& out) {
  for (auto& [id, pending] : this->unrecorded) {
    if (pending.acknowledged) continue;
    if (now >= pending.sent_at &&
        now - pending.sent_at < this->options.resend_after) {
      continue;
    }
    pending.sent_at = now;
    *out.AddMessage(pending.to).mutable_transfer() = pending.transfer;
  }

  for (const auto& budget : this->budgets.All()) {
    if (!budget->waiting.empty()) this->AskIfNeeded(now, *budget, out);
    for (const auto& grant : budget->grants) {
      if (grant->recorded || grant->record_sent) continue;
      if (now >= grant->received_at &&
          now - grant->received_at < kRecordSelfAfter) {
        continue;
      }
      grant->record_sent = true;
      pb::TransferRecord& record = *out.AddRecord().mutable_transfer();
      *record.mutable_grant() = grant->giver.ToProto();
      record.set_transfer_id(grant->transfer_id);
      *record.mutable_receiver() = this->peers.Self().ref.ToProto();
      record.set_amount(grant->amount.count);
    }
  }
}

void ShareExchange::StartSearch(HeldBudget& budget) {
  const Account* const account = this->ledger.Find(budget.organisation);
  std::map<std::string, Tokens> held_by;
  for (const auto& [id, grant] : account->grants) {
    if (grant.sealed || grant.written_off) continue;
    held_by[grant.holder.vm] += grant.Remainder();
  }

  ShareSearch& search = budget.search;
  std::vector<std::pair<Tokens, VmRef>> order;
  for (const VmInfo& peer : this->peers.AlivePeers()) {
    const auto found = held_by.find(peer.ref.vm);
    if (found == held_by.end() || found->second <= Tokens(0)) continue;
    order.emplace_back(found->second, peer.ref);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  if (order.size() > kMostPeers) order.resize(kMostPeers);

  search.peers.clear();
  for (const auto& [tokens, peer] : order) search.peers.push_back(peer);
  search.next = 0;
  search.outstanding = 0;
  search.active = true;
  search.room_before = budget.Room();
}

void ShareExchange::AskNext(TimePoint now, HeldBudget& budget, Tokens wanted,
                            Outbox& out) {
  ShareSearch& search = budget.search;
  while (search.outstanding < kParallelAsks &&
         search.next < search.peers.size()) {
    pb::GrantAsk& ask =
        *out.AddMessage(search.peers[search.next++]).mutable_grant_ask();
    ask.set_organisation(budget.organisation);
    ask.set_wanted(wanted.count);
    ask.set_ask_id(this->next_ask++);
    ask.set_minimum(budget.waiting_minimum.count);
    search.last_sent = now;
    ++search.outstanding;
  }
  if (search.next >= search.peers.size() && search.outstanding == 0) {
    search.active = false;
    search.last_sent = now;
    const bool gained = budget.Room() > search.room_before;
    search.fruitless = gained ? 0 : search.fruitless + 1;
  }
}

Tokens ShareExchange::Shortage(const HeldBudget& budget) const {
  if (budget.waiting.empty()) return Tokens(0);
  return budget.waiting_tokens - budget.Room();
}

HeldGrant* ShareExchange::LargestGrant(HeldBudget& budget) const {
  HeldGrant* largest = nullptr;
  for (const auto& grant : budget.grants) {
    if (!grant->recorded) continue;
    if (largest == nullptr || grant->Room() > largest->Room()) {
      largest = grant.get();
    }
  }
  return largest;
}

void ShareExchange::Give(TimePoint now, HeldGrant& grant, Tokens share,
                         const VmRef& to, uint64_t ask_id, Outbox& out) {
  grant.given += share;

  const VmRef& self = this->peers.Self().ref;
  pb::Transfer transfer;
  pb::TransferRecord& record = *transfer.mutable_record();
  *record.mutable_grant() = grant.id.ToProto();
  record.set_transfer_id(self.ToString() + "/" +
                         std::to_string(this->next_transfer++));
  *record.mutable_receiver() = to.ToProto();
  record.set_amount(share.count);
  transfer.set_organisation(grant.budget->organisation);
  transfer.set_ask_id(ask_id);

  *out.AddRecord().mutable_transfer() = record;
  *out.AddMessage(to).mutable_transfer() = transfer;
  this->unrecorded[record.transfer_id()] = {
      .to = to, .transfer = transfer, .sent_at = now};
}

bool ShareExchange::IsNewTransfer(const VmRef& from,
                                  const pb::TransferRecord& record) const {
  if (VmRef::FromProto(record.receiver()) != this->peers.Self().ref) {
    return false;
  }
  if (this->budgets.FindTransfer(record.transfer_id()) != nullptr) return false;

  // A share that was held and closed is in the fold as given, or its giver's
  // grant has ended: a share is closed only after its record was read.
  const Grant* const giver =
      this->ledger.FindGrant(LogPosition::FromProto(record.grant()));
  return giver != nullptr && giver->holder == from &&
         !giver->given.contains(record.transfer_id());
}

void ShareExchange::Receive(TimePoint now, const pb::Transfer& transfer) {
  HeldBudget& budget = this->budgets.Get(transfer.organisation());
  const pb::TransferRecord& record = transfer.record();
  HeldGrant& held = this->budgets.Add(budget);
  this->budgets.SetTransfer(held, record.transfer_id());
  held.giver = LogPosition::FromProto(record.grant());
  held.received_at = now;
  held.amount = Tokens(record.amount());
}

}  // namespace fuchsiadrum::budget
