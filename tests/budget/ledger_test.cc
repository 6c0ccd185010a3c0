#include "fuchsiadrum/budget/ledger.h"

#include <gtest/gtest.h>

#include "tests/budget/test_records.h"

namespace fuchsiadrum::budget {
namespace {

class LedgerTest : public ::testing::Test {
 protected:
  LedgerTest() { this->Apply({"operator", 1}, TopUpRecord("t1", 1'000)); }

  Verdict Apply(const VmRef& writer, const pb::Record& record) {
    return this->ledger.Apply({this->next++, 0}, writer, record);
  }
  /// Grants 400 tokens with a ceiling of 100 acknowledged.
  LogPosition MakeGrant() {
    const LogPosition id{this->next, 0};
    EXPECT_EQ(this->Apply(kHolder, GrantRecord(400, 100)), Verdict::kAccepted);
    return id;
  }
  const Account& Org() { return *this->ledger.Find("org"); }

  Ledger ledger;
  uint64_t next = 1;
};

// Guards against a retried top-up that doubles a budget.
TEST_F(LedgerTest, Apply_TopUpTwice_CountsOnce) {
  EXPECT_EQ(this->Apply({"operator", 1}, TopUpRecord("t1", 1'000)),
            Verdict::kDuplicate);
  EXPECT_EQ(this->Org().available, Tokens(1'000));
  EXPECT_EQ(this->Apply({"operator", 1}, TopUpRecord("t2", 0)),
            Verdict::kRejected);
}

// Guards against grants that the pool does not cover.
TEST_F(LedgerTest, Apply_GrantAbovePool_IsRejected) {
  EXPECT_EQ(this->Apply(kHolder, GrantRecord(1'001, 0)), Verdict::kRejected);
  EXPECT_EQ(this->Apply(kOther, GrantRecord(10, 0)), Verdict::kRejected);
}

// Guards against a repeated or older settlement that bills twice.
TEST_F(LedgerTest, Apply_SettleRepeatedOrOlder_BillsOnce) {
  const LogPosition id = this->MakeGrant();
  EXPECT_EQ(this->Apply(kHolder, SettleRecord(id, 80)), Verdict::kAccepted);
  EXPECT_EQ(this->Apply(kHolder, SettleRecord(id, 80)), Verdict::kDuplicate);
  EXPECT_EQ(this->Apply(kHolder, SettleRecord(id, 50)), Verdict::kDuplicate);
  EXPECT_EQ(this->Org().billed, Tokens(80));
  EXPECT_EQ(this->Apply(kOther, SettleRecord(id, 90)), Verdict::kRejected);
}

// Guards against a seal that races a settlement: either order bills the larger
// spend once and keeps what may still be used out of the pool.
TEST_F(LedgerTest, Apply_SealAndSettle_AnyOrder_GiveTheSameState) {
  const LogPosition first = this->MakeGrant();
  const LogPosition second = this->MakeGrant();
  this->Apply(kHolder, SettleRecord(first, 90));
  this->Apply(kFine, SealRecord(first, kFine, first, 100, 60));
  this->Apply(kFine, SealRecord(second, kFine, second, 100, 60));
  this->Apply(kHolder, SettleRecord(second, 90));

  for (const LogPosition id : {first, second}) {
    EXPECT_EQ(this->ledger.FindGrant(id)->spent, Tokens(90));
    EXPECT_EQ(this->ledger.FindGrant(id)->amount, Tokens(100));
  }
  EXPECT_EQ(this->Org().available, Tokens(800));
  EXPECT_EQ(this->Org().open, Tokens(20));
}

// Guards against overspend by a witness that was replaced, appointed again at a
// higher ceiling, and whose old seal arrives only then.
TEST_F(LedgerTest, Apply_SealOfEarlierTerm_IsRejected) {
  const LogPosition id = this->MakeGrant();
  this->Apply(kHolder, ReplaceRecord(id, kFine, kOther, 100));
  const LogPosition again{this->next, 0};
  this->Apply(kHolder, ReplaceRecord(id, kOther, kFine, 300));

  EXPECT_EQ(this->Apply(kFine, SealRecord(id, kFine, id, 100, 0)),
            Verdict::kRejected);
  EXPECT_EQ(this->Apply(kFine, SealRecord(id, kFine, again, 300, 0)),
            Verdict::kAccepted);
  EXPECT_EQ(this->ledger.FindGrant(id)->amount, Tokens(300));
}

// Guards against a replacement that revives a sealed grant.
TEST_F(LedgerTest, Apply_ReplaceWitnessAfterSeal_IsRejected) {
  const LogPosition id = this->MakeGrant();
  this->Apply(kFine, SealRecord(id, kFine, id, 100, 0));
  EXPECT_EQ(this->Apply(kHolder, ReplaceRecord(id, kFine, kOther, 100)),
            Verdict::kRejected);
  EXPECT_EQ(this->Apply(kCoarse, SealRecord(id, kCoarse, id, 400, 0)),
            Verdict::kDuplicate);
}

// Guards against a share that is lost or counted twice when its giver is
// sealed, written off or repeats the record.
TEST_F(LedgerTest, Apply_TransferAfterSealAndWriteOff_MovesTheShareOnce) {
  const LogPosition id = this->MakeGrant();
  this->Apply(kFine, SealRecord(id, kFine, id, 100, 30));
  this->Apply(kOther, WriteOffRecord(id));
  EXPECT_EQ(this->Org().written_off, Tokens(70));

  const LogPosition share{this->next, 0};
  EXPECT_EQ(this->Apply(kOther, TransferOf(id, "x", kOther, 40)),
            Verdict::kAccepted);
  EXPECT_EQ(this->Apply(kHolder, TransferOf(id, "x", kOther, 40)),
            Verdict::kDuplicate);
  EXPECT_EQ(this->Apply(kHolder, TransferOf(id, "y", kOther, 40)),
            Verdict::kRejected);
  EXPECT_EQ(this->ledger.FindGrant(share)->Remainder(), Tokens(40));
  EXPECT_EQ(this->Org().written_off, Tokens(30));
}

// Guards against a written-off grant whose holder comes back and finds its
// spend unbilled and the rest lost.
TEST_F(LedgerTest, Apply_CloseAfterWriteOff_ReturnsTheRest) {
  const LogPosition id = this->MakeGrant();
  this->Apply(kFine, SealRecord(id, kFine, id, 100, 0));
  this->Apply(kOther, WriteOffRecord(id));
  this->Apply(kHolder, CloseRecord(id, 60, 10));

  EXPECT_EQ(this->Org().billed, Tokens(60));
  EXPECT_EQ(this->Org().written_off, Tokens(10));
  EXPECT_EQ(this->Org().available, Tokens(930));
  EXPECT_EQ(this->ledger.FindGrant(id)->cause, "outcome unknown");
}

// Guards against a return below what is billed or moved.
TEST_F(LedgerTest, Apply_ReturnBelowSpent_IsRejected) {
  const LogPosition id = this->MakeGrant();
  this->Apply(kHolder, SettleRecord(id, 80));
  EXPECT_EQ(this->Apply(kHolder, ReturnRecord(id, 79)), Verdict::kRejected);
  EXPECT_EQ(this->Apply(kHolder, ReturnRecord(id, 80)), Verdict::kAccepted);
  EXPECT_EQ(this->Org().available, Tokens(920));
}

// Guards against a snapshot that loses a part of the state.
TEST_F(LedgerTest, Load_OfSave_GivesTheSameDigest) {
  const LogPosition id = this->MakeGrant();
  this->Apply(kHolder, TransferOf(id, "x", kOther, 40));
  this->Apply(kFine, SealRecord(id, kFine, id, 100, 30));
  this->Apply(kOther, WriteOffRecord(id));
  this->MakeGrant();
  pb::Snapshot snapshot;
  this->ledger.Save(snapshot);

  Ledger loaded;
  ASSERT_TRUE(loaded.Load(snapshot));
  EXPECT_TRUE(loaded.Verify());
  EXPECT_EQ(loaded.Digest(), this->ledger.Digest());
  EXPECT_EQ(loaded.Find("org")->available, this->Org().available);

  snapshot.mutable_ledger()->mutable_accounts(0)->set_topped_up(1);
  EXPECT_FALSE(loaded.Load(snapshot));
  EXPECT_EQ(loaded.Digest(), this->ledger.Digest());
}

}  // namespace
}  // namespace fuchsiadrum::budget
