#include "fuchsiadrum/serving/cold_upstreams.h"

#include <gtest/gtest.h>

#include <string>

namespace fuchsiadrum::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ColdUpstreamsTest : public testing::Test {
 protected:
  ColdUpstreamsTest() {
    this->cold.OnConfig(Config(seconds(3), 11));
    this->cold.SetFleet(
        {.vms = {"vm-1", "vm-2"}, .reads = 2, .was_listed = true});
  }

  static ColdUpstreamsOptions Options() {
    ColdUpstreamsOptions options;
    options.overage = 1.5;
    options.slack = 5;
    options.share.vm = "vm-1";
    return options;
  }
  static ServingConfig Config(Duration time, double per_s) {
    ServingConfig config;
    config.services = {
        {.name = "draft", .cold_time = time, .cold_requests_per_s = per_s},
        {.name = "book"}};
    return config;
  }
  UpstreamEntry Entry(int cold_left_ms = 0, int64_t started = 7) {
    return {.id = "u1",
            .service = "draft",
            .started_unix_ms = started,
            .cold_left = milliseconds(cold_left_ms),
            .sequence = ++this->sequence};
  }
  void Read(const UpstreamEntry& entry, bool is_replacement = false) {
    this->cold.OnEntry(this->now, entry, is_replacement);
    this->entry = entry;
  }
  bool IsCold() const { return this->cold.IsCold(this->now, this->entry); }
  void Pass(Duration time) { this->now = this->now + time; }

  ColdUpstreams cold{Options()};
  TimePoint now{1'000'000'000};
  UpstreamEntry entry;
  int64_t sequence = 0;
};

// When the whole fleet starts, upstreams that are warm get nothing for seconds.
TEST_F(ColdUpstreamsTest, EntryAtTheStart_CountsByItsTime) {
  this->Read(this->Entry(0));
  EXPECT_FALSE(this->IsCold());

  this->Read(this->Entry(1200));
  EXPECT_TRUE(this->IsCold());
  this->Pass(milliseconds(1200));
  EXPECT_FALSE(this->IsCold());
}

// FAILBACK: an upstream is cold again while its process runs on.
TEST_F(ColdUpstreamsTest, LaterEntry_SaysThatItIsColdAgainOrWarm) {
  this->Read(this->Entry(0));
  this->Pass(seconds(60));
  this->Read(this->Entry(2500));
  EXPECT_TRUE(this->IsCold());

  this->Pass(seconds(1));
  this->Read(this->Entry(0));
  EXPECT_FALSE(this->IsCold());
}

// FAILBACK: a process that has just started writes its first entry before it
// knows that it is cold.
TEST_F(ColdUpstreamsTest, NewIncarnation_IsColdUntilAnotherEntry) {
  this->Read(this->Entry(0));
  this->cold.OnEntriesRead();
  this->Pass(seconds(5));
  this->Read(this->Entry(0, 8));
  EXPECT_TRUE(this->IsCold());
  this->Read(this->Entry(0, 8));
  EXPECT_TRUE(this->IsCold()) << "both were in one read";

  this->Pass(seconds(1));
  this->Read(this->Entry(0, 8));
  EXPECT_FALSE(this->IsCold());
}

TEST_F(ColdUpstreamsTest, NewUpstream_IsColdForItsTimeAtMost) {
  this->cold.OnEntriesRead();
  this->Read(this->Entry(0));
  EXPECT_TRUE(this->IsCold());
  this->Pass(milliseconds(2999));
  EXPECT_TRUE(this->IsCold());
  this->Pass(milliseconds(1));
  EXPECT_FALSE(this->IsCold());
}

// FAILBACK: without a start time in the entries, a restart is not noticed.
TEST_F(ColdUpstreamsTest, LowerNumberOfAnEntry_IsARestart) {
  this->sequence = 90;
  this->Read(this->Entry(0, 0));
  this->cold.OnEntriesRead();
  this->Pass(seconds(5));
  this->sequence = 3;
  this->Read(this->Entry(0, 0));

  EXPECT_TRUE(this->IsCold());
}

// FAILBACK: the entry that is read again after a gap of the history was written
// before the upstream's connections broke.
TEST_F(ColdUpstreamsTest, RepeatedEntry_SaysNothingNew) {
  this->Read(this->Entry(0));
  this->Pass(seconds(2));
  this->cold.OnDoubt(this->now, "u1");
  EXPECT_TRUE(this->IsCold());
  this->Pass(seconds(1));
  this->cold.OnEntry(this->now, this->entry, false);
  EXPECT_TRUE(this->IsCold());

  this->Read(this->Entry(0));
  EXPECT_FALSE(this->IsCold());
}

// FAILBACK: an entry that was on its way when the upstream crashed clears it.
TEST_F(ColdUpstreamsTest, EntryRightAfterADoubt_MayBeOlder) {
  this->Read(this->Entry(0));
  this->Pass(seconds(2));
  this->cold.OnDoubt(this->now, "u1");
  this->Pass(milliseconds(300));
  this->Read(this->Entry(0));
  EXPECT_TRUE(this->IsCold());
  this->Pass(milliseconds(2700));
  EXPECT_FALSE(this->IsCold()) << "it has had the time to warm up";
}

TEST_F(ColdUpstreamsTest, Answer_DecidesAtOnce) {
  this->Read(this->Entry(0));
  this->cold.OnAnswer(this->now, "u1", milliseconds(1500));
  EXPECT_TRUE(this->IsCold());
  this->Read(this->Entry(0));
  EXPECT_TRUE(this->IsCold()) << "the entry may be older than the answer";

  this->cold.OnDoubt(this->now, "u1");
  this->cold.OnAnswer(this->now, "u1", Duration::zero());
  EXPECT_FALSE(this->IsCold());
  this->cold.OnAnswer(this->now, "unknown", seconds(1));
}

// A wrong entry excludes an upstream for hours.
TEST_F(ColdUpstreamsTest, HugeTime_IsCutToTheTimeOfTheService) {
  this->Read(this->Entry(1000000000));
  EXPECT_TRUE(this->IsCold());
  this->Pass(seconds(3));
  EXPECT_FALSE(this->IsCold());
}

// Other deployments are served as before.
TEST_F(ColdUpstreamsTest, WithoutTimesOrSettings_NothingIsCold) {
  this->Read(this->Entry(2000));
  ASSERT_TRUE(this->IsCold());
  UpstreamEntry other = this->entry;
  other.service = "book";
  EXPECT_FALSE(this->cold.IsCold(this->now, other));
  this->cold.OnConfig(Config(Duration::zero(), 11));
  EXPECT_FALSE(this->IsCold());
  this->cold.OnConfig(Config(seconds(3), 0));
  EXPECT_FALSE(this->IsCold());
  this->cold.OnConfig(Config(seconds(3), 11));
  EXPECT_TRUE(this->IsCold());

  ColdUpstreams off{ColdUpstreamsOptions()};
  off.OnConfig(Config(seconds(3), 11));
  off.OnEntry(this->now, this->entry, false);
  EXPECT_FALSE(off.IsCold(this->now, this->entry));
}

// FAILBACK: permits that are not used, or are used late, add up to a burst.
TEST_F(ColdUpstreamsTest, Permits_AreSpacedByTheirInterval) {
  this->Read(this->Entry(3000));
  // Two VMs share ten requests in 1.31 s.
  constexpr Duration kInterval = milliseconds(1310) / 5;
  EXPECT_TRUE(this->cold.TakePermit(this->now, this->entry));
  EXPECT_FALSE(this->cold.TakePermit(this->now, this->entry));
  this->Pass(seconds(1));
  EXPECT_FALSE(this->cold.TakePermit(this->now, this->entry));
  EXPECT_TRUE(this->cold.IsPermitValid(this->now, this->entry));
  this->cold.OnSend(this->now, "u1", true);

  this->Pass(kInterval - milliseconds(1));
  EXPECT_FALSE(this->cold.HasPermit(this->now, this->entry));
  EXPECT_EQ(this->cold.NextChance(this->now, this->entry),
            this->now + milliseconds(1));
  this->Pass(milliseconds(1));
  EXPECT_TRUE(this->cold.TakePermit(this->now, this->entry));
}

TEST_F(ColdUpstreamsTest, PermitOfARequestThatWasNotSent_IsGivenBack) {
  this->Read(this->Entry(3000));
  ASSERT_TRUE(this->cold.TakePermit(this->now, this->entry));
  this->cold.ReturnPermit("u1");

  EXPECT_TRUE(this->cold.TakePermit(this->now, this->entry));
}

// 421 answers do not count.
TEST_F(ColdUpstreamsTest, MisdirectedRequest_DoesNotCount) {
  this->Read(this->Entry(3000));
  ASSERT_TRUE(this->cold.TakePermit(this->now, this->entry));
  const TimePoint sent_at = this->now;
  this->cold.OnSend(sent_at, "u1", true);
  this->Pass(milliseconds(3));
  this->cold.OnMisdirected("u1", sent_at - milliseconds(5));
  EXPECT_FALSE(this->cold.HasPermit(this->now, this->entry));
  this->cold.OnMisdirected("u1", sent_at);
  EXPECT_TRUE(this->cold.HasPermit(this->now, this->entry));
}

// FAILBACK: a request that was sent just before the upstream became cold, and
// one right after it, arrive together.
TEST_F(ColdUpstreamsTest, RequestsToTheWarmUpstream_CountForTheSpacing) {
  this->Read(this->Entry(0));
  this->cold.OnSend(this->now, "u1", false);
  this->Read(this->Entry(3000));
  EXPECT_FALSE(this->cold.HasPermit(this->now, this->entry));
  this->Pass(milliseconds(1310) / 5);
  EXPECT_TRUE(this->cold.HasPermit(this->now, this->entry));
}

// FAILBACK: after its suspension a VM goes on with what it knew before.
TEST_F(ColdUpstreamsTest, PausedProcess_DoubtsAllUpstreams) {
  this->Read(this->Entry(0));
  TimePoint boot{5'000'000};
  EXPECT_FALSE(this->cold.OnClock(this->now, boot));
  boot = boot + milliseconds(1900);
  EXPECT_FALSE(this->cold.OnClock(this->now, boot));
  EXPECT_FALSE(this->IsCold());
  boot = boot + seconds(20);
  EXPECT_TRUE(this->cold.OnClock(this->now, boot));
  EXPECT_TRUE(this->IsCold());
  EXPECT_FALSE(this->cold.OnClock(this->now, boot));
}

TEST_F(ColdUpstreamsTest, VmWithoutAView_SendsNothingUntilTheUpstreamIsWarm) {
  this->cold.SetFleet({});
  this->Read(this->Entry(2000));
  EXPECT_FALSE(this->cold.TakePermit(this->now, this->entry));
  EXPECT_EQ(this->cold.NextChance(this->now, this->entry),
            this->now + seconds(2));
}

TEST_F(ColdUpstreamsTest, UpstreamWithoutAnEntry_IsForgottenAfterItsTime) {
  this->Read(this->Entry(3000));
  const auto known = [](const std::string&) { return false; };
  this->cold.DropUnknown(this->now, known);
  this->Pass(milliseconds(10));
  this->cold.DropUnknown(this->now, known);
  EXPECT_TRUE(this->IsCold());
  this->Pass(std::chrono::minutes(10));
  this->cold.DropUnknown(this->now, known);
  this->cold.OnEntriesRead();
  this->Read(this->Entry(0));
  EXPECT_TRUE(this->IsCold()) << "it counts as a new upstream";
}

}  // namespace
}  // namespace fuchsiadrum::serving
