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

// Guards against work that waits for a slot while other upstreams have some:
// with 12 slots a running request is cheap until they are full.
TEST_F(PlacementTest, FullSlots_CostAboutTheTimeUntilOneIsFree) {
  const auto home = this->Choose(this->parts);
  home->upstream->cache.Use(this->parts);
  home->upstream->OnReport(this->now,
                           {.running = 11, .waiting = 0, .slots = 12});
  EXPECT_EQ(this->Choose(this->parts)->upstream, home->upstream);
  home->upstream->OnReport(this->now,
                           {.running = 12, .waiting = 12, .slots = 12});
  EXPECT_NE(this->Choose(this->parts)->upstream, home->upstream);
}

// The reported time that work takes counts for a few hundred milliseconds.
TEST_F(PlacementTest, SlowWorkNow_IsAvoidedUntilTheReportIsOld) {
  const auto first = this->Choose({});
  first->upstream->OnReport(this->now, {.slots = 64, .work_percent = 900});
  EXPECT_NE(this->Choose({})->upstream, first->upstream);
  this->now = this->now + std::chrono::milliseconds(400);
  EXPECT_EQ(this->Choose({})->upstream, first->upstream);
}

// An upstream crashes if its requests exceed its memory.
TEST_F(PlacementTest, MemoryOfAllUpstreamsInUse_GivesAReasonInsteadOfACrash) {
  const auto choose = [this] {
    return this->placement.Choose(this->now, this->upstreams,
                                  {.parts = this->parts,
                                   .prompt_tokens = 9200,
                                   .max_output_tokens = 800,
                                   .memory_tokens = 30000,
                                   .has_prompt = true});
  };
  for (int i = 0; i < 18; ++i) {
    const auto choice = choose();
    ASSERT_TRUE(choice) << i;
    choice->upstream->held_tokens += choice->held_tokens;
    EXPECT_LE(choice->upstream->held_tokens, 30000);
  }
  EXPECT_FALSE(choose());
  EXPECT_EQ(this->placement.LastReason().step, kMemoryStep);
}

// The requests of other VMs count by a recent report.
TEST_F(PlacementTest, ReportedRequests_CountAgainstTheMemory) {
  const PlacementRequest request = {.parts = this->parts,
                                    .prompt_tokens = 9200,
                                    .max_output_tokens = 800,
                                    .memory_tokens = 30000,
                                    .has_prompt = true};
  const auto first =
      this->placement.Choose(this->now, this->upstreams, request);
  first->upstream->cache.Use(this->parts);
  first->upstream->OnReport(this->now, {.running = 3, .slots = 64});
  EXPECT_NE(
      this->placement.Choose(this->now, this->upstreams, request)->upstream,
      first->upstream);
}

// Guards against sums of token counts that overflow.
TEST_F(PlacementTest, AbsurdTokenCounts_DoNotOverflow) {
  const std::vector<PromptPart> absurd = {{.id = 1, .tokens = INT64_MAX},
                                          {.id = 2, .tokens = INT64_MAX}};
  const auto choice = this->placement.Choose(this->now, this->upstreams,
                                             {.parts = absurd,
                                              .prompt_tokens = INT64_MAX,
                                              .max_output_tokens = INT64_MAX,
                                              .has_prompt = true});
  ASSERT_TRUE(choice);
  EXPECT_GT(choice->held_tokens, 0);
}

// Guards against one late answer that keeps an upstream unused.
TEST_F(PlacementTest, OneVeryLateAnswer_CountsAsAFewTimesTheExpectedTime) {
  const auto choice = this->Choose({});
  this->placement.OnFirstToken(this->now, *choice, std::chrono::seconds(10));
  EXPECT_LT(choice->upstream->Slowness(), 2.0);
}

// Guards against a VM that takes all prompts for uncached that it has not sent
// itself, although the whole fleet sends them to the same upstreams.
TEST_F(PlacementTest, PartInDemand_CountsAsCachedAtItsPreferredUpstreams) {
  this->placement.SetFleetSize(100);
  std::optional<PlacementChoice> choice;
  for (int i = 0; i < 40; ++i) {
    this->now = this->now + std::chrono::milliseconds(200);
    choice = this->Choose(this->parts);
  }
  EXPECT_TRUE(choice->is_preferred);
  EXPECT_LT(choice->uncached_tokens, 7000);
}

TEST_F(PlacementTest, PartInDemand_GetsMorePreferredUpstreams) {
  this->placement.SetFleetSize(100);
  const size_t before = this->Choose(this->parts)->preferred;
  size_t after = 0;
  for (int i = 0; i < 100; ++i) {
    this->now = this->now + std::chrono::milliseconds(100);
    after = this->Choose(this->parts)->preferred;
  }
  EXPECT_GT(after, before);
}

// Guards against a burst at an upstream that has just started: it is idle, so
// that it seems the best one.
TEST_F(PlacementTest, UpstreamThatStarts_GetsAFewRequestsAtFirst) {
  static_cast<void>(this->Choose({}));
  this->now = this->now + std::chrono::seconds(10);
  this->upstreams.push_back(
      std::make_shared<FleetUpstream>(UpstreamEntry{.id = "new",
                                                    .service = "draft",
                                                    .availability_zone = "a",
                                                    .slots = 64},
                                      UpstreamOptions()));
  for (int i = 0; i < 6; ++i) {
    for (int j = 0; j < 30; ++j) this->upstreams[i]->OnDispatch(this->now);
  }
  int sent = 0;
  for (int i = 0; i < 60; ++i) {
    const auto choice = this->Choose({});
    choice->upstream->OnDispatch(this->now);
    if (choice->upstream->entry.id == "new") ++sent;
  }
  EXPECT_GE(sent, 4);
  EXPECT_LE(sent, 12);
}

// Guards against a fleet that stops because all upstreams have just started.
TEST_F(PlacementTest, MostUpstreamsStart_RampsDoNotCount) {
  static_cast<void>(this->Choose({}));
  for (const FleetUpstreamPtr& upstream : this->upstreams) {
    upstream->OnUnreachable(this->now);
  }
  this->now = this->now + std::chrono::seconds(20);
  std::map<std::string, int> counts;
  for (int i = 0; i < 120; ++i) {
    const auto choice = this->Choose({});
    ASSERT_TRUE(choice);
    choice->upstream->OnDispatch(this->now);
    ++counts[choice->upstream->entry.id];
  }
  EXPECT_EQ(counts.size(), 6U);
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
