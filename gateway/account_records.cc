#include "gateway/account_records.h"

#include "schema/fleet.pb.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr std::string_view kBookKey = "book";
constexpr std::string_view kGrantKeyPrefix = "grant/";

}  // namespace

std::string_view BookKey() { return kBookKey; }

bool IsGrantKey(std::string_view key) {
  return key.starts_with(kGrantKeyPrefix);
}

std::string GrantKey(const std::string& organisation,
                     const std::string& holder) {
  return std::string(kGrantKeyPrefix) + organisation + "/" + holder;
}

store::KeyedRecord EncodeGrant(const std::string& organisation,
                               const std::string& holder,
                               const budget::RecordedGrant& recorded) {
  pb::FleetRecord record;
  pb::BudgetGrant& grant = *record.mutable_grant();
  grant.set_organisation(organisation);
  grant.set_holder(holder);
  grant.set_granted_tokens(recorded.granted.count);
  grant.set_spent_tokens(recorded.spent.count);
  grant.set_demand_tokens_per_s(recorded.demand.count);
  grant.set_ceiling_tokens(recorded.ceiling.count);
  return {.key = GrantKey(organisation, holder),
          .value = record.SerializeAsString()};
}

store::KeyedRecord EncodeBook(const budget::AccountBook& book) {
  pb::FleetRecord record;
  pb::AccountBook& content = *record.mutable_book();
  for (const auto& [name, account] : book) {
    pb::FleetAccount& item = *content.add_accounts();
    item.set_organisation(name);
    item.set_granted_tokens(account.granted.count);
    item.set_spent_tokens(account.spent.count);
    item.set_demand_tokens_per_s(account.demand.count);
    item.set_limit_tokens(account.limit.count);
    item.set_limit_version(account.limit_version);
    for (const auto& [zone, demand] : account.zone_demand) {
      (*item.mutable_zone_demand_tokens_per_s())[zone] = demand.count;
    }
  }
  return {.key = std::string(kBookKey), .value = record.SerializeAsString()};
}

std::optional<budget::RecordedGrant> DecodeGrant(
    const store::KeyedRecord& record) {
  pb::FleetRecord content;
  if (!record.value || !content.ParseFromString(*record.value) ||
      !content.has_grant()) {
    return std::nullopt;
  }
  const pb::BudgetGrant& grant = content.grant();
  return budget::RecordedGrant{.granted = Tokens(grant.granted_tokens()),
                               .spent = Tokens(grant.spent_tokens()),
                               .demand = Tokens(grant.demand_tokens_per_s()),
                               .ceiling = Tokens(grant.ceiling_tokens())};
}

std::optional<budget::AccountBook> DecodeBook(
    const store::KeyedRecord& record) {
  pb::FleetRecord content;
  if (record.key != kBookKey || !record.value ||
      !content.ParseFromString(*record.value) || !content.has_book()) {
    return std::nullopt;
  }
  budget::AccountBook book;
  for (const pb::FleetAccount& item : content.book().accounts()) {
    budget::FleetAccount& account = book[item.organisation()];
    account.granted = Tokens(item.granted_tokens());
    account.spent = Tokens(item.spent_tokens());
    account.demand = Tokens(item.demand_tokens_per_s());
    account.limit = Tokens(item.limit_tokens());
    account.limit_version = item.limit_version();
    for (const auto& [zone, demand] : item.zone_demand_tokens_per_s()) {
      account.zone_demand[zone] = Tokens(demand);
    }
  }
  return book;
}

}  // namespace fuchsiadrum::gateway
