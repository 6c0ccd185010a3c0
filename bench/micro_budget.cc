#include "bench/micro_budget.h"

#include <malloc.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "bench/budget_demand.h"
#include "bench/budget_world.h"

namespace fuchsiadrum::bench {
namespace {

/// Peers that are always alive.
class StillView : public PeerView {
 public:
  StillView()
      : self({{"vm-0", 1}, "zone-a"}),
        peers({{{"vm-1", 1}, "zone-a"}, {{"vm-2", 1}, "zone-b"}}) {}
  const VmInfo& Self() const override { return this->self; }
  const std::vector<VmInfo>& AlivePeers() const override { return this->peers; }
  std::optional<Duration> SilentFor(TimePoint /*now*/,
                                    const VmRef& /*peer*/) const override {
    return Duration(0);
  }
  bool IsLogReachable() const override { return true; }

 private:
  VmInfo self;
  std::vector<VmInfo> peers;
};

double NanosecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::nano>(
             std::chrono::steady_clock::now() - start)
      .count();
}

pb::Record TopUpOf(const std::string& organisation) {
  pb::Record record;
  record.mutable_top_up()->set_organisation(organisation);
  record.mutable_top_up()->set_tokens(int64_t{1} << 50);
  record.mutable_top_up()->set_top_up_id("start");
  return record;
}

pb::Record GrantOf(const std::string& organisation) {
  pb::Record record;
  pb::Grant& grant = *record.mutable_grant();
  grant.set_organisation(organisation);
  *grant.mutable_holder() = VmRef{"vm-0", 1}.ToProto();
  *grant.mutable_fine_witness() = VmRef{"vm-1", 1}.ToProto();
  *grant.mutable_coarse_witness() = VmRef{"vm-2", 1}.ToProto();
  grant.set_amount(int64_t{1} << 40);
  grant.set_initial_ceiling(int64_t{1} << 40);
  return record;
}

/// Nanoseconds of one reservation from Reserve to Confirm, over ten
/// organisations in turn.
double MeasureReserve() {
  constexpr int kOrganisations = 10;
  constexpr int kCalls = 2'000'000;
  StillView view;
  budget::Ledger ledger;
  budget::EscrowAgent agent(ledger, view, {}, Rng(1));
  Outbox out;
  std::vector<std::string> names;
  uint64_t offset = 0;
  for (int i = 0; i < kOrganisations; ++i) {
    names.push_back("organisation-" + std::to_string(i));
    for (const pb::Record& record :
         {TopUpOf(names.back()), GrantOf(names.back())}) {
      const LogPosition at{offset++, 0};
      const Verdict verdict = ledger.Apply(at, {"vm-0", 1}, record);
      agent.OnRecord({1}, at, record, verdict, out);
    }
  }

  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kCalls; ++i) {
    const TimePoint now{i};
    const budget::ReserveResult result =
        agent.Reserve(now, names[static_cast<size_t>(i % kOrganisations)],
                      Tokens(1000), Tokens(1000), now, out);
    agent.Settle(now, result.id, Tokens(600));
    agent.Confirm(now, result.id, true);
  }
  return NanosecondsSince(start) / kCalls;
}

/// Bytes of heap for each account and for each grant, and nanoseconds of one
/// folded settlement.
nlohmann::json MeasureState() {
  constexpr int64_t kAccounts = 1000;
  constexpr int64_t kGrants = 9 * kAccounts;
  budget::Ledger ledger;
  uint64_t offset = 0;
  const auto used = [] { return static_cast<double>(mallinfo2().uordblks); };

  const double before = used();
  for (int64_t i = 0; i < kAccounts; ++i) {
    ledger.Apply({offset++, 0}, {"operator", 1},
                 TopUpOf("organisation-" + std::to_string(i)));
  }
  const double with_accounts = used();
  std::vector<LogPosition> grants;
  grants.reserve(kGrants);
  const double with_list = used();
  for (int64_t i = 0; i < kGrants; ++i) {
    grants.push_back({offset, 0});
    ledger.Apply({offset++, 0}, {"vm-0", 1},
                 GrantOf("organisation-" + std::to_string(i % kAccounts)));
  }
  const double with_grants = used();

  constexpr int64_t kRounds = 50;
  pb::Record record;
  const auto start = std::chrono::steady_clock::now();
  for (int64_t round = 1; round <= kRounds; ++round) {
    record.mutable_settle()->set_spent(round * 100);
    for (const LogPosition grant : grants) {
      *record.mutable_settle()->mutable_grant() = grant.ToProto();
      ledger.Apply({offset++, 0}, {"vm-0", 1}, record);
    }
  }
  const double records = kRounds * static_cast<double>(grants.size());
  return {{"bytes_per_account", (with_accounts - before) / kAccounts},
          {"bytes_per_grant",
           (with_grants - with_list) / static_cast<double>(grants.size())},
          {"fold_settle_ns", NanosecondsSince(start) / records}};
}

/// Bytes/s that one daemon sends to peers and appends, at one request/s of each
/// organisation over the fleet, after five minutes.
std::pair<double, double> MeasureControlBytes(int organisations) {
  WorldOptions options;
  options.tick = std::chrono::milliseconds(100);
  options.heartbeat = std::chrono::seconds(1);
  BudgetWorld world(1, options);
  std::vector<OrganisationDemand> demands;
  demands.reserve(static_cast<size_t>(organisations));
  for (int i = 0; i < organisations; ++i) {
    demands.push_back({.name = "organisation-" + std::to_string(i)});
    world.TopUp(demands.back().name, Tokens(100'000'000), "start");
  }
  BudgetDemand demand(world, demands, Rng(1));
  demand.Start();

  constexpr int64_t kSeconds = 300;
  world.queue.RunUntil(world.queue.Now() + std::chrono::seconds(kSeconds));
  ControlBytes bytes;
  for (int i = 0; i < kDaemons; ++i) {
    bytes.messages += world.At(i).bytes.messages;
    bytes.appended += world.At(i).bytes.appended;
  }
  const double scale = 1.0 / (kSeconds * kDaemons);
  return {static_cast<double>(bytes.messages) * scale,
          static_cast<double>(bytes.appended) * scale};
}

}  // namespace

nlohmann::json MeasureBudget() {
  nlohmann::json out = MeasureState();
  out["reserve_settle_confirm_ns"] = MeasureReserve();

  constexpr int kFew = 10;
  constexpr int kMany = 40;
  const auto few = MeasureControlBytes(kFew);
  const auto many = MeasureControlBytes(kMany);
  out["message_bytes_per_s"] = few.first;
  out["append_bytes_per_s"] = few.second;
  out["message_bytes_per_s_per_organisation"] =
      (many.first - few.first) / (kMany - kFew);
  out["append_bytes_per_s_per_organisation"] =
      (many.second - few.second) / (kMany - kFew);
  // Each daemon reads what every other appends; messages go to two witnesses
  // for each grant, whatever the number of peers.
  out["read_bytes_per_s_per_peer"] = few.second;
  return out;
}

}  // namespace fuchsiadrum::bench
