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

/// One organisation's account in the store, and gateways that change it on
/// condition that it is still what they read.
class GrantFleet {
 public:
  /// A write whose outcome the gateway does not know.
  struct Unanswered {
    GrantUpdate update;
    uint64_t at = 0;
  };
  struct Gateway {
    std::unique_ptr<GrantHolder> holder;
    /// The account as the gateway last read it, and the partition's end then.
    FleetAccount seen;
    uint64_t seen_end = 0;
    /// The own record in the store, and the last sign there.
    RecordedGrant recorded;
    std::optional<TimePoint> signed_at;
    Tokens signed_ceiling;
    /// A sign whose answer is missing: when it was begun, and its ceiling.
    std::optional<std::pair<TimePoint, Tokens>> open_sign;
    Tokens reserved;
    Tokens spent;
    bool alive = true;
    std::optional<Unanswered> unanswered;
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
    gateway.seen = this->account;
    gateway.seen_end = this->end;
  }

  /// The store does a write if its condition holds; false: it does not.
  bool Apply(Gateway& gateway, const GrantUpdate& update, uint64_t at) {
    if (at != this->end) return false;
    ++this->end;
    this->account = update.account;
    gateway.recorded = update.grant;
    return true;
  }

  /// Visits the account until there is nothing more to write.
  void Write(Gateway& gateway, TimePoint now) {
    this->Read(gateway);
    const auto update =
        gateway.holder->PlanWrite(now, kOrganisation, gateway.seen);
    if (!update) return;
    ASSERT_TRUE(this->Apply(gateway, *update, gateway.seen_end));
    gateway.holder->OnWritten(now, kOrganisation);
  }

  /// A visit only when the gateway wants one, as the program does it.
  void WriteIfDue(Gateway& gateway, TimePoint now) {
    if (gateway.holder->IsDue(now, kOrganisation)) this->Write(gateway, now);
  }

  static Tokens CeilingOf(const std::vector<HeldCeiling>& ceilings) {
    return ceilings.empty() ? Tokens(INT64_MAX) : ceilings[0].ceiling;
  }

  void Sign(Gateway& gateway, TimePoint now) {
    gateway.signed_ceiling = CeilingOf(gateway.holder->PlanSign(now));
    gateway.signed_at = now;
    gateway.holder->OnSignBegun(now);
    gateway.holder->OnSigned(now);
  }

  bool Spend(Gateway& gateway, TimePoint now, Tokens amount) {
    gateway.holder->OnRequest(now, kOrganisation, amount);
    if (gateway.holder->Reserve(now, kOrganisation, amount) !=
        ReserveResult::kReserved) {
      return false;
    }
    gateway.holder->Settle(kOrganisation, amount, amount);
    gateway.spent += amount;
    return true;
  }

  /// As Spend, but a request that finds no tokens waits for one visit.
  bool SpendOrFetch(Gateway& gateway, TimePoint now, Tokens amount) {
    if (this->Spend(gateway, now, amount)) return true;
    this->WriteIfDue(gateway, now);
    if (gateway.holder->Reserve(now, kOrganisation, amount) !=
        ReserveResult::kReserved) {
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
  uint64_t end = 0;
  uint64_t version = 1;
};

}  // namespace fuchsiadrum::budget
