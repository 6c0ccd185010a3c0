#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "fuchsiadrum/budget/grant_holder.h"

namespace fuchsiadrum::budget {

inline constexpr char kOrganisation[] = "choir";

/// Simulates one organisation's account in the store and gateways that change
/// it, each on condition that the account is still the one that it read.
class GrantFleet {
 public:
  /// A write whose outcome the gateway does not know, and the partition's end
  /// on which it is conditional.
  struct UnansweredWrite {
    GrantUpdate update;
    uint64_t at = 0;
  };
  struct Gateway {
    std::unique_ptr<GrantHolder> holder;
    /// The account as the gateway last read it, and the partition's end at that
    /// time.
    FleetAccount read_account;
    uint64_t read_end = 0;
    /// The gateway's grant record in the store, and its last heartbeat there:
    /// when it was begun, and its ceiling.
    RecordedGrant recorded;
    std::optional<TimePoint> heartbeat_at;
    Tokens heartbeat_ceiling;
    /// A heartbeat without an answer: when it was begun, and its ceiling.
    std::optional<std::pair<TimePoint, Tokens>> unanswered_heartbeat;
    Tokens reserved;
    Tokens spent;
    bool alive = true;
    /// The store was restored, and the gateway has not written its grant again.
    bool restores = false;
    std::optional<UnansweredWrite> unanswered_write;
  };

  explicit GrantFleet(int size) {
    for (int i = 0; i < size; ++i) this->Start(std::nullopt);
  }

  Gateway& Start(std::optional<Tokens> limit) {
    auto gateway = std::make_unique<Gateway>();
    gateway->holder = std::make_unique<GrantHolder>(GrantHolderOptions());
    if (limit) gateway->holder->SetLimit(kOrganisation, limit, this->version);
    this->gateways.push_back(std::move(gateway));
    return *this->gateways.back();
  }

  void SetLimit(Tokens limit) {
    ++this->version;
    for (const auto& gateway : this->gateways) {
      gateway->holder->SetLimit(kOrganisation, limit, this->version);
    }
  }

  void Read(Gateway& gateway) const {
    gateway.read_account = this->account;
    gateway.read_end = this->end;
  }

  /// Does a write if its condition holds, as the store would; otherwise returns
  /// false.
  bool Apply(Gateway& gateway, const GrantUpdate& update, uint64_t at) {
    if (at != this->end) return false;
    ++this->end;
    this->account = update.account;
    gateway.recorded = update.grant;
    return true;
  }

  /// Reads the account and writes the change that the gateway plans, if any.
  void Write(Gateway& gateway, TimePoint now) {
    this->Read(gateway);
    const auto update =
        gateway.holder->PlanWrite(now, kOrganisation, gateway.read_account);
    if (!update) return;
    ASSERT_TRUE(this->Apply(gateway, *update, gateway.read_end));
    gateway.holder->OnWritten(now, kOrganisation);
  }

  /// Calls Write only if it is due, as the gateway program does.
  void WriteIfDue(Gateway& gateway, TimePoint now) {
    if (gateway.holder->IsDue(now, kOrganisation)) this->Write(gateway, now);
  }

  static Tokens CeilingOf(const std::vector<GrantCeiling>& ceilings) {
    return ceilings.empty() ? Tokens(INT64_MAX) : ceilings[0].ceiling;
  }

  void WriteHeartbeat(Gateway& gateway, TimePoint now) {
    gateway.heartbeat_ceiling = CeilingOf(gateway.holder->PlanHeartbeat(now));
    gateway.heartbeat_at = now;
    gateway.holder->OnHeartbeatStarted(now);
    gateway.holder->OnHeartbeatWritten(now);
  }

  bool Spend(Gateway& gateway, TimePoint now, Tokens amount) {
    gateway.holder->OnRequest(now, kOrganisation, amount);
    if (gateway.holder->Reserve(now, kOrganisation, amount) !=
        ReserveOutcome::kReserved) {
      return false;
    }
    gateway.holder->Settle(kOrganisation, amount, amount);
    gateway.spent += amount;
    return true;
  }

  /// Copies the store's records of the account.
  void TakeCopy() {
    this->copied_account = this->account;
    this->copied_grants.clear();
    for (const auto& gateway : this->gateways) {
      this->copied_grants.push_back(gateway->recorded);
    }
  }
  /// Replaces the store's records by the last copy. Gateways keep what they
  /// remember; all of them learn of it at once.
  void RestoreCopy(TimePoint now) {
    this->account = this->copied_account;
    this->end += 1000;
    for (size_t i = 0; i < this->gateways.size(); ++i) {
      Gateway& gateway = *this->gateways[i];
      gateway.recorded = i < this->copied_grants.size() ? this->copied_grants[i]
                                                        : RecordedGrant();
      gateway.restores = gateway.alive;
      if (gateway.unanswered_write) {
        gateway.unanswered_write.reset();
        gateway.holder->OnOutcomeUnknown(kOrganisation);
      }
      gateway.holder->OnStoreRestored(now);
    }
  }
  /// Writes the grant of the gateway again, as it does before any other write.
  void Restore(Gateway& gateway, TimePoint now) {
    gateway.restores = false;
    this->Read(gateway);
    const auto update = gateway.holder->PlanRestore(
        kOrganisation, gateway.recorded, gateway.read_account);
    if (!update) return;
    ASSERT_TRUE(this->Apply(gateway, *update, gateway.read_end));
    gateway.holder->OnWritten(now, kOrganisation);
  }

  /// Like Spend, but a request that finds too few tokens waits for one write of
  /// the grant.
  bool SpendOrFetch(Gateway& gateway, TimePoint now, Tokens amount) {
    if (this->Spend(gateway, now, amount)) return true;
    this->WriteIfDue(gateway, now);
    if (gateway.holder->Reserve(now, kOrganisation, amount) !=
        ReserveOutcome::kReserved) {
      return false;
    }
    gateway.holder->Settle(kOrganisation, amount, amount);
    gateway.spent += amount;
    return true;
  }

  Tokens Used() const {
    Tokens used;
    for (const auto& gateway : this->gateways) {
      used += gateway->spent + gateway->reserved;
    }
    return used;
  }

  std::vector<std::unique_ptr<Gateway>> gateways;
  FleetAccount account;
  FleetAccount copied_account;
  std::vector<RecordedGrant> copied_grants;
  uint64_t end = 0;
  uint64_t version = 1;
};

}  // namespace fuchsiadrum::budget
