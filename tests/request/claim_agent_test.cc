#include "fuchsiadrum/request/claim_agent.h"

#include <gtest/gtest.h>

#include "fuchsiadrum/request/issued_key.h"
#include "tests/request/claim_fleet.h"

namespace fuchsiadrum::request {
namespace {

class ClaimAgentTest : public ::testing::Test {
 protected:
  /// Home a, witness b; c and d are entries.
  void SetUp() override {
    this->term = this->fleet.Assign("a", "b");
    this->fleet.FoldAll();
    this->fleet.Deliver();
  }

  ClaimFleet fleet;
  LogPosition term;
};

// Guards against a claim that only the home knows: it would be forgotten with
// the home, and a retry would run again.
TEST_F(ClaimAgentTest, Ask_WitnessSilent_GivesNoClaim) {
  this->fleet.Ask("c", "r1", "k");
  this->fleet.Deliver({"b"});
  EXPECT_FALSE(this->fleet.OutcomeOf("c", "r1"));
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.OutcomeOf("c", "r1"), ClaimOutcome::kRun);
}

// Guards against a second run while the first one is in progress, and against
// a finished call that runs again.
TEST_F(ClaimAgentTest, Ask_SameKeyElsewhere_RunsOnce) {
  this->fleet.Ask("c", "r1", "k");
  this->fleet.Deliver();
  this->fleet.Ask("d", "r2", "k");
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r2"), ClaimOutcome::kInProgress);

  this->fleet.Done("c", "r1", true, true);
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.BilledHere("c", "r1"), true);
  this->fleet.Ask("d", "r3", "k");
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r3"), ClaimOutcome::kDone);
  EXPECT_EQ(this->fleet.At("d").decisions.back().stored->body(), "answer");
}

// Guards against a key that a caller uses for another call by mistake: it
// would get the answer of the first one.
TEST_F(ClaimAgentTest, Ask_OtherBody_IsKeyReused) {
  this->fleet.Ask("c", "r1", "k");
  this->fleet.Deliver();
  this->fleet.Ask("d", "r2", "k", false, "y");
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r2"), ClaimOutcome::kKeyReused);
}

// Guards against two daemons that both believe to be home after a takeover:
// the former home has not read the record and still gets asked.
TEST_F(ClaimAgentTest, Ask_TwoHomes_OnlyTheNewOneClaims) {
  this->fleet.TakeOver(this->term, "b", "d");
  this->fleet.Fold("b");
  this->fleet.Fold("d");
  this->fleet.Deliver({"c"});
  this->fleet.Ask("c", "r1", "k");
  this->fleet.Ask("d", "r2", "k");
  this->fleet.Deliver();
  this->fleet.TickAll(std::chrono::milliseconds(200));
  this->fleet.Deliver();

  EXPECT_EQ(this->fleet.OutcomeOf("d", "r2"), ClaimOutcome::kRun);
  EXPECT_FALSE(this->fleet.OutcomeOf("c", "r1"));
  this->fleet.FoldAll();
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.OutcomeOf("c", "r1"), ClaimOutcome::kInProgress);
}

// Guards against intents that a takeover forgets.
TEST_F(ClaimAgentTest, TakeOver_RunningIntent_StaysClaimed) {
  this->fleet.Ask("c", "r1", "k");
  this->fleet.Deliver();
  this->fleet.TakeOver(this->term, "b", "d");
  this->fleet.FoldAll();
  this->fleet.Deliver({"a"});
  this->fleet.Ask("d", "r2", "k");
  this->fleet.Deliver({"a"});
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r2"), ClaimOutcome::kInProgress);

  this->fleet.Done("c", "r1", true, true);
  this->fleet.Deliver({"a"});
  EXPECT_EQ(this->fleet.BilledHere("c", "r1"), true);
}

// Guards against a new witness without the live intents: its takeover would
// let them run again.
TEST_F(ClaimAgentTest, ReplaceWitness_ThenTakeOver_KeepsIntents) {
  this->fleet.Ask("d", "r1", "k");
  this->fleet.Deliver();
  const LogPosition second = this->fleet.Replace(this->term, "c");
  this->fleet.FoldAll();
  this->fleet.Deliver({"b"});
  this->fleet.TakeOver(second, "c", "b");
  this->fleet.FoldAll();
  this->fleet.Deliver({"a"});
  this->fleet.Ask("b", "r2", "k");
  this->fleet.Deliver({"a"});
  EXPECT_EQ(this->fleet.OutcomeOf("b", "r2"), ClaimOutcome::kInProgress);
}

// Guards against a claim before the new witness has the bulk.
TEST_F(ClaimAgentTest, ReplaceWitness_BulkUnderWay_GivesNoClaim) {
  this->fleet.Replace(this->term, "c");
  this->fleet.FoldAll();
  this->fleet.Ask("d", "r1", "k");
  this->fleet.Deliver({"c"});
  EXPECT_FALSE(this->fleet.OutcomeOf("d", "r1"));
  this->fleet.Deliver();
  this->fleet.TickAll(std::chrono::milliseconds(200));
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r1"), ClaimOutcome::kRun);
}

// Guards against a takeover by a witness whose copy is not complete: it may
// only reset the term.
TEST_F(ClaimAgentTest, TakeOver_IncompleteReplica_IsProposedAsReset) {
  this->fleet.Replace(this->term, "c");
  this->fleet.Fold("c");
  this->fleet.At("c").peers.dead = {"a"};
  for (int i = 0; i < 8; ++i) {
    this->fleet.now = this->fleet.now + std::chrono::milliseconds(500);
    this->fleet.Tick("c");
  }
  ASSERT_FALSE(this->fleet.proposed.empty());
  EXPECT_TRUE(this->fleet.proposed.back().has_shard_reset());
}

// Guards against a cut-off daemon that resets the shards of all others.
TEST_F(ClaimAgentTest, Reset_DaemonThatHearsNobody_IsNotProposed) {
  this->fleet.At("d").peers.silent = {{"a", std::chrono::minutes(5)},
                                      {"b", std::chrono::minutes(5)},
                                      {"c", std::chrono::minutes(5)}};
  this->fleet.At("d").peers.alive.clear();
  for (int i = 0; i < 8; ++i) {
    this->fleet.now = this->fleet.now + std::chrono::milliseconds(500);
    this->fleet.Tick("d");
  }
  EXPECT_TRUE(this->fleet.proposed.empty());
}

// Guards against calls of a lost term that run again, and against fresh keys
// of the fleet that wait for an operator.
TEST_F(ClaimAgentTest, Reset_OldKeyIsUnknown_IssuedKeyRuns) {
  this->fleet.Ask("c", "r1", "k");
  this->fleet.Deliver();
  Rng rng(3);
  const std::string old_key = IssueKey(0, this->term, rng);
  const LogPosition reset = this->fleet.Reset(this->term, "c", "d");
  this->fleet.FoldAll();
  this->fleet.Deliver();

  this->fleet.Ask("d", "r2", "k");
  this->fleet.Ask("d", "r3", old_key);
  this->fleet.Ask("d", "r4", IssueKey(0, reset, rng));
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r2"), ClaimOutcome::kUnknown);
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r3"), ClaimOutcome::kUnknown);
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r4"), ClaimOutcome::kRun);
  EXPECT_EQ(this->fleet.Listed(), 2);
}

// Guards against a former home that has not read the reset and claims a key
// of the new term: the new home claims it too.
TEST_F(ClaimAgentTest, Reset_FormerHome_RefusesKeyOfNewTerm) {
  const LogPosition reset = this->fleet.Reset(this->term, "c", "d");
  Rng rng(3);
  this->fleet.Ask("d", "r1", IssueKey(0, reset, rng));
  this->fleet.Deliver();
  EXPECT_FALSE(this->fleet.OutcomeOf("d", "r1"));
}

// Guards against an idempotent call of a lost term that is billed twice.
TEST_F(ClaimAgentTest, Reset_IdempotentOldKey_RunsUnbilled) {
  this->fleet.Ask("d", "r1", "k", true);
  this->fleet.Deliver();
  this->fleet.Done("d", "r1", true, true);
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.BilledHere("d", "r1"), true);
  this->fleet.Reset(this->term, "c", "d");
  this->fleet.FoldAll();
  this->fleet.Deliver();

  this->fleet.Ask("b", "r2", "k", true);
  this->fleet.Deliver();
  ASSERT_EQ(this->fleet.OutcomeOf("b", "r2"), ClaimOutcome::kRun);
  this->fleet.Done("b", "r2", true, true);
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.BilledHere("b", "r2"), false);
}

// Guards against a bill that only the home knows: after a takeover a second
// run would be billed as well.
TEST_F(ClaimAgentTest, Done_WitnessSilent_IsNotBilledYet) {
  this->fleet.Ask("c", "r1", "k", true);
  this->fleet.Deliver();
  this->fleet.Done("c", "r1", true, true);
  this->fleet.Deliver({"b"});
  EXPECT_FALSE(this->fleet.BilledHere("c", "r1"));
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.BilledHere("c", "r1"), true);
}

// Guards against two runs without a claim that are both billed.
TEST_F(ClaimAgentTest, Done_TwoUnclaimedRuns_FirstIsBilled) {
  this->fleet.At("c").peers.dead = {"a"};
  this->fleet.At("d").peers.dead = {"a"};
  this->fleet.Ask("c", "r1", "k", true);
  this->fleet.Ask("d", "r2", "k", true);
  ASSERT_EQ(this->fleet.OutcomeOf("c", "r1"), ClaimOutcome::kRun);
  ASSERT_EQ(this->fleet.OutcomeOf("d", "r2"), ClaimOutcome::kRun);
  this->fleet.Done("c", "r1", true, true);
  this->fleet.Done("d", "r2", true, true);
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.BilledHere("c", "r1"), true);
  EXPECT_EQ(this->fleet.BilledHere("d", "r2"), false);
}

// Guards against a lost acknowledgement: the completion is repeated, and the
// repetition gets the same bill.
TEST_F(ClaimAgentTest, Done_AckLost_IsRepeatedWithSameBill) {
  this->fleet.Ask("c", "r1", "k");
  this->fleet.Deliver();
  this->fleet.Done("c", "r1", true, true);
  this->fleet.Deliver({"c"});
  this->fleet.messages.clear();
  EXPECT_FALSE(this->fleet.BilledHere("c", "r1"));
  this->fleet.TickAll(std::chrono::milliseconds(200));
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.BilledHere("c", "r1"), true);
  EXPECT_EQ(this->fleet.At("c").billings.size(), 1U);
}

// Guards against a claim that arrives after its request was refused: the key
// would stay blocked.
TEST_F(ClaimAgentTest, Ask_ClaimAfterTimeout_IsReleased) {
  this->fleet.Ask("c", "r1", "k");
  this->fleet.now = this->fleet.now + std::chrono::seconds(3);
  this->fleet.Tick("c");
  EXPECT_EQ(this->fleet.OutcomeOf("c", "r1"), ClaimOutcome::kRefused);

  // The release overtakes the ask.
  std::swap(this->fleet.messages.front(), this->fleet.messages.back());
  this->fleet.Deliver();
  this->fleet.Ask("d", "r2", "k");
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r2"), ClaimOutcome::kRun);
}

// Guards against a dead entry: its idempotent call may run again, any other is
// unknown for ever and listed.
TEST_F(ClaimAgentTest, EntryLost_NonIdempotent_IsUnknownAndListed) {
  this->fleet.Ask("c", "r1", "once");
  this->fleet.Ask("c", "r2", "again", true);
  this->fleet.Deliver();
  this->fleet.At("a").peers.dead = {"c"};
  for (int i = 0; i < 6; ++i) {
    this->fleet.now = this->fleet.now + std::chrono::milliseconds(500);
    this->fleet.Tick("a");
  }
  this->fleet.Ask("d", "r3", "once");
  this->fleet.Ask("d", "r4", "again", true);
  this->fleet.Deliver();
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r3"), ClaimOutcome::kUnknown);
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r4"), ClaimOutcome::kRun);
  EXPECT_EQ(this->fleet.Listed(), 1);
}

// Guards against a daemon that was paused and takes its peers for dead.
TEST_F(ClaimAgentTest, Tick_AfterPause_ConcludesNothing) {
  this->fleet.Ask("c", "r1", "k");
  this->fleet.Deliver();
  this->fleet.At("a").peers.dead = {"b", "c", "d"};
  this->fleet.now = this->fleet.now + std::chrono::minutes(10);
  this->fleet.Tick("a");
  EXPECT_TRUE(this->fleet.proposed.empty());
}

// Guards against a stop that leaves a shard without a home.
TEST_F(ClaimAgentTest, BeginDrain_Home_HandsOverWithIntents) {
  this->fleet.Ask("c", "r1", "k");
  this->fleet.Deliver();
  Outbox out;
  this->fleet.At("a").agent.BeginDrain(this->fleet.now, out);
  for (int i = 0; i < 8; ++i) {
    this->fleet.now = this->fleet.now + std::chrono::milliseconds(500);
    this->fleet.Tick("a");
  }
  ASSERT_FALSE(this->fleet.proposed.empty());
  ASSERT_TRUE(this->fleet.proposed.back().has_shard_hand_over());
  this->fleet.Append(this->fleet.proposed.back());
  this->fleet.FoldAll();
  this->fleet.Deliver();
  EXPECT_TRUE(this->fleet.At("a").agent.IsDrained());

  this->fleet.Ask("d", "r2", "k");
  this->fleet.Deliver({"a"});
  EXPECT_EQ(this->fleet.OutcomeOf("d", "r2"), ClaimOutcome::kInProgress);
}

// Guards against an empty key that lets a non-idempotent call run unprotected.
TEST_F(ClaimAgentTest, Ask_WithoutKey_OnlyIdempotentRuns) {
  this->fleet.Ask("c", "r1", "");
  this->fleet.Ask("c", "r2", "", true);
  EXPECT_EQ(this->fleet.OutcomeOf("c", "r1"), ClaimOutcome::kKeyMissing);
  EXPECT_EQ(this->fleet.OutcomeOf("c", "r2"), ClaimOutcome::kRun);
}

class ClaimAgentMemoryTest : public ::testing::Test {};

// Guards against stored answers that grow without bound, and against an
// evicted answer whose call runs again.
TEST_F(ClaimAgentMemoryTest, Done_AnswersAboveLimit_AreEvictedNotForgotten) {
  ClaimFleet fleet({.max_answer_bytes = 1000});
  fleet.Assign("a", "b");
  fleet.FoldAll();
  fleet.Deliver();
  for (int i = 0; i < 20; ++i) {
    const std::string n = std::to_string(i);
    fleet.Ask("c", "r" + n, "k" + n);
    fleet.Deliver();
    fleet.Done("c", "r" + n, true, true, std::string(100, 'x'));
    fleet.Deliver();
  }
  EXPECT_LE(fleet.At("a").agent.Home().AnswerBytes(), 1000U);
  EXPECT_LE(fleet.At("b").agent.Witness().BodyBytes(), 1000U);
  fleet.Ask("d", "again", "k0");
  fleet.Deliver();
  ASSERT_EQ(fleet.OutcomeOf("d", "again"), ClaimOutcome::kDone);
  EXPECT_TRUE(fleet.At("d").decisions.back().stored->body_gone());
}

// Guards against a full memory that forgets keys early: new calls are refused
// instead.
TEST_F(ClaimAgentMemoryTest, Ask_KeysAtLimit_RefusesUntilOldOnesExpire) {
  ClaimFleet fleet({.max_keys = 2});
  fleet.Assign("a", "b");
  fleet.FoldAll();
  fleet.Deliver();
  for (const char* n : {"1", "2"}) {
    fleet.Ask("c", std::string("r") + n, std::string("k") + n);
    fleet.Deliver();
    fleet.Done("c", std::string("r") + n, true, true);
    fleet.Deliver();
  }
  fleet.Ask("c", "r3", "k3");
  fleet.Deliver();
  EXPECT_EQ(fleet.OutcomeOf("c", "r3"), ClaimOutcome::kRefused);
  fleet.now = fleet.now + std::chrono::hours(2);
  fleet.Ask("c", "r4", "k4");
  fleet.Deliver();
  EXPECT_EQ(fleet.OutcomeOf("c", "r4"), ClaimOutcome::kRun);

  // Guards against a witness that keeps what the home forgot.
  fleet.TakeOver({1, 0}, "b", "d");
  fleet.FoldAll();
  EXPECT_EQ(fleet.At("b").agent.Home().Keys(), 2U);
}

}  // namespace
}  // namespace fuchsiadrum::request
