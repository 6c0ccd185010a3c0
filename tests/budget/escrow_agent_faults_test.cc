#include <gtest/gtest.h>

#include "fuchsiadrum/budget/escrow_agent.h"
#include "tests/budget/test_fleet.h"

namespace fuchsiadrum::budget {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Holder z1a with fine witness z1b; z2a and z2b are in another zone.
class EscrowAgentFaultsTest : public ::testing::Test {
 protected:
  /// Everyone but the holder believes it dead.
  void BelieveDead() { this->BelieveSilent(seconds(20)); }
  /// Everyone hears of a new incarnation of the holder's VM.
  void BelieveRestarted() { this->BelieveSilent(Duration::max()); }
  void BelieveSilent(Duration silent) {
    for (size_t i = 1; i < 4; ++i) {
      fleet[i].view.silent[holder.Ref()] = silent;
      std::erase_if(fleet[i].view.alive, [&](const VmInfo& peer) {
        return peer.ref == holder.Ref();
      });
    }
  }
  const Grant& FoldedGrant(LogPosition id) {
    return *fleet[3].ledger.FindGrant(id);
  }

  TestFleet fleet;
  TestDaemon& holder = this->fleet[0];
};

// Guards against a second grant while the answer to the first append is lost
// and its record is not read back.
TEST_F(EscrowAgentFaultsTest, Reserve_GrantRecordUnread_AsksOnce) {
  fleet.TopUp(10'000);
  EXPECT_EQ(fleet.Reserve(holder, 100).status, ReserveStatus::kWaiting);
  for (int i = 0; i < 20; ++i) {
    fleet.now = fleet.now + milliseconds(40);
    holder.agent->OnTick(fleet.now, holder.out);
  }
  EXPECT_EQ(holder.out.records.size(), 1U);
}

// Guards against overspend by a holder that resumes without knowing that its
// grant was sealed: its limit lies within what the seal kept aside.
TEST_F(EscrowAgentFaultsTest, Reserve_PausedPastItsSeal_StaysBelowTheSeal) {
  fleet.TopUp(100'000);
  fleet.Spend(holder, 200);
  const LogPosition id = holder.FirstGrant()->id;
  fleet.paused["z1a"] = true;
  this->BelieveDead();
  fleet.Run(seconds(2));
  ASSERT_TRUE(this->FoldedGrant(id).sealed);

  const HeldGrant& grant = *holder.FirstGrant();
  const ReserveResult late = fleet.Reserve(holder, grant.Room().count);
  ASSERT_EQ(late.status, ReserveStatus::kReserved);
  EXPECT_LE(grant.Used(), this->FoldedGrant(id).amount);

  // It reads the seal, settles for good and gives the rest back.
  fleet.paused.clear();
  holder.agent->Settle(fleet.now, late.id, Tokens(7));
  holder.agent->Confirm(fleet.now, late.id, true);
  fleet.Run(seconds(1));
  EXPECT_EQ(fleet.AccountAt(fleet[3]).billed, Tokens(207));
  EXPECT_EQ(fleet.AccountAt(fleet[3]).written_off, Tokens(0));
}

// Guards against acknowledgements after a seal was appended.
TEST_F(EscrowAgentFaultsTest, OnRaise_AfterSealAppended_IsNotAcknowledged) {
  fleet.TopUp(100'000);
  fleet.Spend(holder, 200);
  TestDaemon& witness = fleet[1];
  witness.view.silent[holder.Ref()] = seconds(20);
  fleet.now = fleet.now + seconds(1);
  witness.agent->OnTick(fleet.now, witness.out);
  ASSERT_EQ(witness.out.records.size(), 1U);
  witness.out.messages.clear();

  pb::PeerMessage raise;
  const HeldGrant& grant = *holder.FirstGrant();
  pb::CeilingItem& item = *raise.mutable_ceiling_raise()->add_items();
  *item.mutable_grant() = grant.id.ToProto();
  *item.mutable_term() = grant.fine.term.ToProto();
  item.set_ceiling(grant.amount.count);
  witness.agent->OnMessage(fleet.now, holder.Ref(), raise, witness.out);
  EXPECT_TRUE(witness.out.messages.empty());
}

// Guards against a ceiling that rises by a late acknowledgement of a witness
// whose replacement is on its way: the record names the ceiling from before.
TEST_F(EscrowAgentFaultsTest, OnAck_WhileReplacing_DoesNotRaiseTheCeiling) {
  fleet.TopUp(100'000);
  fleet.Spend(holder, 200);
  HeldGrant& grant = *holder.FirstGrant();
  const VmRef old_witness = grant.fine.witness;
  const Tokens before = grant.fine.ceiling;
  holder.view.silent[old_witness] = seconds(4);
  fleet.now = fleet.now + milliseconds(50);
  holder.agent->OnTick(fleet.now, holder.out);
  ASSERT_TRUE(grant.fine.frozen);

  pb::PeerMessage ack;
  pb::CeilingItem& item = *ack.mutable_ceiling_ack()->add_items();
  *item.mutable_grant() = grant.id.ToProto();
  *item.mutable_term() = grant.fine.term.ToProto();
  item.set_ceiling(grant.amount.count);
  holder.agent->OnMessage(fleet.now, old_witness, ack, holder.out);
  EXPECT_EQ(grant.fine.ceiling, before);

  fleet.Run(seconds(1));
  EXPECT_FALSE(grant.fine.frozen);
  EXPECT_NE(grant.fine.witness, old_witness);
}

// Guards against a seal and a replacement that both take effect.
TEST_F(EscrowAgentFaultsTest, ReplaceWitness_WhileItSeals_FirstRecordWins) {
  fleet.TopUp(100'000);
  fleet.Spend(holder, 200);
  HeldGrant& grant = *holder.FirstGrant();
  const LogPosition id = grant.id;
  TestDaemon& witness = fleet[1];
  witness.view.silent[holder.Ref()] = seconds(20);
  holder.view.silent[witness.Ref()] = seconds(4);
  fleet.now = fleet.now + seconds(1);
  witness.agent->OnTick(fleet.now, witness.out);
  holder.agent->OnTick(fleet.now, holder.out);

  fleet.AppendRecords(holder);
  fleet.AppendRecords(witness);
  witness.view.silent.clear();
  fleet.Run(seconds(1));
  EXPECT_FALSE(this->FoldedGrant(id).sealed);
  EXPECT_NE(this->FoldedGrant(id).fine.vm, witness.Ref());
}

// Guards against a restarted daemon that spends, or loses, what its earlier
// life held: the witnesses seal, the rest returns, only the step is lost.
TEST_F(EscrowAgentFaultsTest, Restart_WithOpenGrants_ReturnsAllButTheStep) {
  fleet.TopUp(100'000);
  fleet.Spend(holder, 200);
  const Tokens step = holder.agent->Figures("org").fine_step;
  const VmRef old_life = holder.Ref();
  fleet.paused["z1a"] = true;
  this->BelieveRestarted();
  fleet.Run(seconds(12));

  const Account& account = fleet.AccountAt(fleet[3]);
  EXPECT_EQ(account.open, Tokens(0));
  EXPECT_GT(account.written_off, Tokens(0));
  EXPECT_LE(account.written_off, step);
  EXPECT_EQ(account.grants.begin()->second.cause,
            "holder " + old_life.ToString() + " is gone");
  EXPECT_EQ(account.available + account.written_off + account.billed,
            Tokens(100'000));
}

// Guards against usage above the reservation that the organisation pays.
TEST_F(EscrowAgentFaultsTest, Settle_MoreThanReserved_OperatorBearsTheExcess) {
  fleet.TopUp(10'000);
  const ReserveResult result = fleet.ReserveAndWait(holder, 500);
  holder.agent->Settle(fleet.now, result.id, Tokens(800));
  holder.agent->Confirm(fleet.now, result.id, true);
  fleet.Run(seconds(20));
  EXPECT_EQ(fleet.AccountAt(fleet[3]).billed, Tokens(500));
  EXPECT_EQ(fleet.AccountAt(fleet[3]).overrun, Tokens(300));
}

// Guards against a second run of a key that is billed.
TEST_F(EscrowAgentFaultsTest, Confirm_BilledElsewhere_FreesTheTokens) {
  fleet.TopUp(10'000);
  const ReserveResult result = fleet.ReserveAndWait(holder, 500);
  holder.agent->Settle(fleet.now, result.id, Tokens(400));
  EXPECT_EQ(holder.FirstGrant()->Used(), Tokens(400));
  EXPECT_EQ(holder.FirstGrant()->confirmed, Tokens(0));
  holder.agent->Confirm(fleet.now, result.id, false);
  EXPECT_EQ(holder.FirstGrant()->Used(), Tokens(0));
}

// Guards against tokens of an unknown outcome, or of an upstream that never
// reports, that become available or are billed.
TEST_F(EscrowAgentFaultsTest, Abandon_NeverReported_IsWrittenOffWithCause) {
  fleet.TopUp(10'000);
  const ReserveResult result = fleet.ReserveAndWait(holder, 500);
  holder.agent->Abandon(fleet.now, result.id);
  holder.agent->Settle(fleet.now, result.id, Tokens(100));  // too late
  holder.agent->BeginDrain(fleet.now, holder.out);
  fleet.Run(seconds(7));

  const Account& account = fleet.AccountAt(fleet[3]);
  EXPECT_EQ(account.billed, Tokens(0));
  EXPECT_EQ(account.written_off, Tokens(500));
  EXPECT_EQ(account.available, Tokens(9'500));
  ASSERT_EQ(account.grants.size(), 1U);
  EXPECT_EQ(account.grants.begin()->second.cause, "outcome unknown");
}

/// Two holders; z1a has tokens, the pool and the log are out of reach.
class EscrowTransferTest : public EscrowAgentFaultsTest {
 protected:
  EscrowTransferTest() {
    fleet.TopUp(100'000);
    fleet.Spend(receiver, 100);
    fleet.Spend(holder, 100);
    for (size_t i = 0; i < 4; ++i) fleet[i].view.log_reachable = false;
    this->Ask();
  }
  /// Makes the receiver ask and keeps the holder's answer.
  void Ask() {
    pb::PeerMessage ask;
    ask.mutable_grant_ask()->set_organisation("org");
    ask.mutable_grant_ask()->set_wanted(50);
    ask.mutable_grant_ask()->set_ask_id(900);
    ask.mutable_grant_ask()->set_minimum(50);
    holder.agent->OnMessage(fleet.now, receiver.Ref(), ask, holder.out);
    for (const Envelope& envelope : holder.out.messages) {
      if (envelope.body.has_transfer()) this->transfer = envelope.body;
    }
    holder.out.messages.clear();
  }
  Tokens ReceiverUnused() {
    return receiver.agent->Budgets().All().front()->Unused();
  }

  TestDaemon& receiver = this->fleet[2];
  pb::PeerMessage transfer;
};

// Guards against a share that is counted twice when its message is doubled, or
// arrives once more after the receiver has closed it.
TEST_F(EscrowTransferTest, OnTransfer_DoubledOrLate_CountsOnce) {
  ASSERT_EQ(this->transfer.transfer().record().amount(), 50);
  const Tokens before = this->ReceiverUnused();
  for (int i = 0; i < 2; ++i) {
    receiver.agent->OnMessage(fleet.now, holder.Ref(), this->transfer,
                              receiver.out);
    EXPECT_EQ(this->ReceiverUnused(), before + Tokens(50));
  }

  for (size_t i = 0; i < 4; ++i) fleet[i].view.log_reachable = true;
  fleet.Run(seconds(4));
  const size_t grants = receiver.agent->Budgets().GrantCount();
  receiver.agent->OnMessage(fleet.now, holder.Ref(), this->transfer,
                            receiver.out);
  EXPECT_EQ(receiver.agent->Budgets().GrantCount(), grants);
}

// Guards against a share that is lost with its message: the giver repeats it
// until it is acknowledged.
TEST_F(EscrowTransferTest, Give_MessageLost_IsSentAgain) {
  const Tokens given = holder.FirstGrant()->given;
  EXPECT_EQ(given, Tokens(50));
  const Tokens before = this->ReceiverUnused();
  fleet.Run(seconds(1));
  EXPECT_EQ(this->ReceiverUnused(), before + Tokens(50));
  EXPECT_EQ(holder.FirstGrant()->given, given);
}

// Guards against a share that is spent though its giver's seal put the tokens
// back: the giver counted it below its ceiling before it was sent.
TEST_F(EscrowTransferTest, OnTransfer_AfterTheGiversSeal_IsCovered) {
  const LogPosition id = holder.FirstGrant()->id;
  holder.out.records.clear();  // the giver dies before its append
  fleet.paused["z1a"] = true;
  for (size_t i = 1; i < 4; ++i) fleet[i].view.log_reachable = true;
  this->BelieveRestarted();
  fleet.Run(seconds(1));
  ASSERT_TRUE(this->FoldedGrant(id).sealed);

  receiver.agent->OnMessage(fleet.now, holder.Ref(), this->transfer,
                            receiver.out);
  receiver.agent->OnTick(fleet.now, receiver.out);
  fleet.Run(seconds(2));
  EXPECT_EQ(this->FoldedGrant(id).transferred, Tokens(50));
  EXPECT_TRUE(fleet[3].ledger.Verify());
}

}  // namespace
}  // namespace fuchsiadrum::budget
