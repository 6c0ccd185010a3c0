#include "fuchsiadrum/serving/placement.h"

#include <gtest/gtest.h>

#include <map>

namespace fuchsiadrum::serving {
namespace {

class PlacementTest : public testing::Test {
 protected:
  PlacementTest() {
    for (int i = 0; i < 6; ++i) {
      this->upstreams.push_back(std::make_shared<FleetUpstream>(
          UpstreamEntry{.id = "u" + std::to_string(i),
                        .service = "draft",
                        .availability_zone = "a",
                        .slots = 64},
          UpstreamOptions()));
    }
  }

  std::optional<PlacementChoice> Choose(std::span<const PromptPart> parts) {
    int64_t tokens = 0;
    for (const PromptPart& part : parts) tokens += part.tokens;
    return this->placement.Choose(this->now, this->upstreams,
                                  {.parts = parts,
                                   .prompt_tokens = tokens,
                                   .has_prompt = !parts.empty()});
  }

  Placement placement{{.availability_zone = "a", .noise = 0}};
  std::vector<FleetUpstreamPtr> upstreams;
  TimePoint now{1'000'000'000};
  const std::vector<PromptPart> parts = {{.id = 1, .tokens = 2500},
                                         {.id = 2, .tokens = 3800},
                                         {.id = 3, .tokens = 2900}};
};

// Two gateways that do not communicate send one prompt to the same upstream.
TEST_F(PlacementTest, SamePrompt_FromTwoGateways_GoesToOneUpstream) {
  Placement other({.seed = 2, .availability_zone = "a", .noise = 0});
  const auto first = this->Choose(this->parts);
  const auto second = other.Choose(
      this->now, this->upstreams,
      {.parts = this->parts, .prompt_tokens = 9200, .has_prompt = true});
  EXPECT_EQ(first->upstream->entry.id, second->upstream->entry.id);
}

TEST_F(PlacementTest, CachedPrompt_OutweighsAShortQueue) {
  const auto first = this->Choose(this->parts);
  first->upstream->cache.Use(this->parts);
  for (int i = 0; i < 5; ++i) first->upstream->OnDispatch(this->now);

  EXPECT_EQ(this->Choose(this->parts)->upstream, first->upstream);
}

// Guards against overload of the upstream that has a popular prompt cached.
TEST_F(PlacementTest, CachedPrompt_OnAnOverloadedUpstream_GoesElsewhere) {
  const auto first = this->Choose(this->parts);
  first->upstream->cache.Use(this->parts);
  first->upstream->pending_tokens = 100'000;

  EXPECT_NE(this->Choose(this->parts)->upstream, first->upstream);
}

TEST_F(PlacementTest, SilentUpstream_IsAvoided) {
  const auto first = this->Choose(this->parts);
  first->upstream->OnDispatch(this->now);
  this->now = this->now + std::chrono::seconds(1);

  EXPECT_NE(this->Choose(this->parts)->upstream, first->upstream);
}

TEST_F(PlacementTest, NoCandidate_GivesAReason) {
  this->upstreams.clear();

  EXPECT_FALSE(this->Choose(this->parts));
  EXPECT_FALSE(this->placement.LastReason().text.empty());
}

// Upstreams of one service may differ in speed, for example 0.7 and 1.7 times
// the average.
TEST_F(PlacementTest, SlowUpstream_GetsFewerRequests) {
  for (int i = 0; i < 60; ++i) this->upstreams[0]->OnSuccess(this->now, 3.0);
  std::map<std::string, int> counts;
  for (int i = 0; i < 200; ++i) {
    const auto choice = this->Choose({});
    ++counts[choice->upstream->entry.id];
    choice->upstream->OnDispatch(this->now);
  }
  EXPECT_LT(counts["u0"] * 2, counts["u1"]);
}

class PromptCacheTest : public testing::Test {
 protected:
  PromptCache cache{1000};
};

TEST_F(PromptCacheTest, PartAfterAMissingOne_IsNotCached) {
  const std::vector<PromptPart> tail = {{.id = 2, .tokens = 100}};
  this->cache.Use(tail);
  const std::vector<PromptPart> whole = {{.id = 1, .tokens = 100},
                                         {.id = 2, .tokens = 100}};
  EXPECT_EQ(this->cache.CachedTokens(whole), 0);
  EXPECT_EQ(this->cache.CachedTokens(tail), 100);
}

TEST_F(PromptCacheTest, LeastRecentlyUsedPart_IsDroppedFirst) {
  const std::vector<PromptPart> first = {{.id = 1, .tokens = 600}};
  const std::vector<PromptPart> second = {{.id = 2, .tokens = 600}};
  this->cache.Use(first);
  this->cache.Use(second);

  EXPECT_EQ(this->cache.CachedTokens(first), 0);
  EXPECT_EQ(this->cache.CachedTokens(second), 600);
}

}  // namespace
}  // namespace fuchsiadrum::serving
