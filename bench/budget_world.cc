#include "bench/budget_world.h"

#include <algorithm>
#include <utility>

namespace fuchsiadrum::bench {
namespace {

constexpr Duration kAppendDelay = std::chrono::milliseconds(8);
constexpr Duration kSlowDelay = std::chrono::milliseconds(2000);
constexpr Duration kAppendTimeout = std::chrono::milliseconds(500);
constexpr Duration kReadDelay = std::chrono::milliseconds(6);
constexpr Duration kDispatchDelay = std::chrono::microseconds(300);
/// Longest wait of a request for tokens.
constexpr Duration kWait = std::chrono::seconds(1);

VmInfo InfoOf(int index, uint64_t incarnation) {
  const std::string zone = kZones[static_cast<size_t>(index / 3)];
  return {{"vm-" + std::to_string(index), incarnation}, zone};
}

}  // namespace

BudgetWorld::BudgetWorld(uint64_t seed, WorldOptions options)
    : rng(seed),
      options(std::move(options)),
      network(this->queue, Rng(seed).Fork("network"), {}),
      reference(this->options.agent.mutation),
      incarnations(kDaemons, 1) {
  // An epoch above zero leaves room for clocks that jump back.
  this->queue.RunUntil({3'600'000'000});
  for (int i = 0; i < kDaemons; ++i) {
    this->daemons.push_back(this->MakeDaemon(i, 1));
  }
}

std::shared_ptr<BudgetDaemon> BudgetWorld::MakeDaemon(int index,
                                                      uint64_t incarnation) {
  auto daemon = std::make_shared<BudgetDaemon>(InfoOf(index, incarnation),
                                               this->queue.Now());
  daemon->policy = MakeBudgetPolicy({.name = this->options.policy,
                                     .view = daemon->view,
                                     .daemons = kDaemons,
                                     .options = this->options.agent,
                                     .seed = this->rng.Next()});
  daemon->start_end = incarnation == 1 ? 0 : this->log.End();
  daemon->view.OnLogAnswer(this->queue.Now());

  const Duration first(this->rng.Between(0, this->options.tick.count()));
  this->queue.After(first, [this, daemon] { this->Tick(daemon); });
  this->queue.After(Duration(0), [this, daemon] { this->Heartbeat(daemon); });
  return daemon;
}

Tokens BudgetWorld::Free(const std::string& organisation) const {
  const TrueAccount& account = this->truth.at(organisation);
  return account.topped_up - account.committed;
}

void BudgetWorld::In(const std::shared_ptr<BudgetDaemon>& daemon,
                     std::function<void()> action) {
  if (!daemon->alive) return;
  if (daemon->paused) {
    daemon->deferred.push_back(std::move(action));
    return;
  }
  action();
}

void BudgetWorld::Tick(const std::shared_ptr<BudgetDaemon>& daemon) {
  if (!daemon->alive) return;
  this->queue.After(this->options.tick, [this, daemon] { this->Tick(daemon); });
  if (daemon->paused) return;

  const TimePoint now = this->LocalNow(*daemon);
  if (this->CanReach(*daemon) && !this->faults.log_down) {
    daemon->view.OnLogAnswer(now);
  }
  this->ReadLog(daemon);
  daemon->view.Refresh(now);
  daemon->policy->OnTick(now, daemon->out);
  this->AfterCall(daemon);
}

void BudgetWorld::Heartbeat(const std::shared_ptr<BudgetDaemon>& daemon) {
  if (!daemon->alive) return;
  this->queue.After(this->options.heartbeat,
                    [this, daemon] { this->Heartbeat(daemon); });
  if (daemon->paused) return;

  const VmInfo info = daemon->view.Self();
  for (const auto& peer : this->daemons) {
    if (peer == daemon || this->rng.Chance(this->faults.message_loss)) continue;
    this->network.Send(daemon->Zone(), peer->Zone(), [this, peer, info] {
      this->In(peer, [this, peer, info] {
        peer->view.OnHeartbeat(this->LocalNow(*peer), info);
      });
    });
  }
}

void BudgetWorld::AfterCall(const std::shared_ptr<BudgetDaemon>& daemon) {
  for (const budget::ReserveResult& result : daemon->policy->TakeFinished()) {
    const auto found = this->waiting.find({daemon->Ref(), result.id});
    if (found == this->waiting.end()) continue;
    const CallPtr call = found->second;
    this->waiting.erase(found);
    this->OnReserve(call, result);
  }
  this->Flush(daemon);
}

void BudgetWorld::Flush(const std::shared_ptr<BudgetDaemon>& daemon) {
  const auto messages = std::exchange(daemon->out.messages, {});
  for (const Envelope& envelope : messages) this->Send(daemon, envelope);

  if (auto batch = daemon->BatchToAppend()) {
    this->Append(daemon, *batch);
  }
}

void BudgetWorld::Send(const std::shared_ptr<BudgetDaemon>& from,
                       const Envelope& envelope) {
  from->bytes.messages += envelope.body.ByteSizeLong();
  const VmRef sender = from->Ref();
  if (this->keep_trace) {
    this->Trace("message " + sender.ToString() + " to " +
                envelope.to.ToString() + " " +
                envelope.body.ShortDebugString());
  }
  const auto to = std::find_if(
      this->daemons.begin(), this->daemons.end(),
      [&](const auto& item) { return item->Ref().vm == envelope.to.vm; });
  if (to == this->daemons.end()) return;

  const auto deliver = [this, sender, ref = envelope.to, body = envelope.body] {
    this->Deliver(sender, ref, body);
  };
  const std::string from_zone = from->Zone();
  const std::string to_zone = (*to)->Zone();
  if (!this->rng.Chance(this->faults.message_loss)) {
    this->network.Send(from_zone, to_zone, deliver);
  }
  if (this->rng.Chance(this->faults.message_duplicate)) {
    // A late copy may arrive after a seal or in a later incarnation.
    const Duration late(this->rng.Between(0, 20'000'000));
    this->queue.After(late, [this, from_zone, to_zone, deliver] {
      this->network.Send(from_zone, to_zone, deliver);
    });
  }
}

void BudgetWorld::Deliver(const VmRef& from, const VmRef& to,
                          const pb::PeerMessage& body) {
  for (const auto& daemon : this->daemons) {
    if (daemon->Ref().vm != to.vm) continue;
    if (to.incarnation != 0 && daemon->Ref() != to) return;
    this->In(daemon, [this, daemon, from, body] {
      daemon->policy->OnMessage(this->LocalNow(*daemon), from, body,
                                daemon->out);
      this->AfterCall(daemon);
    });
    return;
  }
}

bool BudgetWorld::CanReach(const BudgetDaemon& daemon) const {
  return !this->network.IsCut(daemon.Zone(), kLogZone) &&
         !this->network.IsCut(kLogZone, daemon.Zone());
}

void BudgetWorld::Append(const std::shared_ptr<BudgetDaemon>& daemon,
                         const std::string& batch) {
  const Duration delay = kAppendDelay + Duration(this->rng.Between(0, 6000)) +
                         (this->faults.log_slow ? kSlowDelay : Duration(0));

  // A one-way cut loses the request or the answer.
  const bool stored = !this->faults.log_down &&
                      this->queue.Now() >= daemon->append_stalled_until &&
                      !this->network.IsCut(daemon->Zone(), kLogZone);
  const bool answered = stored &&
                        !this->network.IsCut(kLogZone, daemon->Zone()) &&
                        !this->rng.Chance(this->faults.answer_loss);
  if (stored) {
    this->queue.After(delay, [this, batch] { this->Store(batch); });
  }
  const Duration answer_delay =
      answered ? delay + kAppendDelay : std::max(delay, kAppendTimeout);
  this->queue.After(answer_delay, [this, daemon] {
    this->In(daemon, [this, daemon] {
      daemon->OnAppendAnswer();
      this->Flush(daemon);
    });
  });
}

void BudgetWorld::Store(const std::string& batch) {
  pb::Batch parsed;
  parsed.ParseFromString(batch);
  const uint64_t offset = this->log.Append(batch);
  const VmRef writer = VmRef::FromProto(parsed.writer());
  uint64_t& last = this->reference_sequences[writer];
  if (parsed.sequence() > last) {
    last = parsed.sequence();
    LogPosition at{offset, 0};
    for (const pb::Record& record : parsed.records()) {
      const Verdict verdict = this->reference.Apply(at, writer, record);
      if (this->keep_trace) {
        this->Trace("log " + at.ToString() + " " + writer.ToString() + " " +
                    std::string(VerdictName(verdict)) + " " +
                    record.ShortDebugString());
      }
      ++at.index;
    }
    this->CheckAlways();
  }

  for (const auto& daemon : this->daemons) {
    if (!daemon->alive) continue;
    const Duration delay = kReadDelay + Duration(this->rng.Between(0, 4000));
    this->queue.After(delay, [this, daemon] {
      this->In(daemon, [this, daemon] {
        this->ReadLog(daemon);
        this->AfterCall(daemon);
      });
    });
  }
}

void BudgetWorld::ReadLog(const std::shared_ptr<BudgetDaemon>& daemon) {
  if (this->faults.log_down || !this->CanReach(*daemon)) return;
  while (daemon->next_offset < this->log.End()) {
    const auto bytes = this->log.Read(daemon->next_offset);
    daemon->Fold(this->LocalNow(*daemon), daemon->next_offset, *bytes);
  }
}

void BudgetWorld::TopUp(const std::string& organisation, Tokens tokens,
                        const std::string& id) {
  pb::Batch batch;
  batch.mutable_writer()->set_vm("operator");
  batch.mutable_writer()->set_incarnation(1);
  batch.set_sequence(++this->operator_sequence);
  pb::TopUp& top_up = *batch.add_records()->mutable_top_up();
  top_up.set_organisation(organisation);
  top_up.set_tokens(tokens.count);
  top_up.set_top_up_id(id);

  // A retry of an operator is a new batch with the same id.
  TrueAccount& account = this->truth[organisation];
  const budget::Account* const before = this->reference.Find(organisation);
  const Tokens old = before == nullptr ? Tokens(0) : before->topped_up;
  this->Store(batch.SerializeAsString());
  const Tokens added = this->reference.Find(organisation)->topped_up - old;
  account.topped_up += added;
  if (added > Tokens(0)) account.last_top_up = this->queue.Now();
}

int BudgetWorld::PickDaemon(const std::string& zone) {
  std::vector<int> candidates;
  std::vector<int> any;
  for (int i = 0; i < kDaemons; ++i) {
    const BudgetDaemon& daemon = this->At(i);
    if (!daemon.alive || daemon.draining) continue;
    any.push_back(i);
    if (daemon.Zone() == zone) candidates.push_back(i);
  }
  const auto& list = candidates.empty() ? any : candidates;
  return list.empty() ? -1 : list[this->rng.Below(list.size())];
}

void BudgetWorld::Request(const std::string& organisation,
                          const std::string& zone, Tokens worst_case,
                          Tokens minimum, Tokens used, Duration run_time) {
  const int index = this->PickDaemon(zone);
  if (index < 0) return;
  auto call = std::make_shared<Call>();
  call->organisation = organisation;
  call->key = std::to_string(this->next_key++);
  call->worst_case = worst_case;
  call->minimum = minimum;
  call->used = used;
  call->run_time = run_time;
  this->StartCall(call, index);
}

void BudgetWorld::StartCall(const CallPtr& call, int index) {
  call->daemon = this->daemons[static_cast<size_t>(index)];
  ++this->figures.requests;
  ++this->figures.requests_by_zone[call->daemon->Zone()];

  this->In(call->daemon, [this, call] {
    const auto& daemon = call->daemon;
    const TimePoint now = this->LocalNow(*daemon);
    const budget::ReserveResult result =
        daemon->policy->Reserve(now, call->organisation, call->worst_case,
                                call->minimum, now + kWait, daemon->out);
    if (result.status == budget::ReserveStatus::kWaiting) {
      this->waiting[{daemon->Ref(), result.id}] = call;
    } else {
      this->OnReserve(call, result);
    }
    this->AfterCall(daemon);
  });
}

void BudgetWorld::OnReserve(const CallPtr& call,
                            const budget::ReserveResult& result) {
  if (result.status != budget::ReserveStatus::kReserved) {
    this->OnRefused(call, result);
    return;
  }
  call->id = result.id;
  call->reserved = result.amount;
  if (call->reserved < call->worst_case) ++this->figures.capped;
  TrueAccount& account = this->truth[call->organisation];
  account.committed += call->reserved;
  if (account.committed > account.topped_up) {
    const Tokens excess = account.committed - account.topped_up;
    this->figures.overspend = std::max(this->figures.overspend, excess.count);
    this->Violation("overspend of " + std::to_string(excess.count) +
                        " tokens for " + call->organisation,
                    call->daemon->Ref().ToString());
  }
  if (this->on_reserved) this->on_reserved(call->organisation);
  this->queue.After(kDispatchDelay, [this, call] { this->Dispatch(call); });
}

void BudgetWorld::OnRefused(const CallPtr& call,
                            const budget::ReserveResult& result) {
  if (result.reason == budget::RefusalReason::kDraining) {
    // The balancer sends it to another daemon.
    const int index = this->PickDaemon(call->daemon->Zone());
    if (index >= 0) this->StartCall(call, index);
    return;
  }

  ++this->figures.refusals;
  const Tokens free = this->Free(call->organisation);
  const bool is_false = free >= call->minimum;
  if (is_false) {
    ++this->figures.false_refusals;
    ++this->figures.false_refusals_by_zone[call->daemon->Zone()];
    if (this->keep_trace) {
      this->Trace("false refusal " + call->organisation + " at " +
                  call->daemon->Ref().ToString() + " minimum " +
                  std::to_string(call->minimum.count) + " free " +
                  std::to_string(free.count));
      this->TraceHoldings(call->organisation);
    }
  }
  if (this->on_refusal) {
    this->on_refusal(call->organisation, call->daemon->Zone(), free, is_false);
  }
}

void BudgetWorld::Dispatch(const CallPtr& call) {
  if (!call->daemon->alive) {
    // Killed before a byte was sent: the call never ran.
    this->truth[call->organisation].committed -= call->reserved;
    return;
  }
  if (call->daemon->paused) {
    this->queue.After(std::chrono::milliseconds(5),
                      [this, call] { this->Dispatch(call); });
    return;
  }
  if (this->rng.Chance(this->options.not_sent)) {
    this->truth[call->organisation].committed -= call->reserved;
    this->In(call->daemon, [this, call] {
      call->daemon->policy->Release(this->LocalNow(*call->daemon), call->id);
      this->AfterCall(call->daemon);
    });
    return;
  }
  this->queue.After(call->run_time, [this, call] { this->Finish(call); });
}

void BudgetWorld::Finish(const CallPtr& call) {
  // The upstream really ran it, whatever becomes of the daemon.
  if (this->rng.Chance(this->options.over_report)) {
    call->used = call->reserved + Tokens(this->rng.Between(1, 500));
    ++this->figures.overrun_calls;
  }
  const bool reports = !this->rng.Chance(this->options.no_report);
  const bool repeats =
      !call->repeated &&
      this->rng.Chance(reports ? this->options.caller_repeats : 0.5);
  if (repeats) {
    auto again = std::make_shared<Call>(*call);
    again->repeated = true;
    const int index = this->PickDaemon(call->daemon->Zone());
    if (index >= 0) this->StartCall(again, index);
  }
  if (reports) {
    TrueAccount& account = this->truth[call->organisation];
    account.committed -= call->reserved - std::min(call->used, call->reserved);
    this->Complete(call);
    return;
  }

  // Nobody in the fleet can know the use, so the reservation stays committed.

  ++this->figures.unknown_calls;
  this->In(call->daemon, [this, call] {
    this->truth[call->organisation].unknown += call->reserved;
    call->daemon->policy->Abandon(this->LocalNow(*call->daemon), call->id);
    this->AfterCall(call->daemon);
  });
}

void BudgetWorld::Complete(const CallPtr& call) {
  this->In(call->daemon, [this, call] {
    call->daemon->policy->Settle(this->LocalNow(*call->daemon), call->id,
                                 call->used);
    this->AfterCall(call->daemon);
  });

  // The home's answer; now and then it is unreachable for a while.
  const Duration delay(this->rng.Chance(0.03)
                           ? this->rng.Between(1'000'000, 8'000'000)
                           : this->rng.Between(1000, 5000));
  this->queue.After(delay, [this, call] {
    this->In(call->daemon, [this, call] {
      const bool billed_here = this->billed_keys.insert(call->key).second;
      const Tokens used = std::min(call->used, call->reserved);
      TrueAccount& account = this->truth[call->organisation];
      if (billed_here) {
        account.confirmed += used;
      } else {
        account.committed -= used;
      }
      call->daemon->policy->Confirm(this->LocalNow(*call->daemon), call->id,
                                    billed_here);
      this->AfterCall(call->daemon);
    });
  });
}

}  // namespace fuchsiadrum::bench
