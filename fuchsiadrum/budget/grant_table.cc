#include "fuchsiadrum/budget/grant_table.h"

namespace fuchsiadrum::budget {

void GrantTable::Set(const std::string& organisation, const std::string& holder,
                     const RecordedGrant& grant) {
  Account& account = this->accounts[organisation];
  RecordedGrant& entry = account.grants[holder];
  Add(account.sums, entry, -1);
  entry = grant;
  Add(account.sums, entry, 1);
}

void GrantTable::Erase(const std::string& organisation,
                       const std::string& holder) {
  const auto account = this->accounts.find(organisation);
  if (account == this->accounts.end()) return;
  const auto entry = account->second.grants.find(holder);
  if (entry == account->second.grants.end()) return;

  Add(account->second.sums, entry->second, -1);
  account->second.grants.erase(entry);
}

GrantTable::Sums GrantTable::SumsOf(const std::string& organisation) const {
  const auto found = this->accounts.find(organisation);
  return found == this->accounts.end() ? Sums() : found->second.sums;
}

RecordedGrant GrantTable::Of(const std::string& organisation,
                             const std::string& holder) const {
  const auto account = this->accounts.find(organisation);
  if (account == this->accounts.end()) return {};
  const auto entry = account->second.grants.find(holder);
  return entry == account->second.grants.end() ? RecordedGrant()
                                               : entry->second;
}

void GrantTable::Add(Sums& sums, const RecordedGrant& grant, int sign) {
  sums.granted += Tokens(sign * grant.granted.count);
  sums.spent += Tokens(sign * grant.spent.count);
  sums.demand += Tokens(sign * grant.demand.count);
}

}  // namespace fuchsiadrum::budget
