#include "soak/soak_run.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <utility>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/hash.h"
#include "gateway/clock.h"
#include "soak/port_range.h"
#include "soak/wire.h"

namespace fuchsiadrum::soak {
namespace {

using gateway::Now;

constexpr auto kTick = std::chrono::milliseconds(10);
constexpr Duration kReadyTimeout = std::chrono::seconds(10);
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
/// Time after the last fault in which every route has to be served.
constexpr Duration kRecoveryTime = std::chrono::seconds(12);

std::string MakeFolder() {
  std::string name = std::filesystem::temp_directory_path() / "soak-XXXXXX";
  return mkdtemp(name.data()) == nullptr ? std::string() : name;
}

}  // namespace

SoakRun::SoakRun(const SoakOptions& opts)
    : options(opts), folder(MakeFolder()) {
  this->store.holds_reads = true;
  this->store.era = 1;
  for (int i = 1; i <= opts.upstreams; ++i) {
    const std::string name = "u" + std::to_string(i);
    this->upstreams.push_back(std::make_unique<FaultyUpstream>(
        FaultyUpstreamOptions{.name = name,
                              .version = i % 2 == 0 ? "v2" : "v1",
                              .seed = opts.seed},
        this->seen, this->run_record, this->calm));
  }
  PortRange ports;
  for (int i = 1; i <= opts.gateways; ++i) {
    this->gateways.push_back(std::make_unique<GatewayProcess>(
        GatewayProcessOptions{.program = opts.gateway_program,
                              .folder = this->folder,
                              .vm = "vm-" + std::to_string(i),
                              .store_address = this->store.Address(),
                              .callers_port = ports.Take(),
                              .readiness_port = ports.Take(),
                              .metrics_port = ports.Take()}));
  }
}

SoakRun::~SoakRun() {
  this->StopCallers();
  // Gateways end before the upstreams and the store that they are connected to.
  this->gateways.clear();
  std::error_code ignored;
  if (!this->folder.empty()) std::filesystem::remove_all(this->folder, ignored);
}

std::string SoakRun::Run(const std::atomic<bool>& interrupted) {
  StoreDrill drill(this->options.seed, this->store, this->seen);
  this->Announce();
  std::string reason = this->StartGateways();
  if (!reason.empty()) return reason;

  std::vector<uint16_t> ports;
  for (const auto& process : this->gateways) {
    ports.push_back(process->CallersPort());
  }
  const int count = this->options.callers + this->options.long_callers;
  for (int i = 1; i <= count; ++i) {
    const bool asks_long = i > this->options.callers;
    const std::string name = "s" + std::to_string(this->options.seed) +
                             (asks_long ? "-l" : "-c") + std::to_string(i);
    this->callers.emplace_back([this, name, ports, asks_long] {
      const CallerOptions caller_options = {.name = name,
                                            .seed = Hash64(name),
                                            .ports = ports,
                                            .asks_long = asks_long};
      Caller(caller_options, this->seen).Run(this->stopping);
    });
  }
  this->RunFaults(drill, interrupted);
  this->StopCallers();
  if (interrupted) return "interrupted";

  Checker checker(this->seen, this->gateways);
  const std::vector<Violation> found = checker.Check();
  this->violations.insert(this->violations.end(), found.begin(), found.end());
  return "";
}

std::string SoakRun::StartGateways() {
  for (const auto& process : this->gateways) {
    if (!process->Start()) return process->Options().vm + " did not start";
  }
  const TimePoint deadline = Now() + kReadyTimeout;
  for (const auto& process : this->gateways) {
    while (!process->IsReady()) {
      if (!process->IsRunning()) {
        return process->Options().vm + " ended while it started";
      }
      if (Now() > deadline) return process->Options().vm + " is not ready";
      std::this_thread::sleep_for(kTick);
    }
  }
  return "";
}

void SoakRun::Announce() {
  ++this->sequence;
  for (const auto& upstream : this->upstreams) {
    // A restored copy may hold entries that were deleted.
    for (const std::string& earlier : upstream->EarlierNames()) {
      this->store.Put(std::string(kTopicUpstreams), earlier, "");
    }
    if (!upstream->IsUp()) continue;
    this->store.Put(std::string(kTopicUpstreams), upstream->Name(),
                    EncodeEntry(upstream->Address(), this->sequence,
                                upstream->Starts(), upstream->Version()));
  }
}

void SoakRun::StepUpstreams() {
  bool has_started = false;
  for (const auto& upstream : this->upstreams) {
    const bool was_up = upstream->IsUp();
    if (upstream->OnTick(Now())) ++this->ends;
    has_started = has_started || (!was_up && upstream->IsUp());
  }
  if (!has_started && Now() < this->next_heartbeat) return;
  this->Announce();
  this->next_heartbeat = Now() + kHeartbeatInterval;
}

void SoakRun::RunFaults(StoreDrill& drill,
                        const std::atomic<bool>& interrupted) {
  ProcessFaults faults(this->options.seed, this->gateways);
  const TimePoint end = Now() + FromSeconds(this->options.seconds);
  while (Now() < end && !interrupted) {
    faults.OnTick(Now());
    if (drill.OnTick(Now())) this->Announce();
    this->StepUpstreams();
    std::this_thread::sleep_for(kTick);
  }
  if (interrupted) return;
  drill.Settle();
  this->Announce();
  faults.Settle([this] { this->StepUpstreams(); });
  this->calm = true;
  for (const auto& [text, signal] : faults.Failures()) {
    this->violations.push_back(
        {.rule = Rule::kProcess, .id = "", .detail = text, .cause = signal});
  }
  this->Probe(interrupted);
}

void SoakRun::Probe(const std::atomic<bool>& interrupted) {
  CallerOptions probe_options = {
      .name = "s" + std::to_string(this->options.seed) + "-probe"};
  for (const auto& process : this->gateways) {
    probe_options.ports.push_back(process->CallersPort());
  }
  Caller prober(probe_options, this->seen);
  const TimePoint deadline = Now() + kRecoveryTime;
  for (size_t i = 0; i < this->gateways.size(); ++i) {
    for (int route = 0; route < kRouteCount; ++route) {
      const auto kind = static_cast<SoakRoute>(route);
      while (prober.Probe(kind, i).status != 200 && !interrupted) {
        if (Now() > deadline) {
          this->violations.push_back(
              {.rule = Rule::kRecover,
               .id = prober.LastId(),
               .detail = std::string(TraitsOf(kind).name) + " at gateway " +
                         std::to_string(i) + " was not served",
               .cause = "-"});
          break;
        }
        this->StepUpstreams();
        this->Announce();
        std::this_thread::sleep_for(kTick * 10);
      }
    }
  }
}

void SoakRun::StopCallers() {
  this->stopping = true;
  for (std::thread& caller : this->callers) caller.join();
  this->callers.clear();
}

std::vector<std::string> SoakRun::TraceOf(const std::string& id) const {
  std::vector<std::string> trace;
  const auto found = this->seen.All().find(id);
  if (found == this->seen.All().end()) return trace;
  const RequestRecord& request = found->second;
  const TimePoint begun = request.result.begun;
  const auto offset = [begun](TimePoint at) {
    return "+" + std::to_string((at - begun).count() / 1000) + " ms ";
  };
  // A stream may be taken up by several requests.
  std::vector<std::string> attempts;
  for (const auto& [attempt, record] : this->seen.All()) {
    if (StreamOf(attempt) != StreamOf(id)) continue;
    // Refused take-ups are many.
    if (attempt != id && record.faults.empty()) continue;
    attempts.push_back(attempt);
    for (const TimelineLine& line : record.lines) {
      std::string text = offset(line.at) + line.text;
      if (attempt != id) text.append(" (").append(attempt).append(")");
      trace.push_back(std::move(text));
    }
  }
  const GatewayProcess& process = *this->gateways[request.result.gateway];
  for (const auto& [at, event] : process.History()) {
    if (at > request.result.ended) break;
    if (begun - at > kRecoveryTime) continue;
    trace.push_back(offset(at) + process.Options().vm + ": " +
                    std::string(ProcessEventName(event)));
  }
  for (const auto& [away, back] : this->seen.StoreAway()) {
    if (away > request.result.ended) break;
    trace.push_back(offset(away) + "store: away");
    trace.push_back(offset(back) + "store: back from a copy");
  }
  trace.push_back("the caller's first byte was sent at t_ms " +
                  std::to_string(begun.us / 1000));
  for (const auto& each : this->gateways) {
    for (const std::string& attempt : attempts) {
      for (std::string& line : each->LogLinesOf(attempt)) {
        trace.push_back(std::move(line));
      }
    }
  }
  return trace;
}

int SoakRun::CountEvents(ProcessEvent event) const {
  int count = 0;
  for (const auto& process : this->gateways) {
    count += static_cast<int>(std::ranges::count(
        process->History(), event, &GatewayProcess::Event::event));
  }
  return count;
}

}  // namespace fuchsiadrum::soak
