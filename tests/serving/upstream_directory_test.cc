#include "fuchsiadrum/serving/upstream_directory.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace fuchsiadrum::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UpstreamDirectoryTest : public testing::Test {
 protected:
  UpstreamDirectory directory{UpstreamDirectoryOptions()};
  TimePoint now{1'000'000'000};

  static UpstreamEntry Entry(std::string id, bool draining = false) {
    return {.id = std::move(id),
            .service = "draft",
            .address = "10.0.0.1:80",
            .started_unix_ms = 7,
            .draining = draining};
  }
  static UpstreamEntry Numbered(std::string id, int64_t sequence,
                                bool draining = false) {
    UpstreamEntry entry = Entry(std::move(id), draining);
    entry.sequence = sequence;
    return entry;
  }
  void Pass(Duration time) {
    this->now = this->now + time;
    this->directory.OnTick(this->now);
  }
  std::vector<std::string> Usable(
      const std::vector<std::string>& excluded = {}) {
    std::vector<std::string> ids;
    for (const auto& upstream :
         this->directory.Candidates(this->now, "draft", excluded)) {
      ids.push_back(upstream->entry.id);
    }
    return ids;
  }
  FleetUpstreamPtr Find(const std::string& id) {
    for (const auto& upstream :
         this->directory.Candidates(this->now, "draft")) {
      if (upstream->entry.id == id) return upstream;
    }
    return nullptr;
  }
};

TEST_F(UpstreamDirectoryTest, DrainingUpstream_GetsNoRequest) {
  this->directory.Put(this->now, Entry("a"));
  this->directory.Put(this->now, Entry("a", true));

  EXPECT_TRUE(this->Usable().empty());
}

TEST_F(UpstreamDirectoryTest, DrainingUpstream_StaysSoInTheSameIncarnation) {
  this->directory.Put(this->now, Entry("a", true));
  this->directory.Put(this->now, Entry("a", false));
  EXPECT_TRUE(this->Usable().empty());

  UpstreamEntry restarted = Entry("a");
  restarted.started_unix_ms = 8;
  this->directory.Put(this->now, restarted);
  EXPECT_EQ(this->Usable().size(), 1U);
}

TEST_F(UpstreamDirectoryTest, MissingUpstream_IsUsedOnlyWithoutAnother) {
  this->directory.Put(this->now, Entry("a"));
  this->directory.Put(this->now, Entry("b"));
  this->directory.Remove(this->now, "a");
  EXPECT_EQ(this->Usable(), std::vector<std::string>{"b"});

  this->directory.Remove(this->now, "b");
  EXPECT_EQ(this->Usable().size(), 2U);
}

// Drain rule: an upstream whose entry was deleted gets no request after the
// drain time.
TEST_F(UpstreamDirectoryTest, MissingUpstream_IsGoneAfterItsTime) {
  this->directory.Put(this->now, Entry("a"));
  this->directory.Remove(this->now, "a");
  this->now = this->now + std::chrono::milliseconds(1300);

  EXPECT_TRUE(this->Usable().empty());
}

TEST_F(UpstreamDirectoryTest, ShortDrainTime_ShortensTheWaitForMissingOnes) {
  const Duration one_second = std::chrono::seconds(1);
  EXPECT_LT(KeepMissingTime(one_second), one_second);
  EXPECT_EQ(KeepMissingTime(std::chrono::seconds(9)),
            UpstreamDirectoryOptions().keep_missing);
}

// Entries expire while the store is unreachable and reappear within two seconds
// after that.
TEST_F(UpstreamDirectoryTest,
       EntriesExpiredInAnOutage_AreKeptUntilTheyReappear) {
  this->directory.Put(this->now, Entry("a"));
  this->directory.OnStoreReconnected(this->now);
  this->directory.Remove(this->now, "a");
  this->now = this->now + std::chrono::milliseconds(2000);
  EXPECT_EQ(this->Usable().size(), 1U);

  this->now = this->now + std::chrono::milliseconds(400);
  EXPECT_TRUE(this->Usable().empty());
}

// An upstream that restarts under the same id has lost its prompt cache.
TEST_F(UpstreamDirectoryTest, SameIdWithAnotherStart_IsANewUpstream) {
  this->directory.Put(this->now, Entry("a"));
  const std::vector<PromptPart> parts = {{.id = 1, .tokens = 100}};
  this->directory.Candidates(this->now, "draft")[0]->cache.Use(parts);
  UpstreamEntry restarted = Entry("a");
  restarted.started_unix_ms = 8;
  this->directory.Put(this->now, restarted);

  EXPECT_EQ(
      this->directory.Candidates(this->now, "draft")[0]->cache.CachedTokens(
          parts),
      0);
}

TEST_F(UpstreamDirectoryTest, EjectedUpstream_IsOmitted_UnlessMostAre) {
  for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
    this->directory.Put(this->now, Entry(id));
  }
  this->Find("a")->OnUnreachable(this->now);
  EXPECT_EQ(this->Usable(),
            (std::vector<std::string>{"b", "c", "d", "e", "f"}));

  for (const char* id : {"b", "c", "d", "e", "f"}) {
    this->Find(id)->OnUnreachable(this->now);
  }
  EXPECT_EQ(this->Usable().size(), 6U);
}

// A request that was rejected by one of two upstreams must reach the other one,
// even if that one was ejected.
TEST_F(UpstreamDirectoryTest, ExcludedUpstream_LeavesTheEjectedOne) {
  this->directory.Put(this->now, Entry("a"));
  this->directory.Put(this->now, Entry("b"));
  this->Find("b")->OnUnreachable(this->now);
  EXPECT_EQ(this->Usable(), std::vector<std::string>{"a"});
  EXPECT_EQ(this->Usable({"a"}), std::vector<std::string>{"b"});
  EXPECT_TRUE(this->Usable({"a", "b"}).empty());
}

// Drain rule: an announced shutdown holds although the store may still list the
// upstream as ready, and its entry may be deleted and reappear.
TEST_F(UpstreamDirectoryTest, AnnouncedShutdown_OutlivesTheEntry) {
  this->directory.Put(this->now, Entry("a"));
  EXPECT_TRUE(this->directory.OnLeaving(this->now, *this->Find("a")));
  this->directory.Put(this->now, Entry("a"));
  EXPECT_TRUE(this->Usable().empty());

  this->directory.Remove(this->now, "a");
  this->directory.Put(this->now, Entry("a"));
  EXPECT_TRUE(this->Usable().empty());

  UpstreamEntry restarted = Entry("a");
  restarted.started_unix_ms = 8;
  this->directory.Put(this->now, restarted);
  EXPECT_EQ(this->Usable().size(), 1U);
}

// An answer of the former incarnation that arrives late must not replace what
// the new one has announced, nor remove its entry.
TEST_F(UpstreamDirectoryTest, LateAnswerOfFormerIncarnation_ChangesNothing) {
  this->directory.Put(this->now, Entry("a"));
  const FleetUpstreamPtr former = this->Find("a");
  UpstreamEntry restarted = Entry("a");
  restarted.started_unix_ms = 8;
  this->directory.Put(this->now, restarted);
  const FleetUpstreamPtr current = this->Find("a");
  ASSERT_NE(former, current);
  this->directory.OnPause(this->now, *current, std::chrono::seconds(5));
  ASSERT_TRUE(this->Usable().empty());

  this->directory.OnPause(this->now, *former, std::chrono::milliseconds(1));
  EXPECT_FALSE(this->directory.OnLeaving(this->now, *former));
  EXPECT_FALSE(this->directory.OnLimit(this->now, *former, 0.1, this->now));
  this->directory.EraseMisdirected(*former);
  EXPECT_TRUE(this->Usable().empty()) << "the pause is forgotten";

  this->now = this->now + std::chrono::seconds(6);
  EXPECT_EQ(this->Usable(), std::vector<std::string>{"a"});
  this->directory.EraseMisdirected(*current);
  EXPECT_TRUE(this->Usable().empty());
}

// Budget rule: a requested pause is kept even if no other upstream is left.
TEST_F(UpstreamDirectoryTest, PausingUpstream_GetsNoRequestUntilThePauseEnds) {
  this->directory.Put(this->now, Entry("a"));
  this->directory.Put(this->now, Entry("b"));
  const FleetUpstreamPtr first = this->Find("a");
  const FleetUpstreamPtr second = this->Find("b");
  this->directory.OnPause(this->now, *first, std::chrono::seconds(2));
  this->directory.OnPause(this->now, *first, std::chrono::seconds(1));
  this->directory.OnPause(this->now, *second, std::chrono::seconds(3));
  EXPECT_TRUE(this->Usable().empty());
  EXPECT_EQ(this->directory.FirstPauseEnd(this->now, "draft"),
            this->now + std::chrono::seconds(2));

  this->now = this->now + std::chrono::seconds(2);
  EXPECT_EQ(this->Usable(), std::vector<std::string>{"a"});
}

// DRAIN: a late answer of the process that had the id before is no reason to
// forget what the new one has announced.
TEST_F(UpstreamDirectoryTest,
       NoticeOfTheFormerProcess_LeavesTheNewOnesInForce) {
  this->directory.Put(this->now, Entry("a"));
  const FleetUpstreamPtr former = this->Find("a");
  UpstreamEntry restarted = Entry("a");
  restarted.started_unix_ms = 8;
  this->directory.Put(this->now, restarted);
  this->directory.OnPause(this->now, *this->Find("a"), std::chrono::seconds(1));
  ASSERT_TRUE(this->Usable().empty());

  this->directory.OnLeaving(this->now, *former);
  EXPECT_TRUE(this->Usable().empty());
}

TEST_F(UpstreamDirectoryTest, PauseWithoutEnd_IsBounded) {
  this->directory.Put(this->now, Entry("a"));
  this->directory.OnPause(this->now, *this->Find("a"), std::chrono::hours(500));

  this->now = this->now + std::chrono::minutes(10);
  this->directory.OnTick(this->now);
  EXPECT_EQ(this->Usable().size(), 1U);
}

// DRAIN: a write that the network held up is carried out after the upstream's
// entry was deleted and its time is over.
TEST_F(UpstreamDirectoryTest, OlderEntryOfARemovedUpstream_DoesNotBringItBack) {
  this->directory.Put(this->now, Numbered("a", 5));
  this->directory.Remove(this->now, "a");
  this->Pass(seconds(2));
  ASSERT_EQ(this->directory.Size(), 0U);

  EXPECT_FALSE(this->directory.Put(this->now, Numbered("a", 4)));
  EXPECT_TRUE(this->Usable().empty());
  EXPECT_FALSE(this->directory.Put(this->now, Numbered("a", 5)));
  EXPECT_TRUE(this->Usable().empty());
}

// DRAIN: the upstream was draining, its entry was deleted, and the store came
// back from a copy in which it is ready.
TEST_F(UpstreamDirectoryTest, RestoredEntryOfADrainedUpstream_IsNotBelieved) {
  this->directory.Put(this->now, Numbered("a", 5));
  this->directory.Put(this->now, Numbered("a", 6, true));
  this->directory.Remove(this->now, "a");
  this->directory.OnStoreRestored(this->now);

  EXPECT_FALSE(this->directory.Put(this->now, Numbered("a", 5)));
  this->Pass(seconds(59));
  EXPECT_FALSE(this->directory.Put(this->now, Numbered("a", 5)));
  EXPECT_TRUE(this->Usable().empty());
}

// An entry that is not newer counted as a sign of life of a missing upstream.
TEST_F(UpstreamDirectoryTest, OlderEntryOfAMissingUpstream_IsNoSignOfLife) {
  this->directory.Put(this->now, Numbered("a", 5));
  this->directory.Remove(this->now, "a");
  EXPECT_FALSE(this->directory.Put(this->now, Numbered("a", 5)));
  this->Pass(milliseconds(1300));

  EXPECT_TRUE(this->Usable().empty());
}

// Entries that expired while the store was away come back with higher
// sequences.
TEST_F(UpstreamDirectoryTest, NewerEntryOfARemovedUpstream_BringsItBack) {
  this->directory.Put(this->now, Numbered("a", 5));
  this->directory.Remove(this->now, "a");
  this->Pass(seconds(2));

  EXPECT_TRUE(this->directory.Put(this->now, Numbered("a", 6)));
  EXPECT_EQ(this->Usable().size(), 1U);
}

// A late entry of the process that had the id before replaced the new one.
TEST_F(UpstreamDirectoryTest, OlderEntryOfAFormerIncarnation_ReplacesNothing) {
  this->directory.Put(this->now, Numbered("a", 5));
  UpstreamEntry restarted = Numbered("a", 1);
  restarted.started_unix_ms = 8;
  EXPECT_TRUE(this->directory.Put(this->now, restarted));
  const FleetUpstreamPtr current = this->Find("a");
  this->Pass(seconds(2));

  EXPECT_FALSE(this->directory.Put(this->now, Numbered("a", 4)));
  EXPECT_EQ(this->Find("a"), current);
}

// DRAIN: draining is final, so that an entry that tells it is believed in any
// order.
TEST_F(UpstreamDirectoryTest, OlderEntryThatDrains_IsBelieved) {
  this->directory.Put(this->now, Numbered("a", 5));
  EXPECT_TRUE(this->directory.Put(this->now, Numbered("a", 4, true)));
  EXPECT_TRUE(this->Usable().empty());
}

// A restarted upstream that names no start time must not have to reach the
// count of the former process, except right after a restore.
TEST_F(UpstreamDirectoryTest, EntryWithoutStart_IsComparedAfterARestoreOnly) {
  UpstreamEntry entry = Numbered("a", 5);
  entry.started_unix_ms = 0;
  UpstreamEntry older = Numbered("a", 1);
  older.started_unix_ms = 0;
  this->directory.Put(this->now, entry);
  this->directory.Remove(this->now, "a");
  this->Pass(seconds(2));
  EXPECT_TRUE(this->directory.Put(this->now, older));

  this->directory.Put(this->now, entry);
  this->directory.Remove(this->now, "a");
  this->Pass(seconds(3));
  this->directory.OnStoreRestored(this->now);
  EXPECT_FALSE(this->directory.Put(this->now, older));
  this->Pass(seconds(10));
  EXPECT_TRUE(this->directory.Put(this->now, older));
}

// What is known of removed upstreams must not grow without bound.
TEST_F(UpstreamDirectoryTest, SequenceOfARemovedUpstream_IsForgottenInTheEnd) {
  this->directory.Put(this->now, Numbered("a", 5));
  this->directory.Remove(this->now, "a");
  this->Pass(seconds(2));
  this->Pass(std::chrono::minutes(10));

  EXPECT_TRUE(this->directory.Put(this->now, Numbered("a", 5)));
}

// The upstream's own entry, written again after another writer's, is believed.
TEST_F(UpstreamDirectoryTest, EntryAfterAnUnusableOne_MayRepeatItsSequence) {
  this->directory.Put(this->now, Numbered("a", 5));
  this->directory.OnUnusableEntry(this->now, "a");
  this->Pass(seconds(2));
  EXPECT_TRUE(this->Usable().empty());

  EXPECT_FALSE(this->directory.Put(this->now, Numbered("a", 4)));
  EXPECT_TRUE(this->directory.Put(this->now, Numbered("a", 5)));
  EXPECT_EQ(this->Usable().size(), 1U);
}

}  // namespace
}  // namespace fuchsiadrum::serving
