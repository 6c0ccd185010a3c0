#include "tests/serving/admission_zone.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::serving {
namespace {

class AdmissionZoneTest : public testing::Test {
 protected:
  static ZoneKind Digests(double per_s, int priority = 3) {
    return {.name = "digest",
            .bytes = 9700,
            .per_s = per_s,
            .target = std::chrono::milliseconds(800),
            .priority = priority};
  }
  static ZoneKind Calls(double per_s, int priority = 3) {
    return {.name = "call",
            .bytes = 1100,
            .per_s = per_s,
            .target = std::chrono::milliseconds(150),
            .priority = priority};
  }
  static double Part(int count, const ZoneCounts& of) {
    return static_cast<double>(count) / std::max(1, of.offered);
  }
  void Print(AdmissionZone& zone, const std::string& name) {
    const ZoneCounts& counts = zone.Counts(name);
    std::printf(
        "  %s: offered %d, on time %.4f, served %.4f, refusals %d, failed "
        "%.4f, most away %.3f, moves %d\n",
        name.c_str(), counts.offered, Part(counts.on_time, counts),
        Part(counts.served, counts), counts.refusals,
        Part(counts.failed, counts), zone.MostAway(), zone.Moves());
  }
};

// Four VMs of 10 Mbit/s get the callers of a hot organisation, 1.3 times what
// their links carry, beside four idle VMs of 200 Mbit/s.
TEST_F(AdmissionZoneTest, HotOrganisationOnSmallLinks_MovesToIdleVms) {
  AdmissionZone zone({.link_mbps = {10, 10, 10, 10, 200, 200, 200, 200},
                      .kinds = {Digests(1000), Calls(700)}});
  zone.Run(std::chrono::seconds(30));
  this->Print(zone, "digest");
  this->Print(zone, "call");

  const ZoneCounts& calls = zone.Counts("call");
  const ZoneCounts& digests = zone.Counts("digest");
  EXPECT_GT(Part(calls.on_time, calls), 0.98);
  EXPECT_GT(Part(digests.on_time, digests), 0.97);
  EXPECT_LT(Part(digests.failed, digests), 0.02);
  EXPECT_LE(zone.MostAway(), 0.125);
}

// All VMs of the zone are full, with 1.3 times what their links carry. They
// must use them, and settlements of 600 bytes must go on.
TEST_F(AdmissionZoneTest, FullZone_UsesItsLinksAndServesCalls) {
  AdmissionZone zone({.link_mbps = {10, 10, 10, 10, 10, 10},
                      .kinds = {Digests(900), Calls(400)},
                      .hot_part = 0.3,
                      .hot_vms = 6});
  zone.Run(std::chrono::seconds(30));
  this->Print(zone, "digest");
  this->Print(zone, "call");

  const ZoneCounts& calls = zone.Counts("call");
  const ZoneCounts& digests = zone.Counts("digest");
  EXPECT_GT(Part(calls.on_time, calls), 0.5);
  EXPECT_GT(Part(digests.served, digests), 0.5);
  EXPECT_LE(zone.MostAway(), 0.125);
}

// Bursts of 30 digests each second and calls between them, at 0.3 of the link.
TEST_F(AdmissionZoneTest, UnsaturatedLinks_RefuseAndMoveNothing) {
  AdmissionZone zone(
      {.link_mbps = {10, 10, 10, 10}, .kinds = {Digests(150), Calls(200)}});
  zone.Run(std::chrono::seconds(30));
  this->Print(zone, "digest");
  this->Print(zone, "call");

  EXPECT_EQ(zone.Counts("digest").refusals, 0);
  EXPECT_EQ(zone.Counts("call").refusals, 0);
  EXPECT_EQ(zone.Moves(), 0);
  EXPECT_EQ(zone.MostAway(), 0);
}

// One organisation makes nine tenths of the requests of a full zone. The others
// must not be refused for it.
TEST_F(AdmissionZoneTest, HotOrganisationInAFullZone_StarvesNoOther) {
  AdmissionZone zone({.link_mbps = {10, 10, 10, 10},
                      .kinds = {Digests(600), Calls(200)},
                      .hot_part = 0.9});
  zone.Run(std::chrono::seconds(30));
  this->Print(zone, "digest");
  this->Print(zone, "call");

  const ZoneCounts& hot = zone.OfOrganisation("o0");
  for (int i = 1; i < 6; ++i) {
    const ZoneCounts& other = zone.OfOrganisation("o" + std::to_string(i));
    EXPECT_GE(Part(other.served, other), Part(hot.served, hot)) << i;
    EXPECT_GT(Part(other.served, other), 0.7) << i;
  }
}

}  // namespace
}  // namespace fuchsiadrum::serving
