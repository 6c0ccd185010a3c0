#include "bench/budget_policy.h"

#include "bench/budget_baselines.h"

namespace fuchsiadrum::bench {
namespace {

/// The product: Ledger and EscrowAgent.
class EscrowPolicy : public BudgetPolicy {
 public:
  explicit EscrowPolicy(const BudgetPolicySetup& setup)
      : ledger(setup.options.mutation),
        agent(this->ledger, setup.view, setup.options, Rng(setup.seed)) {}

  budget::ReserveResult Reserve(TimePoint now, std::string_view organisation,
                                Tokens worst_case, Tokens minimum,
                                TimePoint wait_until, Outbox& out) override {
    return this->agent.Reserve(now, organisation, worst_case, minimum,
                               wait_until, out);
  }
  std::vector<budget::ReserveResult> TakeFinished() override {
    return this->agent.TakeFinished();
  }
  void Settle(TimePoint now, budget::ReservationId id, Tokens used) override {
    this->agent.Settle(now, id, used);
  }
  void Confirm(TimePoint now, budget::ReservationId id,
               bool billed_here) override {
    this->agent.Confirm(now, id, billed_here);
  }
  void Release(TimePoint now, budget::ReservationId id) override {
    this->agent.Release(now, id);
  }
  void Abandon(TimePoint now, budget::ReservationId id) override {
    this->agent.Abandon(now, id);
  }
  void OnRecord(TimePoint now, LogPosition at, const VmRef& writer,
                const pb::Record& record, Outbox& out) override {
    const Verdict verdict = this->ledger.Apply(at, writer, record);
    this->agent.OnRecord(now, at, record, verdict, out);
  }
  void OnMessage(TimePoint now, const VmRef& from,
                 const pb::PeerMessage& message, Outbox& out) override {
    this->agent.OnMessage(now, from, message, out);
  }
  void OnTick(TimePoint now, Outbox& out) override {
    this->agent.OnTick(now, out);
  }
  void BeginDrain(TimePoint now, Outbox& out) override {
    this->agent.BeginDrain(now, out);
  }
  bool IsDrained() const override { return this->agent.IsDrained(); }
  budget::Ledger* ProductLedger() override { return &this->ledger; }
  budget::EscrowAgent* ProductAgent() override { return &this->agent; }

 private:
  budget::Ledger ledger;
  budget::EscrowAgent agent;
};

}  // namespace

std::unique_ptr<BudgetPolicy> MakeBudgetPolicy(const BudgetPolicySetup& setup) {
  if (setup.name.empty()) return std::make_unique<EscrowPolicy>(setup);
  return MakeBudgetBaseline(setup);
}

}  // namespace fuchsiadrum::bench
