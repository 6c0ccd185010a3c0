#include "fuchsiadrum/serving/upstream_directory.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

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
  std::vector<std::string> Usable() const {
    std::vector<std::string> ids;
    for (const auto& upstream :
         this->directory.Candidates(this->now, "draft")) {
      ids.push_back(upstream->entry.id);
    }
    return ids;
  }
};

TEST_F(UpstreamDirectoryTest, DrainingUpstream_GetsNoRequest) {
  this->directory.Put(Entry("a"));
  this->directory.Put(Entry("a", true));

  EXPECT_TRUE(this->Usable().empty());
}

TEST_F(UpstreamDirectoryTest, DrainingUpstream_StaysSoInTheSameLife) {
  this->directory.Put(Entry("a", true));
  this->directory.Put(Entry("a", false));
  EXPECT_TRUE(this->Usable().empty());

  UpstreamEntry reborn = Entry("a");
  reborn.started_unix_ms = 8;
  this->directory.Put(reborn);
  EXPECT_EQ(this->Usable().size(), 1U);
}

TEST_F(UpstreamDirectoryTest, MissingUpstream_IsUsedOnlyWithoutAnother) {
  this->directory.Put(Entry("a"));
  this->directory.Put(Entry("b"));
  this->directory.Remove(this->now, "a");
  EXPECT_EQ(this->Usable(), std::vector<std::string>{"b"});

  this->directory.Remove(this->now, "b");
  EXPECT_EQ(this->Usable().size(), 2U);
}

// DRAIN: an upstream whose entry is gone gets nothing after the drain time.
TEST_F(UpstreamDirectoryTest, MissingUpstream_IsGoneAfterItsTime) {
  this->directory.Put(Entry("a"));
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

// Entries lapse while the store is away and are back two seconds after it.
TEST_F(UpstreamDirectoryTest, EntriesLapsedInAnOutage_AreKeptUntilTheyReturn) {
  this->directory.Put(Entry("a"));
  this->directory.OnStoreBack(this->now);
  this->directory.Remove(this->now, "a");
  this->now = this->now + std::chrono::milliseconds(2000);
  EXPECT_EQ(this->Usable().size(), 1U);

  this->now = this->now + std::chrono::milliseconds(400);
  EXPECT_TRUE(this->Usable().empty());
}

// A runner that starts again under its id holds nothing of before.
TEST_F(UpstreamDirectoryTest, SameIdWithAnotherStart_IsANewUpstream) {
  this->directory.Put(Entry("a"));
  const std::vector<PromptPart> parts = {{.id = 1, .tokens = 100}};
  this->directory.Candidates(this->now, "draft")[0]->cache.Use(parts);
  UpstreamEntry reborn = Entry("a");
  reborn.started_unix_ms = 8;
  this->directory.Put(reborn);

  EXPECT_EQ(
      this->directory.Candidates(this->now, "draft")[0]->cache.CachedTokens(
          parts),
      0);
}

}  // namespace
}  // namespace fuchsiadrum::serving
