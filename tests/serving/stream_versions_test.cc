#include "fuchsiadrum/serving/stream_versions.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

/// Two gateways that read and write the same records.
class StreamVersionsTest : public testing::Test {
 protected:
  static constexpr char kService[] = "engine";
  static constexpr auto kLifetime = std::chrono::seconds(15);

  StreamVersionsTest() {
    for (StreamVersions* gateway : {&this->first, &this->second}) {
      gateway->SetServices({kService}, kLifetime);
    }
  }

  static StreamOrigin Of(const std::string& version) {
    return {.service = kService, .version = version};
  }
  static UpstreamEntry Entry(const std::string& version) {
    UpstreamEntry entry;
    entry.service = kService;
    entry.version = version;
    return entry;
  }
  /// Both gateways read these versions' entries, and one writes what is due.
  void Present(const std::set<std::string>& versions) {
    for (StreamVersions* gateway : {&this->first, &this->second}) {
      gateway->OnEntries(this->now, {{kService, versions}});
    }
    for (const ServiceVersions& due : this->first.PlanServices(this->now)) {
      this->WriteService(due);
    }
  }
  void WriteService(const ServiceVersions& record) {
    this->written = record;
    this->first.OnService(record);
    this->second.OnService(record);
  }
  /// The gateway writes the origins that are due; both read them.
  void WriteStreams(StreamVersions& gateway) {
    const auto due = gateway.PlanStreams(100);
    for (const auto& [attempt, origin] : due) {
      this->first.OnStream(this->now, attempt, origin);
      this->second.OnStream(this->now, attempt, origin);
    }
    gateway.OnStreamsWritten(due);
  }
  FoundOrigin Find(const std::string& attempt) {
    return this->second.Find(this->now, kService, attempt);
  }

  TimePoint now{1'000'000'000};
  StreamVersions first{StreamVersionsOptions()};
  StreamVersions second{StreamVersionsOptions()};
  ServiceVersions written;
};

TEST_F(StreamVersionsTest, SingleVersion_NeedsNoRecordOfAStream) {
  this->Present({"v1"});
  EXPECT_TRUE(this->first.MayBegin(Entry("v1")));
  EXPECT_FALSE(this->first.Begin(this->now, "a", Of("v1")));
  EXPECT_EQ(this->first.Unrecorded(), 0U);
  EXPECT_EQ(this->Find("a").origin, Of("v1"));
}

// A stream of a version that others don't know of would be taken for one of the
// base version.
TEST_F(StreamVersionsTest, VersionThatIsNotListed_MayNotBegin) {
  this->Present({"v1"});
  EXPECT_FALSE(this->first.MayBegin(Entry("v2")));
  this->Present({"v1", "v2"});
  EXPECT_TRUE(this->first.MayBegin(Entry("v2")));
  EXPECT_EQ(this->written.base, "v1");
}

// A gateway that was out of step knew only upstreams without versions, and took
// a stream of a version that had joined for one of theirs.
TEST_F(StreamVersionsTest, RecordOfAVersionUnknownHere_IsKnown) {
  this->second.OnEntries(this->now, {{kService, {""}}});
  EXPECT_EQ(this->Find("a").knowledge, OriginKnowledge::kUnrestricted);
  this->second.OnStream(this->now, "a", Of("v2"));
  EXPECT_EQ(this->Find("a").knowledge, OriginKnowledge::kKnown);
  EXPECT_EQ(this->Find("a").origin, Of("v2"));
  this->second.OnStream(this->now, "b", Of(""));
  EXPECT_EQ(this->Find("b").knowledge, OriginKnowledge::kUnrestricted);
}

TEST_F(StreamVersionsTest, StreamOfAnotherVersion_IsKnownOnceRecorded) {
  this->Present({"v1"});
  this->Present({"v1", "v2"});
  EXPECT_TRUE(this->first.Begin(this->now, "a", Of("v2")));
  EXPECT_FALSE(this->first.IsRecorded("a"));
  this->WriteStreams(this->first);
  EXPECT_TRUE(this->first.IsRecorded("a"));
  EXPECT_EQ(this->Find("a").origin, Of("v2"));
  EXPECT_EQ(this->Find("b").origin, Of("v1"));
}

// The first upstream of the attempt broke off before its first event, when its
// version had been recorded.
TEST_F(StreamVersionsTest, SecondUpstreamOfAnAttempt_ReplacesTheRecord) {
  this->Present({"v1"});
  this->Present({"v1", "v2"});
  this->first.Begin(this->now, "a", Of("v2"));
  this->WriteStreams(this->first);
  EXPECT_TRUE(this->first.Begin(this->now, "a", Of("v1")));
  this->WriteStreams(this->first);
  EXPECT_EQ(this->Find("a").origin, Of("v1"));
}

// The second upstream of the base version found no other origin before it, and
// its stream kept the record of an upstream that had refused the attempt.
TEST_F(StreamVersionsTest, ThirdUpstreamOfAnAttempt_ReplacesTheRecord) {
  this->Present({"v1"});
  this->Present({"v1", "v2"});
  this->first.Begin(this->now, "a", Of("v2"));
  this->WriteStreams(this->first);
  EXPECT_TRUE(this->first.Begin(this->now, "a", Of("v1")));
  EXPECT_TRUE(this->first.Begin(this->now, "a", Of("v1")));
  this->WriteStreams(this->first);
  EXPECT_EQ(this->Find("a").origin, Of("v1"));
}

// Another gateway may have made the new version the base while this one had not
// read the records.
TEST_F(StreamVersionsTest, BaseThatComesBack_NeedsRecordsUntilTheyAreRead) {
  this->Present({"v1"});
  this->Present({"v1", "v2"});
  for (int i = 0; i < 20; ++i) {
    this->now = this->now + std::chrono::seconds(1);
    this->Present({"v2"});
  }
  this->now = this->now + std::chrono::seconds(1);
  this->Present({"v1", "v2"});
  EXPECT_TRUE(this->first.NeedsRecord(this->now, Of("v1")));
  this->now = this->now + std::chrono::seconds(1);
  this->first.OnRecordsRead(this->now);
  EXPECT_FALSE(this->first.NeedsRecord(this->now, Of("v1")));
}

// A version may have returned while the entries could not be read.
TEST_F(StreamVersionsTest, PauseOfTheEntries_DoesNotCountAsAbsence) {
  this->Present({"v1"});
  this->Present({"v1", "v2"});
  this->Present({"v2"});
  this->now = this->now + std::chrono::seconds(60);
  EXPECT_TRUE(this->first.PlanServices(this->now).empty());
  this->Present({"v2"});
  EXPECT_EQ(this->written.base, "v1");
}

TEST_F(StreamVersionsTest, TakeUpWithoutAttempt_IsKnownOnlyWithOneVersion) {
  this->Present({"v1"});
  EXPECT_EQ(this->Find("").knowledge, OriginKnowledge::kKnown);
  this->Present({"v1", "v2"});
  EXPECT_EQ(this->Find("").knowledge, OriginKnowledge::kUnknown);
}

// If the new version became the base at once, streams of the old one that have
// no record would count as its own.
TEST_F(StreamVersionsTest, VersionThatLeft_StaysTheBaseWhileItsStreamsLast) {
  this->Present({"v1"});
  this->Present({"v1", "v2"});
  this->Present({"v2"});
  for (int i = 0; i < 40; ++i) {
    this->now = this->now + std::chrono::seconds(1);
    this->Present({"v2"});
    EXPECT_EQ(this->written.base, "v1") << i << " s";
    EXPECT_TRUE(this->first.NeedsRecord(this->now, Of("v2")));
  }
  for (int i = 0; i < 10; ++i) {
    this->now = this->now + std::chrono::seconds(1);
    this->Present({"v2"});
  }
  EXPECT_EQ(this->written,
            ServiceVersions({.service = kService, .base = "v2"}));
  EXPECT_FALSE(this->first.NeedsRecord(this->now, Of("v2")));
}

TEST_F(StreamVersionsTest, VersionThatComesBack_KeepsTheBase) {
  this->Present({"v1"});
  this->Present({"v1", "v2"});
  for (int i = 0; i < 100; ++i) {
    this->now = this->now + std::chrono::seconds(1);
    this->Present(i % 20 == 0 ? std::set<std::string>{"v1", "v2"}
                              : std::set<std::string>{"v2"});
  }
  EXPECT_EQ(this->written.base, "v1");
}

// A gateway that was cut off does not know whether the base was changed.
TEST_F(StreamVersionsTest, OldEntries_MakeEveryStreamNeedARecord) {
  this->Present({"v1"});
  this->now = this->now + std::chrono::seconds(29);
  EXPECT_FALSE(this->first.NeedsRecord(this->now, Of("v1")));
  this->now = this->now + std::chrono::seconds(2);
  EXPECT_TRUE(this->first.NeedsRecord(this->now, Of("v1")));
}

// A restored store may lack the record of a stream, which then would count as
// one of the base version.
TEST_F(StreamVersionsTest, RestoredStore_StreamsAreRecordedAgain) {
  this->Present({"v1"});
  this->Present({"v1", "v2"});
  this->first.Begin(this->now, "a", Of("v2"));
  this->WriteStreams(this->first);
  for (StreamVersions* gateway : {&this->first, &this->second}) {
    gateway->OnStoreRestored(this->now);
    gateway->OnStreamDeleted("a");
  }
  EXPECT_EQ(this->Find("a").knowledge, OriginKnowledge::kUnknown);
  EXPECT_EQ(this->first.PlanStreams(100).size(), 1U);
  this->WriteStreams(this->first);
  EXPECT_EQ(this->Find("a").origin, Of("v2"));
  this->now = this->now + std::chrono::seconds(6);
  EXPECT_EQ(this->Find("b").origin, Of("v1"));
}

// Without it a gateway that starts later would choose another base, to which
// streams of the first one would be counted.
TEST_F(StreamVersionsTest, RestoredStore_ServiceIsWrittenAgainWithItsBase) {
  this->Present({"v2"});
  this->Present({"v1", "v2"});
  ASSERT_EQ(this->written.base, "v2");
  this->first.OnStoreRestored(this->now);
  const auto due = this->first.PlanServices(this->now);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0], this->written);
}

// The store's keys have at most 255 bytes, and callers choose the ids.
TEST_F(StreamVersionsTest, StreamName_OfAnyAttempt_IsShort) {
  EXPECT_EQ(StreamVersions::StreamName(std::string(5000, 'x')).size(), 16U);
  EXPECT_EQ(StreamVersions::StreamName(""), "");
  EXPECT_NE(StreamVersions::StreamName("a"), StreamVersions::StreamName("b"));
}

TEST_F(StreamVersionsTest, UnknownVersion_IsNotEqualToAnother) {
  EXPECT_FALSE(Of("").Accepts(Entry("")));
  this->Present({"", "v1"});
  this->first.Begin(this->now, "a", Of(""));
  this->WriteStreams(this->first);
  EXPECT_FALSE(this->Find("a").origin.Accepts(Entry("")));
}

TEST_F(StreamVersionsTest, ServiceWithoutVersions_IsUnrestricted) {
  this->Present({""});
  EXPECT_TRUE(this->first.MayBegin(Entry("")));
  EXPECT_FALSE(this->first.NeedsRecord(this->now, Of("")));
  EXPECT_EQ(this->Find("a").knowledge, OriginKnowledge::kUnrestricted);
  this->second.Begin(this->now, "b", Of(""));
  EXPECT_EQ(this->Find("b").knowledge, OriginKnowledge::kUnrestricted);
  EXPECT_EQ(this->written, ServiceVersions()) << "nothing is written";
}

TEST_F(StreamVersionsTest, RecordsOfOldStreams_AreDeletedByTheirGateway) {
  this->Present({"v1"});
  this->Present({"v1", "v2"});
  this->first.Begin(this->now, "a", Of("v2"));
  this->WriteStreams(this->first);
  this->now = this->now + kLifetime;
  EXPECT_TRUE(this->first.PlanDeletions(this->now, 10).empty());
  this->now = this->now + std::chrono::seconds(1);
  EXPECT_EQ(this->first.PlanDeletions(this->now, 10).size(), 1U);
  EXPECT_TRUE(this->second.PlanDeletions(this->now, 10).empty());
}

}  // namespace
}  // namespace fuchsiadrum::serving
