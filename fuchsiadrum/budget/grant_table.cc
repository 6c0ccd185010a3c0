#include "fuchsiadrum/budget/grant_table.h"

namespace fuchsiadrum::budget {
namespace {

/// Age of a record above which its demand no longer counts. A holder in use
/// changes its record several times a second; an outage of the store may take
/// some seconds.
constexpr Duration kDemandLifetime = std::chrono::seconds(8);

}  // namespace

void GrantTable::Set(TimePoint now, const std::string& organisation,
                     const std::string& holder, const RecordedGrant& grant) {
  Account& account = this->accounts[organisation];
  Entry& entry = account.grants[holder];
  Add(account.sums, entry.grant, -1);
  entry = {.grant = grant, .changed_at = now};
  Add(account.sums, grant, 1);
}

void GrantTable::Erase(const std::string& organisation,
                       const std::string& holder) {
  const auto account = this->accounts.find(organisation);
  if (account == this->accounts.end()) return;
  const auto entry = account->second.grants.find(holder);
  if (entry == account->second.grants.end()) return;

  Add(account->second.sums, entry->second.grant, -1);
  account->second.grants.erase(entry);
}

GrantTable::Sums GrantTable::SumsOf(const std::string& organisation) const {
  const auto found = this->accounts.find(organisation);
  return found == this->accounts.end() ? Sums() : found->second.sums;
}

Tokens GrantTable::DemandOfOthers(TimePoint now,
                                  const std::string& organisation,
                                  const std::string& holder) const {
  Tokens demand;
  const auto account = this->accounts.find(organisation);
  if (account == this->accounts.end()) return demand;
  for (const auto& [name, entry] : account->second.grants) {
    if (name == holder || now - entry.changed_at > kDemandLifetime) continue;
    demand += entry.grant.demand;
  }
  return demand;
}

RecordedGrant GrantTable::Of(const std::string& organisation,
                             const std::string& holder) const {
  const auto account = this->accounts.find(organisation);
  if (account == this->accounts.end()) return {};
  const auto entry = account->second.grants.find(holder);
  return entry == account->second.grants.end() ? RecordedGrant()
                                               : entry->second.grant;
}

std::vector<std::string> GrantTable::Organisations() const {
  std::vector<std::string> names;
  for (const auto& [name, account] : this->accounts) names.push_back(name);
  return names;
}

void GrantTable::Add(Sums& sums, const RecordedGrant& grant, int sign) {
  sums.granted += Tokens(sign * grant.granted.count);
  sums.spent += Tokens(sign * grant.spent.count);
}

}  // namespace fuchsiadrum::budget
