#include "bench/requests_claims.h"

#include <utility>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::bench::requests {
namespace {

using request::Billing;
using request::Call;
using request::ClaimOutcome;
using request::Completion;
using request::Decision;

std::string IndexOf(const std::string& organisation, const std::string& key) {
  return organisation + "/" + key;
}

/// The product.
class AgentRules : public ClaimRules {
 public:
  explicit AgentRules(const ClaimContext& context)
      : agent(context.table, context.peers, context.options,
              Rng(context.seed)) {}

  std::optional<Decision> Ask(TimePoint now, const Call& call,
                              Outbox& out) override {
    return this->agent.Ask(now, call, out);
  }
  std::vector<Decision> TakeDecisions() override {
    return this->agent.TakeDecisions();
  }
  void Done(TimePoint now, const std::string& request_id,
            const Completion& completion, Outbox& out) override {
    this->agent.Done(now, request_id, completion, out);
  }
  void Abandon(TimePoint now, const std::string& request_id,
               Outbox& out) override {
    this->agent.Abandon(now, request_id, out);
  }
  std::vector<Billing> TakeBillings() override {
    return this->agent.TakeBillings();
  }
  std::optional<std::string> IssueKey() override {
    return this->agent.IssueKey();
  }
  request::ClaimAgent* Product() override { return &this->agent; }
  void OnMessage(TimePoint now, const VmRef& from,
                 const pb::PeerMessage& message, Outbox& out) override {
    this->agent.OnMessage(now, from, message, out);
  }
  void OnTick(TimePoint now, Outbox& out) override {
    this->agent.OnTick(now, out);
  }

 private:
  request::ClaimAgent agent;
};

/// Baseline: each daemon remembers the keys that it ran itself.
class NoClaimRules : public ClaimRules {
 public:
  std::optional<Decision> Ask(TimePoint /*now*/, const Call& call,
                              Outbox& /*out*/) override {
    Decision decision{.request_id = call.request_id};
    const std::string index = IndexOf(call.organisation, call.key);
    const auto found = this->finished.find(index);
    if (!call.key.empty() && found != this->finished.end()) {
      decision.outcome = ClaimOutcome::kDone;
      decision.stored = found->second;
      return decision;
    }
    decision.outcome = ClaimOutcome::kRun;
    this->running[call.request_id] = index;
    return decision;
  }
  std::vector<Decision> TakeDecisions() override { return {}; }
  void Done(TimePoint /*now*/, const std::string& request_id,
            const Completion& completion, Outbox& /*out*/) override {
    const std::string index = this->running.at(request_id);
    this->running.erase(request_id);
    const bool finished = completion.ran && completion.outcome_known;
    if (finished) this->finished[index] = completion.stored;
    this->billings.push_back({request_id, finished});
  }
  void Abandon(TimePoint /*now*/, const std::string& /*request_id*/,
               Outbox& /*out*/) override {}
  std::vector<Billing> TakeBillings() override {
    return std::exchange(this->billings, {});
  }

 private:
  std::map<std::string, std::string> running;
  std::map<std::string, pb::StoredAnswer> finished;
  std::vector<Billing> billings;
};

/// Baseline: the live daemon with the highest hash is home and lends each key
/// for a time. Nothing is witnessed and no term orders two homes.
class TimeLeaseRules : public ClaimRules {
 public:
  explicit TimeLeaseRules(const ClaimContext& context) : peers(context.peers) {}

  std::optional<Decision> Ask(TimePoint now, const Call& call,
                              Outbox& out) override {
    if (call.key.empty()) {
      this->running[call.request_id] = call;
      return Decision{.request_id = call.request_id,
                      .outcome = ClaimOutcome::kRun};
    }
    this->waiting[call.request_id] = {call, now};
    this->SendAsk(now, call, out);
    return std::nullopt;
  }
  std::vector<Decision> TakeDecisions() override {
    return std::exchange(this->decisions, {});
  }
  void Done(TimePoint now, const std::string& request_id,
            const Completion& completion, Outbox& out) override {
    const Call call = this->running.at(request_id);
    this->running.erase(request_id);
    const bool finished = completion.ran && completion.outcome_known;
    this->billings.push_back({request_id, finished});
    if (call.key.empty()) return;

    Envelope message{.to = this->HomeOf(call)};
    pb::ClaimDone& done = *message.body.mutable_claim_done();
    done.mutable_key()->set_organisation(call.organisation);
    done.mutable_key()->set_key(call.key);
    done.set_ran(completion.ran);
    done.set_outcome_known(completion.outcome_known);
    *done.mutable_stored() = completion.stored;
    this->Send(now, std::move(message), out);
  }
  void Abandon(TimePoint /*now*/, const std::string& request_id,
               Outbox& /*out*/) override {
    this->waiting.erase(request_id);
  }
  std::vector<Billing> TakeBillings() override {
    return std::exchange(this->billings, {});
  }
  void OnMessage(TimePoint now, const VmRef& from,
                 const pb::PeerMessage& message, Outbox& out) override {
    if (message.has_claim_ask()) {
      this->OnAsk(now, from, message.claim_ask(), out);
    } else if (message.has_claim_reply()) {
      this->OnReply(message.claim_reply());
    } else if (message.has_claim_done()) {
      this->OnDone(now, message.claim_done());
    }
  }
  void OnTick(TimePoint now, Outbox& out) override {
    // An answer of this daemon itself changes the map at once.
    std::vector<Call> late;
    for (auto& [id, asked] : this->waiting) {
      if (now - asked.second < kResend) continue;
      asked.second = now;
      late.push_back(asked.first);
    }
    for (const Call& call : late) this->SendAsk(now, call, out);
  }

 private:
  static constexpr Duration kLease = std::chrono::seconds(3);
  static constexpr Duration kResend = std::chrono::milliseconds(200);

  struct Lease {
    std::string request_id;
    TimePoint until;
    bool unknown = false;
    std::optional<pb::StoredAnswer> stored;
  };

  VmRef HomeOf(const Call& call) const {
    const std::string index = IndexOf(call.organisation, call.key);
    const VmInfo* best = &this->peers.Self();
    for (const VmInfo& vm : this->peers.AlivePeers()) {
      if (Hash64(vm.ref.vm, Hash64(index)) >
          Hash64(best->ref.vm, Hash64(index))) {
        best = &vm;
      }
    }
    return best->ref;
  }
  void Send(TimePoint now, Envelope message, Outbox& out) {
    if (message.to == this->peers.Self().ref) {
      this->OnMessage(now, message.to, message.body, out);
    } else {
      out.messages.push_back(std::move(message));
    }
  }
  void SendAsk(TimePoint now, const Call& call, Outbox& out) {
    Envelope message{.to = this->HomeOf(call)};
    pb::ClaimAsk& ask = *message.body.mutable_claim_ask();
    ask.mutable_key()->set_organisation(call.organisation);
    ask.mutable_key()->set_key(call.key);
    ask.set_request_id(call.request_id);
    this->Send(now, std::move(message), out);
  }
  void OnAsk(TimePoint now, const VmRef& from, const pb::ClaimAsk& ask,
             Outbox& out) {
    Lease& lease =
        this->leases[IndexOf(ask.key().organisation(), ask.key().key())];
    Envelope message{.to = from};
    pb::ClaimReply& reply = *message.body.mutable_claim_reply();
    reply.set_request_id(ask.request_id());
    reply.set_answer(pb::CLAIM_IN_PROGRESS);
    if (lease.stored) {
      reply.set_answer(pb::CLAIM_DONE);
      *reply.mutable_stored() = *lease.stored;
    } else if (lease.unknown) {
      reply.set_answer(pb::CLAIM_UNKNOWN);
    } else if (lease.until <= now || lease.request_id == ask.request_id()) {
      lease.request_id = ask.request_id();
      lease.until = now + kLease;
      reply.set_answer(pb::CLAIM_RUN);
    }
    this->Send(now, std::move(message), out);
  }
  void OnReply(const pb::ClaimReply& reply) {
    const auto found = this->waiting.find(reply.request_id());
    if (found == this->waiting.end()) return;
    Decision decision{.request_id = reply.request_id(),
                      .outcome = ClaimOutcome::kInProgress};
    if (reply.answer() == pb::CLAIM_RUN) {
      decision.outcome = ClaimOutcome::kRun;
      decision.claimed = true;
      this->running[reply.request_id()] = found->second.first;
    } else if (reply.answer() == pb::CLAIM_DONE) {
      decision.outcome = ClaimOutcome::kDone;
      decision.stored = reply.stored();
    } else if (reply.answer() == pb::CLAIM_UNKNOWN) {
      decision.outcome = ClaimOutcome::kUnknown;
    }
    this->waiting.erase(found);
    this->decisions.push_back(std::move(decision));
  }
  void OnDone(TimePoint now, const pb::ClaimDone& done) {
    Lease& lease =
        this->leases[IndexOf(done.key().organisation(), done.key().key())];
    if (!done.ran()) {
      lease.until = now;
    } else if (!done.outcome_known()) {
      lease.unknown = true;
    } else {
      lease.stored = done.stored();
    }
  }

  const PeerView& peers;
  std::map<std::string, std::pair<Call, TimePoint>> waiting;
  std::map<std::string, Call> running;
  std::map<std::string, Lease> leases;
  std::vector<Decision> decisions;
  std::vector<Billing> billings;
};

}  // namespace

std::unique_ptr<ClaimRules> MakeClaimRules(const std::string& policy,
                                           const ClaimContext& context) {
  if (policy.empty() || policy == "witness-in-home-zone") {
    return std::make_unique<AgentRules>(context);
  }
  if (policy == "no-claim") return std::make_unique<NoClaimRules>();
  if (policy == "time-lease") return std::make_unique<TimeLeaseRules>(context);
  return nullptr;
}

}  // namespace fuchsiadrum::bench::requests
