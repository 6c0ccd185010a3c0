#include "fuchsiadrum/routing/prefix_index.h"

#include <gtest/gtest.h>

#include <array>

#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::routing {
namespace {

class PrefixIndexTest : public ::testing::Test {
 protected:
  uint32_t Depth(std::span<const uint64_t> hashes, UpstreamIndex upstream) {
    PrefixMatch match;
    this->index.Match(hashes, match);
    return match.DepthOf(upstream);
  }

  PrefixIndex index{{.capacity = 64}};
  std::array<uint64_t, 4> hashes = {101, 102, 103, 104};
};

// Guards against a match that is longer than what was stored.
TEST_F(PrefixIndexTest, Match_ShorterPrefixStored_GivesItsDepth) {
  this->index.Add(101, 7);
  this->index.Add(102, 7);
  EXPECT_EQ(this->Depth(this->hashes, 7), 2U);
  EXPECT_EQ(this->Depth(this->hashes, 8), 0U);
}

// Guards against hints that survive a gap in the cache events.
TEST_F(PrefixIndexTest, Invalidate_HintsOfUpstream_AreGone) {
  this->index.Add(101, 7);
  this->index.Add(101, 8);
  this->index.Invalidate(7);
  EXPECT_EQ(this->Depth(this->hashes, 7), 0U);
  EXPECT_EQ(this->Depth(this->hashes, 8), 1U);
  this->index.Add(101, 7);
  EXPECT_EQ(this->Depth(this->hashes, 7), 1U);
}

// Guards against an evicted prefix that still attracts requests.
TEST_F(PrefixIndexTest, Remove_EvictedPrefix_IsNoHint) {
  this->index.Add(101, 7);
  this->index.Remove(101, 7);
  EXPECT_EQ(this->Depth(this->hashes, 7), 0U);
}

// Guards against growth with the number of prefixes.
TEST_F(PrefixIndexTest, Add_MorePrefixesThanCapacity_KeepsMemory) {
  Rng rng(5);
  for (int i = 0; i < 10000; ++i) this->index.Add(rng.Next(), 1);
  this->index.Add(101, 7);
  EXPECT_EQ(this->index.Capacity(), 64U);
  EXPECT_EQ(this->Depth(this->hashes, 7), 1U);
}

}  // namespace
}  // namespace fuchsiadrum::routing
