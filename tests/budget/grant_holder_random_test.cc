#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>

#include "fuchsiadrum/core/rng.h"
#include "tests/budget/grant_fleet.h"

namespace fuchsiadrum::budget {
namespace {

/// Random runs with outdated reads of the account, lost answers, late writes,
/// lost heartbeats, crashes with and without a successor that reclaims tokens,
/// and increases of the budget.
class GrantHolderRandomTest : public testing::TestWithParam<uint64_t> {
 protected:
  Rng rng{GetParam()};
  GrantFleet fleet{4};
  /// Small budgets are used up quickly; larger ones let grants exceed their
  /// ceilings.
  const Tokens top_up{GetParam() % 2 == 0 ? 1'000 : 4'000};
  Tokens limit{5 * top_up.count};
  TimePoint now{1'000'000'000};

  void Reserve(GrantFleet::Gateway& gateway) {
    const Tokens amount(this->rng.Between(1, 900));
    gateway.holder->OnRequest(this->now, kOrganisation, amount);
    if (gateway.holder->Reserve(this->now, kOrganisation, amount) ==
        ReserveOutcome::kReserved) {
      gateway.reserved += amount;
    }
  }

  void Settle(GrantFleet::Gateway& gateway) {
    if (gateway.reserved.count == 0) return;
    const Tokens spent(this->rng.Between(0, gateway.reserved.count));
    gateway.holder->Settle(kOrganisation, gateway.reserved, spent);
    gateway.reserved = Tokens(0);
    gateway.spent += spent;
  }

  void Write(GrantFleet::Gateway& gateway) {
    if (gateway.unanswered_write) {
      // The write is repeated until its outcome is known or can no longer be
      // determined.
      if (this->rng.Chance(0.5)) return;
      const auto open = *gateway.unanswered_write;
      gateway.unanswered_write.reset();
      const bool done = this->fleet.Apply(gateway, open.update, open.at);
      if (this->rng.Chance(0.1)) {
        gateway.holder->OnOutcomeUnknown(kOrganisation);
      } else if (done) {
        gateway.holder->OnWritten(this->now, kOrganisation);
      } else {
        gateway.holder->OnRefused(kOrganisation);
      }
      return;
    }
    const auto update = gateway.holder->PlanWrite(this->now, kOrganisation,
                                                  gateway.read_account);
    if (!update) return;
    if (this->rng.Chance(0.3)) {
      gateway.unanswered_write = {.update = *update, .at = gateway.read_end};
    } else if (this->fleet.Apply(gateway, *update, gateway.read_end)) {
      gateway.holder->OnWritten(this->now, kOrganisation);
    } else {
      gateway.holder->OnRefused(kOrganisation);
    }
    if (!gateway.unanswered_write) this->fleet.Read(gateway);
  }

  void WriteHeartbeat(GrantFleet::Gateway& gateway) {
    if (!gateway.unanswered_heartbeat) {
      const Tokens ceiling =
          GrantFleet::CeilingOf(gateway.holder->PlanHeartbeat(this->now));
      gateway.unanswered_heartbeat = {this->now, ceiling};
      gateway.holder->OnHeartbeatStarted(this->now);
    }
    // The heartbeat is lost, or its answer is lost, or it is answered.
    if (this->rng.Chance(0.3)) return;
    gateway.heartbeat_at = gateway.unanswered_heartbeat->first;
    gateway.heartbeat_ceiling = gateway.unanswered_heartbeat->second;
    if (this->rng.Chance(0.3)) return;
    gateway.unanswered_heartbeat.reset();
    gateway.holder->OnHeartbeatWritten(this->now);
  }

  void Kill(GrantFleet::Gateway& gateway) {
    gateway.alive = false;
    // The last write of the dead gateway may still be done before a successor
    // fences it.
    if (gateway.unanswered_write && this->rng.Chance(0.5)) {
      this->fleet.Apply(gateway, gateway.unanswered_write->update,
                        gateway.unanswered_write->at);
    }
    this->now =
        this->now + std::chrono::milliseconds(this->rng.Between(0, 3000));
    if (gateway.heartbeat_at && this->rng.Chance(0.7)) this->TakeOver(gateway);
    this->fleet.Start(this->limit);
  }

  void TakeOver(GrantFleet::Gateway& dead) {
    // Nothing can be reclaimed of an organisation that is not in the heartbeat.
    if (dead.heartbeat_ceiling.count == INT64_MAX) return;
    const Tokens ceiling =
        std::max(dead.recorded.ceiling, dead.heartbeat_ceiling);
    RecordedGrant after = dead.recorded;
    after.granted =
        std::min(after.granted, ReleasedTotal(GrantHolderOptions().release,
                                              ceiling, dead.recorded.granted,
                                              this->now - *dead.heartbeat_at) +
                                    Tokens(1));
    this->fleet.account.Replace(dead.recorded, after);
    ++this->fleet.end;
    dead.recorded = after;
  }
};

TEST_P(GrantHolderRandomTest, Spend_UnderFaults_NeverExceedsTheBudget) {
  this->fleet.SetLimit(this->limit);
  for (int step = 0; step < 10000; ++step) {
    this->now = this->now + std::chrono::milliseconds(this->rng.Between(1, 60));
    GrantFleet::Gateway& gateway =
        *this->fleet.gateways[this->rng.Below(this->fleet.gateways.size())];
    if (!gateway.alive) continue;
    switch (this->rng.Below(9)) {
      case 0:
      case 1:
        this->Reserve(gateway);
        break;
      case 2:
        this->Settle(gateway);
        break;
      case 3:
      case 4:
        this->Write(gateway);
        break;
      case 5:
        if (!gateway.unanswered_write) this->fleet.Read(gateway);
        break;
      case 6:
      case 7:
        this->WriteHeartbeat(gateway);
        break;
      case 8:
        if (this->rng.Chance(0.01)) {
          this->Kill(gateway);
        } else if (this->rng.Chance(0.1)) {
          this->limit += this->top_up;
          this->fleet.SetLimit(this->limit);
        }
        break;
    }
    ASSERT_LE(this->fleet.Used(), this->limit) << "step " << step;
    ASSERT_LE(this->fleet.account.granted, this->limit) << "step " << step;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, GrantHolderRandomTest,
                         testing::Range<uint64_t>(1, 101));

}  // namespace
}  // namespace fuchsiadrum::budget
