#include "fuchsiadrum/serving/prompt_quarantine.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace fuchsiadrum::serving {
namespace {

using Parts = std::vector<uint64_t>;

class PromptQuarantineTest : public testing::Test {
 protected:
  static constexpr uint64_t kParish = 1;
  static constexpr uint64_t kSchool = 2;
  static constexpr uint64_t kBad = 666;
  static constexpr uint64_t kFirst = 10;

  /// A crash of another upstream, with one lost run of these parts.
  UpstreamCrash Crash(const Parts& parts, uint64_t organisation = kParish,
                      bool has_begun = true) {
    const int number = ++this->made;
    LostRun run;
    run.request = 1000 + static_cast<uint64_t>(number);
    run.organisation = organisation;
    run.has_begun = has_begun;
    run.parts = parts;
    UpstreamCrash crash;
    crash.upstream = {.id = "u" + std::to_string(number),
                      .started_unix_ms = number};
    crash.runs = {run};
    return crash;
  }
  /// Time passes between two crashes, so that each counts.
  void CrashOn(const Parts& parts, uint64_t organisation = kParish,
               bool has_begun = true) {
    this->now = this->now + std::chrono::milliseconds(400);
    this->quarantine.OnCrash(this->now,
                             this->Crash(parts, organisation, has_begun));
  }
  bool IsRefused(const Parts& parts, uint64_t organisation = kParish) {
    const QuarantineCheck check =
        this->quarantine.Check(this->now, organisation, parts);
    this->quarantine.End(check);
    return check.decision == QuarantineDecision::kRefuse;
  }
  void Sound(const Parts& parts) {
    this->quarantine.OnSound(this->now, {.id = "sound"}, parts,
                             this->quarantine.Mark());
  }
  /// Reads back what the gateway writes.
  void Store() {
    const QuarantineUpdate update = this->quarantine.PlanUpdate(this->now);
    for (const UpstreamCrash& crash : update.crashes) {
      this->quarantine.OnCrashRecord(this->now, crash);
    }
    for (const std::string& key : update.ended_quarantines) {
      this->quarantine.OnQuarantineDeleted(this->now, key);
    }
    for (const Quarantine& written : update.quarantines) {
      this->quarantine.OnQuarantineRecord(this->now, written);
      this->last = written;
    }
    this->now = this->now + std::chrono::seconds(1);
  }

  TimePoint now{1'000'000'000};
  PromptQuarantine quarantine{{.holder = "vm-1/1"}};
  Quarantine last;
  int made = 0;
};

// Guards against requests with one part that go on crashing upstreams.
TEST_F(PromptQuarantineTest, PartOfThreeCrashes_IsHeldBack_CompanionsAreNot) {
  this->CrashOn({kFirst, 21, kBad});
  this->CrashOn({kFirst, 22, kBad});
  EXPECT_FALSE(this->IsRefused({kFirst, 23, kBad}));
  this->Sound({kFirst});
  this->CrashOn({kFirst, 23, kBad});
  this->Sound({kFirst});

  EXPECT_TRUE(this->IsRefused({kFirst, 24, kBad}));
  EXPECT_TRUE(this->IsRefused({kBad}));
  EXPECT_FALSE(this->IsRefused({kFirst, 21}));
  EXPECT_FALSE(this->IsRefused({kFirst, 22}));
}

// Where no run tells two parts apart, requests with one of them still run, and
// the next of them decides.
TEST_F(PromptQuarantineTest, InseparableParts_AreOnlyHeldBackTogether) {
  for (int i = 0; i < 3; ++i) this->CrashOn({kFirst, kBad});
  EXPECT_TRUE(this->IsRefused({kFirst, kBad}));
  EXPECT_FALSE(this->IsRefused({kFirst, 30}));
  EXPECT_FALSE(this->IsRefused({kBad, 30}));

  this->Store();
  this->Sound({kFirst, 30});
  EXPECT_TRUE(this->IsRefused({kBad, 30}));
  EXPECT_FALSE(this->IsRefused({kFirst, 31}));
}

// A rack or a network that fails takes many upstreams at one moment.
TEST_F(PromptQuarantineTest, CrashesAtOneMoment_CountAsOne) {
  for (int i = 0; i < 12; ++i) {
    this->now = this->now + std::chrono::milliseconds(5);
    this->quarantine.OnCrash(
        this->now, this->Crash({kFirst, static_cast<uint64_t>(40 + i % 3)}));
  }
  EXPECT_FALSE(this->IsRefused({kFirst, 40}));
  EXPECT_EQ(this->quarantine.Suspected(), 0U);
}

// What a run has proven since a crash, the crash is no longer held against.
TEST_F(PromptQuarantineTest, SoundPart_BetweenCrashes_IsNeverHeldBack) {
  for (int i = 0; i < 8; ++i) {
    this->CrashOn({kFirst, static_cast<uint64_t>(50 + i)});
    this->Sound({kFirst});
  }
  EXPECT_FALSE(this->IsRefused({kFirst, 60}));
}

// A proof from before a crash does not speak for the part after it.
TEST_F(PromptQuarantineTest, ProofFromBeforeTheCrash_ClearsNothing) {
  this->Sound({kBad});
  for (int i = 0; i < 3; ++i) this->CrashOn({kBad});
  EXPECT_TRUE(this->IsRefused({kBad}));
}

// A run that was under way when its parts were held back frees them.
TEST_F(PromptQuarantineTest, RunUnderWay_ThatEndsWell_FreesItsParts) {
  const uint64_t mark = this->quarantine.Mark();
  for (int i = 0; i < 3; ++i) this->CrashOn({kFirst});
  EXPECT_TRUE(this->IsRefused({kFirst}));
  this->quarantine.OnSound(this->now, {.id = "other"}, {kFirst}, mark);
  EXPECT_FALSE(this->IsRefused({kFirst}));
  EXPECT_EQ(this->quarantine.Quarantined(), 0U);
}

// An upstream that answers a later request has not crashed.
TEST_F(PromptQuarantineTest, UpstreamThatAnswersAgain_WasNoCrash) {
  for (int i = 0; i < 3; ++i) {
    this->CrashOn({kBad});
    this->quarantine.OnSound(
        this->now,
        {.id = "u" + std::to_string(this->made), .started_unix_ms = this->made},
        {99}, this->quarantine.Mark());
  }
  EXPECT_FALSE(this->IsRefused({kBad}));
  EXPECT_EQ(this->quarantine.Crashes(), 0U);
}

// A crash is blamed on the run that had begun to be answered, not on those that
// waited.
TEST_F(PromptQuarantineTest, WaitingRuns_BesideOneThatHadBegun_AreNotBlamed) {
  for (int i = 0; i < 4; ++i) {
    this->now = this->now + std::chrono::milliseconds(400);
    UpstreamCrash crash = this->Crash({kFirst, kBad});
    UpstreamCrash waiting = this->Crash({kFirst, 70}, kSchool, false);
    waiting.upstream = crash.upstream;
    this->quarantine.OnCrash(this->now, crash);
    this->quarantine.OnCrash(this->now, waiting);
  }
  EXPECT_TRUE(this->IsRefused({kFirst, kBad}));
  EXPECT_FALSE(this->IsRefused({kFirst, 70}, kSchool));
}

// One request that is sent again and again is no evidence against its parts.
TEST_F(PromptQuarantineTest, OneRequest_IsNoEvidence) {
  for (int i = 0; i < 4; ++i) {
    this->now = this->now + std::chrono::milliseconds(400);
    UpstreamCrash crash = this->Crash({kFirst, kBad});
    crash.runs.front().request = 5;
    this->quarantine.OnCrash(this->now, crash);
  }
  EXPECT_FALSE(this->IsRefused({kFirst, kBad}));
}

// An organisation must not keep another one's parts off by naming them.
TEST_F(PromptQuarantineTest, EvidenceOfOneOrganisation_BindsOnlyThatOne) {
  for (int i = 0; i < 3; ++i) this->CrashOn({kBad}, kParish);
  EXPECT_TRUE(this->IsRefused({kBad}, kParish));
  EXPECT_FALSE(this->IsRefused({kBad}, kSchool));

  this->CrashOn({kBad}, kSchool);
  EXPECT_TRUE(this->IsRefused({kBad}, kSchool));
  EXPECT_TRUE(this->IsRefused({kBad}, 3));
}

// A suspected part runs at one place at a time, so that it does not end nine
// upstreams at once.
TEST_F(PromptQuarantineTest, SuspectedPart_RunsOneAtATime) {
  for (int i = 0; i < 2; ++i) {
    this->CrashOn({kBad, static_cast<uint64_t>(80 + i)});
  }
  const QuarantineCheck first =
      this->quarantine.Check(this->now, kParish, {kBad, 82});
  EXPECT_EQ(first.decision, QuarantineDecision::kRunAlone);
  const QuarantineCheck second =
      this->quarantine.Check(this->now, kParish, {kBad, 83});
  EXPECT_EQ(second.decision, QuarantineDecision::kRefuse);
  EXPECT_GT(second.retry_after, Duration::zero());
  this->quarantine.End(second);
  this->quarantine.End(first);
  EXPECT_EQ(this->quarantine.Check(this->now, kParish, {kBad, 84}).decision,
            QuarantineDecision::kRunAlone);
}

// A request that may have ended its upstream gets no further one.
TEST_F(PromptQuarantineTest, RepeatAfterACrash_NeedsProvenPartsIfItHadBegun) {
  EXPECT_TRUE(this->quarantine.MayRepeat({kFirst, kBad}, false));
  EXPECT_FALSE(this->quarantine.MayRepeat({kFirst, kBad}, true));
  this->Sound({kFirst, 90});
  EXPECT_TRUE(this->quarantine.MayRepeat({kFirst, 90}, true));
  EXPECT_FALSE(this->quarantine.MayRepeat({kFirst, kBad}, true));
}

// A part is tried again, by one gateway and rarely, and is free if it is sound.
TEST_F(PromptQuarantineTest, Trial_IsRare_AndClearsASoundPart) {
  for (int i = 0; i < 3; ++i) this->CrashOn({kBad});
  this->Store();
  int trials = 0;
  for (int minute = 0; minute < 30; ++minute) {
    this->now = this->now + std::chrono::seconds(60);
    const QuarantineCheck check =
        this->quarantine.Check(this->now, kParish, {kBad});
    if (check.decision == QuarantineDecision::kTrial) ++trials;
    this->quarantine.End(check);
    this->Store();
    // The claim of a trial is read back, and the next request is the trial.
    if (this->quarantine.Check(this->now, kParish, {kBad}).decision ==
        QuarantineDecision::kTrial) {
      ++trials;
    }
  }
  EXPECT_EQ(trials, 3) << "after 10 s, 100 s and 1,000 s more";

  this->Sound({kBad});
  this->Store();
  EXPECT_FALSE(this->IsRefused({kBad}));
  EXPECT_EQ(this->quarantine.Quarantined(), 0U);
}

// The trial is made by the gateway that the stream names, no other.
TEST_F(PromptQuarantineTest, TrialOfAnotherGateway_IsNotMadeHere) {
  for (int i = 0; i < 3; ++i) this->CrashOn({kBad});
  this->Store();
  this->now = this->now + std::chrono::seconds(100);
  Quarantine claimed = this->last;
  ++claimed.trials;
  claimed.trial_holder = "vm-2/1";
  this->quarantine.OnQuarantineRecord(this->now, claimed);
  EXPECT_TRUE(this->IsRefused({kBad}));
}

// An operator deletes the record, and the same crashes do not bring it back.
TEST_F(PromptQuarantineTest, DeletedRecord_FreesThePart) {
  for (int i = 0; i < 3; ++i) this->CrashOn({kBad});
  this->Store();
  this->quarantine.OnQuarantineDeleted(this->now, QuarantineKey({kBad}));
  EXPECT_FALSE(this->IsRefused({kBad}));
  this->Store();
  EXPECT_FALSE(this->IsRefused({kBad}));
}

// Memory and records stay bounded, whatever crashes.
TEST_F(PromptQuarantineTest, ManyCrashes_StayBounded) {
  for (int i = 0; i < 500; ++i) {
    Parts parts;
    for (uint64_t part = 0; part < 100; ++part) {
      parts.push_back(1000 + part * 7 + static_cast<uint64_t>(i));
    }
    this->CrashOn(parts);
  }
  const PromptQuarantineOptions defaults;
  EXPECT_LE(this->quarantine.Crashes(), defaults.evidence.max_crashes);
  EXPECT_LE(this->quarantine.Quarantined(), defaults.max_quarantines);
}

}  // namespace
}  // namespace fuchsiadrum::serving
