#include "soak/process_faults.h"

#include <chrono>
#include <thread>

#include "fuchsiadrum/core/duration.h"
#include "gateway/clock.h"

namespace fuchsiadrum::soak {
namespace {

/// Mean times in seconds.
constexpr double kMeanCalm = 2.5;
constexpr double kMeanUntilKillAll = 6;
constexpr double kMeanPaused = 0.5;
constexpr double kMeanDown = 0.5;
/// Time in which a gateway that is being stopped is disturbed, if at all.
constexpr double kMeanUntilDoubleFault = 1.5;
constexpr double kDoubleFaultChance = 0.3;
/// Time in which a process may not yet have taken over SIGTERM. It has read no
/// request then.
constexpr Duration kLoadTime = std::chrono::milliseconds(500);

/// True if nothing was done to the process but SIGTERM right after its start.
bool EndedWhileLoading(const GatewayProcess& process) {
  const auto& history = process.History();
  constexpr size_t kStartStopExit = 3;
  if (history.size() < kStartStopExit) return false;
  const auto& start = history[history.size() - kStartStopExit];
  const auto& stop = history[history.size() - kStartStopExit + 1];
  return start.event == ProcessEvent::kStart &&
         stop.event == ProcessEvent::kStop && stop.at - start.at < kLoadTime;
}

}  // namespace

ProcessFaults::ProcessFaults(uint64_t seed, Gateways& gateway_processes)
    : rng(seed), gateways(gateway_processes), plans(gateway_processes.size()) {
  for (Plan& plan : this->plans) {
    plan.next = gateway::Now() + this->DrawPause(kMeanCalm);
  }
  this->next_kill_all = gateway::Now() + this->DrawPause(kMeanUntilKillAll);
}

void ProcessFaults::OnTick(TimePoint now) {
  for (size_t i = 0; i < this->plans.size(); ++i) {
    if (this->plans[i].state == State::kStopping) {
      this->WatchStop(i, now);
      continue;
    }
    if (this->plans[i].state == State::kUp && !this->gateways[i]->IsRunning()) {
      this->AddFailure(*this->gateways[i],
                       "ended by itself: " + this->gateways[i]->BadEnd());
      this->plans[i] = {.state = State::kDown, .next = now};
    }
    if (now >= this->plans[i].next) this->Disturb(i, now);
  }
  if (now >= this->next_kill_all) this->KillAll(now);
}

void ProcessFaults::KillAll(TimePoint now) {
  this->next_kill_all = now + this->DrawPause(kMeanUntilKillAll);
  for (size_t i = 0; i < this->plans.size(); ++i) {
    if (!this->gateways[i]->IsRunning()) continue;
    this->gateways[i]->Signal(ProcessEvent::kKill);
    this->plans[i] = {.state = State::kDown,
                      .next = now + this->DrawPause(kMeanDown)};
  }
}

void ProcessFaults::Disturb(size_t index, TimePoint now) {
  Plan& plan = this->plans[index];
  GatewayProcess& process = *this->gateways[index];
  if (plan.state == State::kDown) return this->Restart(index, now);
  if (plan.state == State::kPaused) {
    process.Signal(ProcessEvent::kResume);
    plan = {.state = State::kUp, .next = now + this->DrawPause(kMeanCalm)};
    return;
  }
  const double drawn = this->rng.Unit();
  if (drawn < 0.45) {
    process.Signal(ProcessEvent::kStop);
    plan = {.state = State::kStopping,
            .next = now + this->DrawPause(kMeanUntilDoubleFault),
            .grace_end = now + FromSeconds(process.Options().grace_s)};
    if (!this->rng.Chance(kDoubleFaultChance)) plan.next = plan.grace_end;
  } else if (drawn < 0.65) {
    process.Signal(ProcessEvent::kKill);
    plan = {.state = State::kDown, .next = now + this->DrawPause(kMeanDown)};
  } else if (drawn < 0.85) {
    process.Signal(ProcessEvent::kPause);
    plan = {.state = State::kPaused,
            .next = now + this->DrawPause(kMeanPaused)};
  } else {
    process.Signal(ProcessEvent::kReload);
    plan.next = now + this->DrawPause(kMeanCalm);
  }
}

void ProcessFaults::WatchStop(size_t index, TimePoint now) {
  Plan& plan = this->plans[index];
  GatewayProcess& process = *this->gateways[index];
  if (process.IsRunning() && now < plan.grace_end) {
    if (now < plan.next) return;
    // A second disturbance within the grace.
    const bool kills = this->rng.Chance(0.3);
    process.Signal(kills ? ProcessEvent::kKill : ProcessEvent::kReload);
    plan.next = plan.grace_end;
    return;
  }
  if (process.IsRunning()) {
    this->AddFailure(process, "still ran at the end of its grace");
    process.Signal(ProcessEvent::kKill);
  }
  if (!process.BadEnd().empty() && !EndedWhileLoading(process)) {
    this->AddFailure(process, process.BadEnd() + " in its stop");
  }
  plan = {.state = State::kDown, .next = now + this->DrawPause(kMeanDown)};
}

void ProcessFaults::Restart(size_t index, TimePoint now) {
  if (!this->gateways[index]->Start()) {
    this->AddFailure(*this->gateways[index], "did not start");
  }
  this->plans[index] = {.state = State::kUp,
                        .next = now + this->DrawPause(kMeanCalm)};
}

void ProcessFaults::Settle(const std::function<void()>& on_wait) {
  constexpr auto kPoll = std::chrono::milliseconds(10);
  for (size_t i = 0; i < this->plans.size(); ++i) {
    while (this->plans[i].state == State::kStopping) {
      this->WatchStop(i, gateway::Now());
      on_wait();
      std::this_thread::sleep_for(kPoll);
    }
    if (this->plans[i].state == State::kPaused) {
      this->gateways[i]->Signal(ProcessEvent::kResume);
    }
    if (!this->gateways[i]->IsRunning()) this->Restart(i, gateway::Now());
  }
}

void ProcessFaults::AddFailure(const GatewayProcess& process,
                               const std::string& text) {
  Failure failure;
  TimePoint started;
  for (const auto& [at, event] : process.History()) {
    if (event == ProcessEvent::kStart) {
      failure.text = process.Options().vm + " " + text;
      started = at;
    }
    if (event == ProcessEvent::kStart || event == ProcessEvent::kExit) continue;
    failure.signal = ProcessEventName(event);
    failure.text += ", " + failure.signal + " " +
                    std::to_string(ToMilliseconds(at - started)) +
                    " ms after its start";
  }
  this->failures.push_back(failure);
}

Duration ProcessFaults::DrawPause(double mean_s) {
  return FromSeconds(this->rng.Exponential(mean_s));
}

}  // namespace fuchsiadrum::soak
