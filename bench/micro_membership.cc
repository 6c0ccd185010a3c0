#include "bench/micro_membership.h"

#include <array>
#include <chrono>
#include <string>

#include "fuchsiadrum/membership/membership_agent.h"

namespace fuchsiadrum::bench {
namespace {

constexpr int kSeconds = 60;
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr std::array<int, 4> kFleetSizes = {9, 17, 100, 940};
constexpr int kZones = 11;

VmInfo Member(int number) {
  return {{"vm-" + std::to_string(number), 1},
          "zone-" + std::to_string(number % kZones)};
}

nlohmann::json MeasureFleet(int daemons) {
  membership::MembershipOptions options{.self = Member(0)};
  for (int i = 1; i < daemons; ++i) {
    options.configured_peers.push_back(Member(i));
  }
  membership::MembershipAgent agent(std::move(options));
  pb::PeerMessage heartbeat;
  heartbeat.mutable_heartbeat()->set_availability_zone("zone-1");
  heartbeat.mutable_heartbeat()->set_log_offset(1000000);
  heartbeat.mutable_heartbeat()->set_digest(~0ULL);
  heartbeat.mutable_heartbeat()->set_digest_offset(1000000);
  heartbeat.mutable_heartbeat()->set_log_reachable(true);

  size_t bytes = 0;
  size_t messages = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int step = 0; step < kSeconds * 10; ++step) {
    const TimePoint now{step * kTick.count()};
    Outbox out;
    agent.SetOwnStatus({.log_offset = 1000000,
                        .digest = ~0ULL,
                        .digest_offset = 1000000,
                        .log_reachable = true,
                        .load = 0.5});
    agent.OnTick(now, out);
    for (const Envelope& envelope : out.messages) {
      ++messages;
      bytes += envelope.body.ByteSizeLong();
      // Every peer that is addressed answers with a heartbeat of its own.
      Outbox ignored;
      agent.OnMessage(now, {envelope.to.vm, 1}, heartbeat, ignored);
    }
  }
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - begin;
  return {{"daemons", daemons},
          {"messages_per_s", static_cast<double>(messages) / kSeconds},
          {"bytes_per_s", static_cast<double>(bytes) / kSeconds},
          {"core_share", spent.count() / kSeconds}};
}

}  // namespace

nlohmann::json MeasureMembership() {
  nlohmann::json out = nlohmann::json::array();
  for (const int daemons : kFleetSizes) out.push_back(MeasureFleet(daemons));
  return out;
}

}  // namespace fuchsiadrum::bench
