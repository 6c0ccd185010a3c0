#include "fuchsiadrum/serving/admission_control.h"

#include <gtest/gtest.h>

#include <string>

#include "fuchsiadrum/core/duration.h"

namespace fuchsiadrum::serving {
namespace {

/// A link of 10 Mbit/s.
constexpr double kSmallLink = 1'250'000;
constexpr size_t kDigestBytes = 9700;
constexpr size_t kCallBytes = 1100;

class AdmissionControlTest : public testing::Test {
 protected:
  /// A long prompt: 9.2 KB and its head.
  static OfferedRequest Digest(int priority = 3,
                               std::string_view organisation = "o1") {
    return {.bytes = kDigestBytes,
            .priority = priority,
            .target_latency = std::chrono::milliseconds(800),
            .organisation = organisation};
  }
  /// A settlement: 600 bytes and its head.
  static OfferedRequest Call(int priority = 3,
                             std::string_view organisation = "o1") {
    return {.bytes = kCallBytes,
            .priority = priority,
            .target_latency = std::chrono::milliseconds(150),
            .organisation = organisation};
  }

  AdmissionDecision Decide(const OfferedRequest& request, int wait_ms,
                           double rate = kSmallLink) {
    return this->control.Decide(
        this->now, request,
        {.link_bytes_per_s = rate,
         .link_wait = std::chrono::milliseconds(wait_ms)},
        this->rng);
  }
  bool Takes(const OfferedRequest& request, int wait_ms,
             double rate = kSmallLink) {
    return this->Decide(request, wait_ms, rate).result ==
           AdmissionResult::kTaken;
  }
  /// The longest wait for the link at which the request is taken.
  int LongestWait(const OfferedRequest& request) {
    int longest = 0;
    for (int wait_ms = 0; wait_ms <= 1000; ++wait_ms) {
      AdmissionControl copy = this->control;
      const AdmissionDecision decision =
          copy.Decide(this->now, request,
                      {.link_bytes_per_s = kSmallLink,
                       .link_wait = std::chrono::milliseconds(wait_ms)},
                      this->rng);
      if (decision.result == AdmissionResult::kTaken) longest = wait_ms;
    }
    return longest;
  }
  /// Takes one large request of each of these, so that none of them counts as
  /// starved, and one small one.
  void Warm(std::initializer_list<OfferedRequest> requests) {
    for (const OfferedRequest& request : requests) this->Decide(request, 0);
  }
  AdmissionResult DecideAtProcessor(const OfferedRequest& request, double load,
                                    bool is_busy = true) {
    return this->control
        .Decide(this->now, request,
                {.is_processor_busy = is_busy, .processor_load = load},
                this->rng)
        .result;
  }

  AdmissionControl control{AdmissionOptions()};
  Rng rng{5};
  TimePoint now{1'000'000'000};
};

// Guards against a decision without a known link.
TEST_F(AdmissionControlTest, UnknownLink_TakesEverything) {
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(this->Takes(Digest(), 60'000, 0));
    EXPECT_TRUE(this->Takes(Call(), 60'000, 0));
  }
}

// A link with room refuses nothing, however long the request's own transfer
// takes: 3.4 s for 4 MB, which is no different at another VM.
TEST_F(AdmissionControlTest, IdleLink_TakesAnySize) {
  this->Warm({Digest(), Call()});
  OfferedRequest largest = Digest();
  largest.bytes = 4'194'304;
  EXPECT_TRUE(this->Takes(largest, 0));
  EXPECT_TRUE(this->Takes(largest, 9));
  EXPECT_FALSE(this->Takes(largest, 100));
}

// Four digests in a row take 30 ms of the link, which is no saturation.
TEST_F(AdmissionControlTest, BurstOfDigests_WithCallsBetweenThem_IsTaken) {
  this->Warm({Digest(), Call()});
  for (int wait_ms = 0; wait_ms <= 40; wait_ms += 8) {
    EXPECT_TRUE(this->Takes(Digest(), wait_ms)) << wait_ms;
    EXPECT_TRUE(this->Takes(Call(), wait_ms)) << wait_ms;
  }
}

// Guards against settlements of 600 bytes that are refused like digests: they
// were 728 of 8,627 refusals.
TEST_F(AdmissionControlTest, SaturatedLink_TakesCallsAndRefusesDigests) {
  this->Warm({Digest(), Call()});
  EXPECT_FALSE(this->Takes(Digest(), 70));
  EXPECT_TRUE(this->Takes(Call(), 70));
  EXPECT_TRUE(this->Takes(Call(), 110));
  // A call that would wait for longer than its target is better off elsewhere.
  EXPECT_FALSE(this->Takes(Call(), 130));
}

// The limit comes from what callers need: without calls of 150 ms, digests may
// queue for longer.
TEST_F(AdmissionControlTest, Limit_FollowsTheTargetsThatAreInUse) {
  this->Warm({Digest(), Call()});
  const int with_calls = this->LongestWait(Digest());
  this->now = this->now + std::chrono::seconds(3);
  this->Warm({Digest()});
  const int alone = this->LongestWait(Digest());

  EXPECT_LE(with_calls, 60);
  EXPECT_GT(alone, 150);
  EXPECT_LE(alone, 200);
}

TEST_F(AdmissionControlTest, StreamThatGoesOn_CountsAsSmall) {
  this->Warm({Digest(), Call()});
  OfferedRequest rest = Digest();
  rest.continues_stream = true;
  EXPECT_FALSE(this->Takes(Digest(), 80));
  EXPECT_TRUE(this->Takes(rest, 80));
}

// Guards against a more urgent kind behind a less urgent one, also if the
// organisation of the urgent one is hot.
TEST_F(AdmissionControlTest, MoreUrgentKind_IsNeverRefusedBeforeALessUrgent) {
  for (int i = 0; i < 50; ++i) {
    this->Decide(Digest(1, "hot"), 0);
    this->Decide(Digest(2, "hot"), 0);
    this->Decide(Digest(5, "hot"), 0);
  }
  this->Warm({Digest(1, "o1"), Digest(2, "o1"), Digest(5, "o1")});
  this->Warm({Call(1, "o1"), Call(2, "o1"), Call(5, "o1")});

  for (const bool is_large : {true, false}) {
    int before = 1000;
    for (const int priority : {1, 2, 5}) {
      for (const char* organisation : {"o1", "hot"}) {
        const OfferedRequest request = is_large ? Digest(priority, organisation)
                                                : Call(priority, organisation);
        const int longest = this->LongestWait(request);
        EXPECT_LE(longest, before) << priority << " " << organisation;
        EXPECT_GE(longest, 10) << priority << " " << organisation;
        before = longest;
      }
    }
  }
}

// Guards against a hot organisation whose queue keeps the others out.
TEST_F(AdmissionControlTest, HotOrganisation_IsRefusedFirst) {
  for (int i = 0; i < 50; ++i) this->Decide(Digest(3, "hot"), 0);
  this->Warm({Digest(3, "o1"), Digest(3, "o2"), Call(3, "o1")});

  EXPECT_GT(this->LongestWait(Digest(3, "o1")),
            this->LongestWait(Digest(3, "hot")) + 5);
}

// Guards against a kind or an organisation that gets nothing while the link is
// full of others.
TEST_F(AdmissionControlTest, LongRefusedKinds_GetOneThrough) {
  int taken_late = 0;
  int taken_small = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    this->now = this->now + std::chrono::milliseconds(10);
    this->Decide(Call(1, "hot"), 100);
    this->Decide(Digest(1, "hot"), 40);
    if (this->Takes(Digest(9, "hot"), 100)) ++taken_late;
    if (this->Takes(Digest(1, "small"), 100)) ++taken_small;
  }
  EXPECT_GE(taken_late, 8);
  EXPECT_LE(taken_late, 11);
  EXPECT_GE(taken_small, 8);
  EXPECT_LE(taken_small, 11);
}

// Retries of requests that were refused together must not arrive together, and
// they go to another VM, so that they need not wait for this one.
TEST_F(AdmissionControlTest, RetryAfter_IsShortAndSpread) {
  this->Warm({Digest(), Call()});
  Duration shortest = std::chrono::seconds(9);
  Duration longest{};
  for (int i = 0; i < 200; ++i) {
    const AdmissionDecision refusal = this->Decide(Digest(), 300);
    ASSERT_EQ(refusal.result, AdmissionResult::kLinkFull);
    shortest = std::min(shortest, refusal.retry_after);
    longest = std::max(longest, refusal.retry_after);
  }
  EXPECT_GE(shortest, std::chrono::milliseconds(20));
  EXPECT_LE(longest, std::chrono::milliseconds(150));
  EXPECT_GT(longest - shortest, std::chrono::milliseconds(100));
}

// Guards against a processor that refuses all kinds at once: above 300 ms of
// delay it refuses all, below that the less urgent ones.
TEST_F(AdmissionControlTest, Processor_RefusesLessUrgentKindsFirst) {
  this->Warm({Call(1), Call(2)});
  EXPECT_EQ(this->DecideAtProcessor(Call(1), 0.9), AdmissionResult::kTaken);
  EXPECT_EQ(this->DecideAtProcessor(Call(2), 0.9),
            AdmissionResult::kProcessorFull);
  EXPECT_EQ(this->DecideAtProcessor(Call(2), 0.9, false),
            AdmissionResult::kTaken);
  EXPECT_EQ(this->DecideAtProcessor(Call(1), 1.1),
            AdmissionResult::kProcessorFull);
}

// A body in chunks has no length: it counts as the route's usual size.
TEST_F(AdmissionControlTest, MeanBytes_FollowTheRoute) {
  EXPECT_GT(this->control.MeanBytes("digest"), 2048U);
  for (int i = 0; i < 50; ++i) this->control.OnLength("book", 1100);
  EXPECT_EQ(this->control.MeanBytes("book"), 1100U);
  for (int i = 0; i < 50; ++i) this->control.OnLength("book", 5000);
  EXPECT_NEAR(static_cast<double>(this->control.MeanBytes("book")), 5000, 50);
}

}  // namespace
}  // namespace fuchsiadrum::serving
