#include "fuchsiadrum/log/log_agent.h"

#include <gtest/gtest.h>

#include <memory>

#include "tests/log/log_test_support.h"

namespace fuchsiadrum::log {
namespace {

/// Peers that the test sets.
class FixedPeers : public PeerView {
 public:
  const VmInfo& Self() const override { return this->self; }
  const std::vector<VmInfo>& AlivePeers() const override { return this->alive; }
  std::optional<Duration> SilentFor(TimePoint /*now*/,
                                    const VmRef& /*peer*/) const override {
    return std::nullopt;
  }
  bool IsLogReachable() const override { return true; }

  VmInfo self;
  std::vector<VmInfo> alive;
};

/// One daemon's log parts.
struct Daemon {
  explicit Daemon(const VmRef& ref, const std::vector<std::string>& members) {
    this->peers.self = {.ref = ref, .availability_zone = "a"};
    LogAgentOptions options;
    options.appender.self = ref;
    options.appender.fleet_key = std::string(kTestKey);
    options.server.fleet_key = std::string(kTestKey);
    options.members = members;
    options.combine_above = 2;
    this->agent =
        std::make_unique<LogAgent>(options, this->replica, this->peers);
  }

  FixedPeers peers;
  SumPart part;
  Replica replica{{.fleet_key = std::string(kTestKey)}, {&part}, {}};
  std::unique_ptr<LogAgent> agent;
  Outbox out;
};

class LogAgentTest : public ::testing::Test {
 protected:
  static TimePoint Ms(int64_t ms) { return {ms * 1000}; }
  LogAgentTest() {
    this->Meet(this->cut, this->near);
    this->Meet(this->near, this->cut);
    for (uint64_t i = 1; i <= 5; ++i) {
      this->log.push_back(
          Sealed({.vm = "w", .incarnation = 1}, i, {TopUpRecord("acme", 1)}));
    }
  }
  /// `knower` hears a heartbeat of `other`.
  static void Meet(Daemon& knower, const Daemon& other, uint64_t offset = 5) {
    if (knower.peers.alive.empty()) {
      knower.peers.alive.push_back(other.peers.self);
    }
    pb::PeerMessage message;
    message.mutable_heartbeat()->set_log_offset(offset);
    message.mutable_heartbeat()->set_log_reachable(true);
    knower.agent->OnMessage({}, other.peers.self.ref, message, knower.out);
  }
  /// Carries all messages between the two daemons until none is left.
  void Carry(int64_t ms) {
    while (!this->cut.out.messages.empty() ||
           !this->near.out.messages.empty()) {
      for (const auto& sent : std::exchange(this->cut.out.messages, {})) {
        this->near.agent->OnMessage(Ms(ms), this->cut.peers.self.ref, sent.body,
                                    this->near.out);
      }
      for (const auto& sent : std::exchange(this->near.out.messages, {})) {
        this->cut.agent->OnMessage(Ms(ms), this->near.peers.self.ref, sent.body,
                                   this->cut.out);
      }
    }
  }
  void ReadDirectly(Daemon& daemon, int64_t ms, uint64_t first = 0) {
    daemon.agent->OnLogBounds(Ms(ms), first, this->log.size());
    daemon.agent->OnLogBatches(
        Ms(ms), first,
        {this->log.begin() + static_cast<int>(first), this->log.end()},
        daemon.out);
  }

  std::vector<std::string> log;
  Daemon cut{{.vm = "a1", .incarnation = 1}, {"a2"}};
  Daemon near{{.vm = "a2", .incarnation = 1}, {"a1"}};
};

// Guards against a zone that is cut off from the platform falling behind.
TEST_F(LogAgentTest, OnTick_LogNotReached_ReadsThroughAPeer) {
  this->ReadDirectly(this->near, 0);
  for (int64_t ms = 0; ms <= 500; ms += 100) {
    this->cut.agent->OnTick(Ms(ms), this->cut.out);
    this->Carry(ms);
  }
  EXPECT_EQ(this->cut.replica.FoldedOffset(), 5U);
  EXPECT_TRUE(this->cut.replica.IsReady());
  EXPECT_TRUE(this->cut.agent->IsRelayReachable(Ms(500)));
  EXPECT_FALSE(this->cut.agent->IsDirect(Ms(500)));
}

// Guards against records of a cut-off daemon that never reach the log, and
// against their being folded under the relay's name.
TEST_F(LogAgentTest, OnTick_AppendNotReadBack_IsRelayedAndFoldedOnce) {
  this->ReadDirectly(this->near, 0);
  this->ReadDirectly(this->cut, 0);
  ASSERT_TRUE(this->cut.agent->AddRecords(Ms(0), {TopUpRecord("acme", 10)}));
  ASSERT_TRUE(this->cut.agent->NextAppend(Ms(20), this->cut.out).has_value());
  this->cut.agent->OnAppendAnswer(Ms(30), false);

  for (int64_t ms = 100; ms <= 2000; ms += 100) {
    this->cut.agent->OnTick(Ms(ms), this->cut.out);
    this->Carry(ms);
  }
  this->near.agent->OnLogBounds(Ms(2000), 0, 5);
  const auto batch = this->near.agent->NextAppend(Ms(2020), this->near.out);
  ASSERT_TRUE(batch.has_value());
  this->log.push_back(*batch);
  this->log.push_back(*batch);
  this->ReadDirectly(this->near, 2030);
  this->ReadDirectly(this->cut, 2030);

  EXPECT_EQ(this->near.part.sums["acme"], 15);
  EXPECT_EQ(this->cut.replica.LastSequence(this->cut.peers.self.ref), 1U);
  EXPECT_TRUE(this->cut.agent->IsDrained());
}

// Guards against a daemon that stays without state although a peer has it.
TEST_F(LogAgentTest, OnTick_LogWithoutSnapshot_TakesTheStateOfAPeer) {
  this->ReadDirectly(this->near, 0);
  for (int64_t ms = 0; ms <= 2500; ms += 100) {
    this->cut.agent->OnLogBounds(Ms(ms), 5, 5);
    this->cut.agent->OnTick(Ms(ms), this->cut.out);
    this->Carry(ms);
  }
  EXPECT_TRUE(this->cut.replica.IsReady());
  EXPECT_EQ(this->cut.part.sums["acme"], 5);
}

// Guards against a log without a usable snapshot after a long outage.
TEST_F(LogAgentTest, OnTick_SnapshotFellOutOfRetention_IsWrittenAgain) {
  this->ReadDirectly(this->near, 0);
  this->near.peers.alive.clear();
  this->near.agent->OnLogBounds(Ms(100), 5, 5);
  this->near.agent->OnTick(Ms(100), this->near.out);
  EXPECT_EQ(this->near.agent->SnapshotsWritten(), 1U);
  ASSERT_TRUE(this->near.agent->NextAppend(Ms(200), this->near.out));
  this->near.agent->OnTick(Ms(200), this->near.out);
  EXPECT_EQ(this->near.agent->SnapshotsWritten(), 1U);
}

// Guards against a fleet that is stuck for ever on records that nobody read.
TEST_F(LogAgentTest, OnTick_NobodyFoldedTheGap_TheFurthestGoesOn) {
  this->ReadDirectly(this->near, 0);
  for (int64_t ms = 100; ms <= 6000; ms += 100) {
    this->near.agent->OnLogBounds(Ms(ms), 6, 6);
    this->near.agent->OnTick(Ms(ms), this->near.out);
    EXPECT_EQ(this->near.agent->GapGivenUp().has_value(), false) << ms;
    // The peer a1 stands first by name at the same offset.
    if (ms == 3000) Meet(this->near, this->cut, 4);
    if (ms == 6000) break;
  }
  for (int64_t ms = 6100; ms <= 9000; ms += 100) {
    this->near.agent->OnLogBounds(Ms(ms), 6, 6);
    this->near.agent->OnTick(Ms(ms), this->near.out);
  }
  EXPECT_TRUE(this->near.agent->GapGivenUp().has_value());
  EXPECT_EQ(this->near.replica.NextOffset(), 6U);
  EXPECT_EQ(this->near.agent->TakeAlarms().size(), 1U);
}

// Guards against giving up records that a daemon folded before it restarted:
// it may have told their authors that they are in force.
TEST_F(LogAgentTest, OnTick_MemberRestarted_WaitsForAnOrder) {
  this->ReadDirectly(this->near, 0);
  this->near.peers.alive[0].ref.incarnation = 2;
  Meet(this->near, this->cut, 0);
  for (int64_t ms = 100; ms <= 20'000; ms += 100) {
    this->near.agent->OnLogBounds(Ms(ms), 6, 6);
    this->near.agent->OnTick(Ms(ms), this->near.out);
  }
  EXPECT_FALSE(this->near.agent->GapGivenUp().has_value());
  EXPECT_FALSE(this->near.replica.IsReady());
  EXPECT_TRUE(this->near.agent->GiveUpGap(Ms(20'000)));
  EXPECT_FALSE(this->near.agent->GiveUpGap(Ms(20'000)));
}

// Guards against one append for each daemon in a large fleet, and against a
// combining daemon that is gone.
TEST_F(LogAgentTest, NextAppend_LargeFleet_GoesToTheCombiningDaemon) {
  const VmInfo third{.ref = {.vm = "a3", .incarnation = 1},
                     .availability_zone = "a"};
  int direct = 0;
  for (Daemon* daemon : {&this->cut, &this->near}) {
    daemon->out.messages.clear();
    daemon->peers.alive.push_back(third);
    ASSERT_TRUE(daemon->agent->AddRecords(Ms(0), {TopUpRecord("acme", 1)}));
    const auto batch = daemon->agent->NextAppend(Ms(20), daemon->out);
    direct += batch ? 1 : 0;
    if (batch) continue;

    ASSERT_EQ(daemon->out.messages.size(), 1U);
    EXPECT_TRUE(daemon->out.messages[0].body.has_append_relay());
    daemon->agent->OnTick(Ms(600), daemon->out);
    EXPECT_TRUE(daemon->agent->NextAppend(Ms(800), daemon->out).has_value());
  }
  EXPECT_LE(direct, 1);
}

}  // namespace
}  // namespace fuchsiadrum::log
