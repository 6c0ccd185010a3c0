#include "fuchsiadrum/membership/membership_agent.h"

#include <gtest/gtest.h>

#include <set>

namespace fuchsiadrum::membership {
namespace {

class MembershipAgentTest : public ::testing::Test {
 protected:
  static TimePoint Ms(int64_t ms) { return {ms * 1000}; }
  static std::vector<VmInfo> Peers(int zones, int in_zone) {
    std::vector<VmInfo> out;
    for (int zone = 0; zone < zones; ++zone) {
      for (int i = 0; i < in_zone; ++i) {
        const std::string name(1, static_cast<char>('a' + zone));
        out.push_back({.ref = {.vm = name + std::to_string(i)},
                       .availability_zone = name});
      }
    }
    return out;
  }
  static MembershipOptions Options(int zones, int in_zone) {
    return {.self = {.ref = {.vm = "a0", .incarnation = 9},
                     .availability_zone = "a"},
            .configured_peers = Peers(zones, in_zone)};
  }
  void Hear(MembershipAgent& agent, int64_t ms, const VmRef& from) {
    pb::PeerMessage message;
    message.mutable_heartbeat()->set_availability_zone(from.vm.substr(0, 1));
    agent.OnMessage(Ms(ms), from, message, this->out);
  }
  void Tick(MembershipAgent& agent, int64_t from, int64_t to) {
    for (int64_t ms = from; ms <= to; ms += 100) {
      agent.OnTick(Ms(ms), this->out);
    }
  }

  const VmRef b0{.vm = "b0", .incarnation = 4};
  Outbox out;
  MembershipAgent agent{Options(3, 3)};
};

// Guards against peers that are never addressed because their incarnation is
// not known.
TEST_F(MembershipAgentTest, OnTick_Start_SendsToAllConfiguredPeers) {
  this->agent.OnTick(Ms(0), this->out);
  EXPECT_EQ(this->out.messages.size(), 8U);
  for (const auto& envelope : this->out.messages) {
    EXPECT_EQ(envelope.to.incarnation, 0U);
  }
  EXPECT_TRUE(this->agent.AlivePeers().empty());
  EXPECT_EQ(this->agent.SilentFor(Ms(0), this->b0), std::nullopt);
}

// Guards against a dead peer that stays alive.
TEST_F(MembershipAgentTest, AlivePeers_SilentPeer_IsSuspected) {
  this->Tick(this->agent, 0, 0);
  this->Hear(this->agent, 50, this->b0);
  this->Tick(this->agent, 100, 3000);
  EXPECT_EQ(this->agent.AlivePeers().size(), 1U);
  this->Tick(this->agent, 3100, 3100);
  EXPECT_TRUE(this->agent.AlivePeers().empty());
  EXPECT_EQ(this->agent.SilentFor(Ms(3150), this->b0), Duration(3'100'000));
}

// Guards against the former process of a VM being taken for the present one.
TEST_F(MembershipAgentTest, SilentFor_NewerIncarnation_SilencesTheOlder) {
  this->Tick(this->agent, 0, 0);
  this->Hear(this->agent, 10, this->b0);
  this->Hear(this->agent, 20, {.vm = "b0", .incarnation = 5});
  this->Hear(this->agent, 30, this->b0);
  EXPECT_EQ(this->agent.SilentFor(Ms(30), this->b0), Duration::max());
  ASSERT_EQ(this->agent.AlivePeers().size(), 1U);
  EXPECT_EQ(this->agent.AlivePeers()[0].ref.incarnation, 5U);
}

// Guards against a daemon that takes all peers for dead after its own pause or
// a clock jump, and seals their grants.
TEST_F(MembershipAgentTest, SilentFor_PauseOrClockJump_RestartsTheSilence) {
  this->Tick(this->agent, 0, 0);
  this->Hear(this->agent, 50, this->b0);
  this->Tick(this->agent, 100, 500);
  EXPECT_LE(this->agent.SilentFor(Ms(3'600'000), this->b0),
            Duration(1'000'000));
  this->Tick(this->agent, 3'600'000, 3'600'000);
  EXPECT_EQ(this->agent.AlivePeers().size(), 1U);

  this->Tick(this->agent, -5000, -5000);
  EXPECT_EQ(this->agent.AlivePeers().size(), 1U);
  EXPECT_LE(this->agent.SilentFor(Ms(-5000), this->b0), Duration(1'000'000));
  // The time goes on from there.
  this->Tick(this->agent, -4900, -1900);
  EXPECT_TRUE(this->agent.AlivePeers().empty());
}

// Guards against a wrong VM list that ends or invents daemons.
TEST_F(MembershipAgentTest, OnVmList_WrongList_DoesNotDecideWhoIsAlive) {
  this->Tick(this->agent, 0, 0);
  this->Hear(this->agent, 50, this->b0);
  this->agent.OnVmList(Ms(60),
                       {{.name = "zz"}, {.name = "c1", .leaving = true}});
  ASSERT_EQ(this->agent.AlivePeers().size(), 1U);
  EXPECT_EQ(this->agent.AlivePeers()[0].ref.vm, "b0");
  EXPECT_EQ(this->agent.PeerSet().size(), 9U);
  this->agent.OnVmList(Ms(70), {});
  EXPECT_EQ(this->agent.PeerSet().size(), 8U);
}

// Guards against heartbeats of everyone to everyone in a large fleet, and
// against a fleet that falls apart into zones.
TEST_F(MembershipAgentTest, PeerSet_LargeFleet_IsBoundedAndConnected) {
  const auto all = Peers(5, 20);
  std::map<std::string, std::vector<VmRef>> sets;
  for (const VmInfo& self : all) {
    MembershipAgent one({.self = self, .configured_peers = all});
    sets[self.ref.vm] = one.PeerSet();
    EXPECT_EQ(sets[self.ref.vm].size(), 12U);
    int own = 0;
    for (const VmRef& peer : sets[self.ref.vm]) {
      own += peer.vm[0] == self.ref.vm[0] ? 1 : 0;
    }
    EXPECT_EQ(own, 8);
  }

  std::set<std::string> reached = {"a0"};
  std::vector<std::string> open = {"a0"};
  while (!open.empty()) {
    const std::string vm = open.back();
    open.pop_back();
    for (const VmRef& peer : sets[vm]) {
      if (reached.insert(peer.vm).second) open.push_back(peer.vm);
    }
  }
  EXPECT_EQ(reached.size(), all.size());
}

// Guards against a daemon outside the peer's set that learns nothing of it.
TEST_F(MembershipAgentTest, OnMessage_ReplyWanted_IsAnsweredOnce) {
  this->Tick(this->agent, 0, 0);
  this->out.messages.clear();
  pb::PeerMessage message;
  message.mutable_heartbeat()->set_reply_wanted(true);
  this->agent.OnMessage(Ms(10), this->b0, message, this->out);
  ASSERT_EQ(this->out.messages.size(), 1U);
  EXPECT_EQ(this->out.messages[0].to, this->b0);
  EXPECT_FALSE(this->out.messages[0].body.heartbeat().reply_wanted());
}

// Guards against new work for a leaving upstream until the next heartbeat.
TEST_F(MembershipAgentTest, NoteLeaving_NewUpstream_IsToldAtOnce) {
  this->Tick(this->agent, 0, 0);
  this->out.messages.clear();
  this->agent.NoteLeaving(Ms(10), "u1", this->out);
  ASSERT_EQ(this->out.messages.size(), 8U);
  EXPECT_EQ(this->out.messages[0].body.heartbeat().upstreams(0).upstream(),
            "u1");

  MembershipAgent other(Options(3, 3));
  other.OnMessage(Ms(10), this->b0, this->out.messages[0].body, this->out);
  EXPECT_EQ(other.LeavingUpstreams(), std::vector<std::string>{"u1"});
}

// Guards against two daemons that keep a hint alive between them after the
// upstream came back.
TEST_F(MembershipAgentTest, LeavingUpstreams_NobodySeesItAnyMore_IsForgotten) {
  MembershipAgent other(Options(3, 3));
  Outbox from_agent;
  Outbox from_other;
  const VmRef self{.vm = "a1", .incarnation = 9};
  this->agent.NoteLeaving(Ms(0), "u1", from_agent);
  for (int64_t ms = 0; ms <= 70'000; ms += 500) {
    this->agent.OnTick(Ms(ms), from_agent);
    other.OnTick(Ms(ms), from_other);
    for (const auto& sent : std::exchange(from_agent.messages, {})) {
      if (sent.to.vm == "b0") {
        other.OnMessage(Ms(ms), self, sent.body, from_other);
      }
    }
    for (const auto& sent : std::exchange(from_other.messages, {})) {
      if (sent.to.vm == "b0") {
        this->agent.OnMessage(Ms(ms), this->b0, sent.body, from_agent);
      }
    }
  }
  EXPECT_TRUE(this->agent.LeavingUpstreams().empty());
  EXPECT_TRUE(other.LeavingUpstreams().empty());
}

// Guards against membership traffic above 1 KB/s with nine daemons.
TEST_F(MembershipAgentTest, OnTick_NineDaemons_SendsLessThanOneKilobyte) {
  this->agent.SetOwnStatus({.log_offset = 1'000'000,
                            .digest = ~0ULL,
                            .digest_offset = 1'000'000,
                            .log_reachable = true,
                            .load = 0.7});
  this->Tick(this->agent, 0, 10'000);
  size_t bytes = 0;
  for (const auto& envelope : this->out.messages) {
    bytes += envelope.body.ByteSizeLong();
  }
  EXPECT_LT(bytes / 10, 1000U);
}

}  // namespace
}  // namespace fuchsiadrum::membership
