#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/serving/prompt_quarantine.h"

namespace fuchsiadrum::serving {

/// Simulated fleet of gateways before upstreams that end when they begin to
/// answer a prompt with a bad part, with a stream in the store, on a common
/// time line. Upstreams also end without such a part, alone and together.
class CrashFleet {
 public:
  struct Options {
    size_t gateways = 9;
    size_t upstreams = 18;
    /// Requests per second of all callers, and how many of them are bad.
    double requests_per_s = 130;
    double bad_fraction = 0.03;
    int bad_parts = 1;
    /// Mean time between crashes without a bad part; zero: none.
    Duration own_crash_interval = Duration::zero();
    /// Crashes of a third of the upstreams at one moment, at this interval.
    Duration rack_crash_interval = Duration::zero();
    uint64_t seed = 1;
  };

  explicit CrashFleet(const Options& opts) : options(opts), rng(opts.seed) {
    for (size_t i = 0; i < opts.gateways; ++i) {
      this->gateways.push_back(std::make_unique<Gateway>());
      this->StartGateway(i);
    }
    this->upstreams.resize(opts.upstreams);
    for (size_t i = 0; i < opts.upstreams; ++i) {
      this->upstreams[i].incarnation = {.id = "u" + std::to_string(i),
                                        .started_unix_ms = 1};
    }
  }

  /// The gateway's process is replaced by one that knows nothing.
  void Restart(size_t index) { this->StartGateway(index); }
  void CutFromStore(size_t index, Duration time) {
    this->gateways[index]->cut_until = this->now + time;
  }
  void SetBadFraction(double fraction) {
    this->options.bad_fraction = fraction;
  }
  void Run(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) this->Step();
  }

  /// Bad requests that were sent by gateways in touch later than `contact`
  /// after the fifth crash by the same part; the most for a part.
  int MostLateSends(Duration contact) const {
    int most = 0;
    for (const auto& [part, history] : this->bad) {
      if (history.crashes.size() < 5) continue;
      const TimePoint bound = history.crashes[4] + contact;
      const auto late = std::ranges::count_if(
          history.sends, [bound](TimePoint at) { return at > bound; });
      most = std::max(most, static_cast<int>(late));
    }
    return most;
  }
  int BadCrashes() const {
    int count = 0;
    for (const auto& [part, history] : this->bad) {
      count += static_cast<int>(history.crashes.size());
    }
    return count;
  }
  int Crashes() const { return this->crashes; }
  /// Sound requests, and those of them that were held back.
  int Sound() const { return this->sound; }
  int SoundHeldBack() const { return this->sound_held_back; }
  void ResetCounts() { this->sound = this->sound_held_back = 0; }
  size_t Records() const { return this->stream.size(); }
  /// Records of keys that are not deleted.
  size_t LiveRecords() const { return this->newest.size(); }
  uint64_t Writes() const { return this->writes; }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr Duration kDownTime = std::chrono::seconds(3);
  static constexpr Duration kSyncInterval = std::chrono::milliseconds(100);
  static constexpr Duration kContact = std::chrono::seconds(3);
  static constexpr uint64_t kBadBase = 0xbad0000;
  static constexpr uint64_t kFirstPartBase = 0x1000;
  static constexpr uint64_t kMiddlePartBase = 0x2000;
  static constexpr int kOrganisations = 8;

  struct CrashEnded {
    std::string key;
  };
  struct QuarantineEnded {
    std::string key;
  };
  using Record =
      std::variant<UpstreamCrash, CrashEnded, Quarantine, QuarantineEnded>;

  struct Gateway {
    std::unique_ptr<PromptQuarantine> quarantine;
    size_t read = 0;
    TimePoint next_read;
    TimePoint next_sync;
    TimePoint cut_until;
    TimePoint in_touch_from;
    int life = 0;
  };
  struct Running {
    size_t gateway = 0;
    int life = 0;
    size_t upstream = 0;
    uint64_t request = 0;
    uint64_t organisation = 0;
    std::vector<uint64_t> parts;
    uint64_t bad_part = 0;
    uint64_t mark = 0;
    QuarantineCheck check;
    TimePoint begins;
    TimePoint sound_at;
    TimePoint ends;
    bool is_proven = false;
  };
  struct Upstream {
    UpstreamIncarnation incarnation;
    TimePoint up_from;
  };
  struct History {
    std::vector<TimePoint> crashes;
    std::vector<TimePoint> sends;
  };
  struct Report {
    TimePoint at;
    size_t gateway = 0;
    int life = 0;
    UpstreamCrash crash;
  };

  Duration Between(int64_t low_ms, int64_t high_ms) {
    return std::chrono::milliseconds(this->rng.Between(low_ms, high_ms));
  }

  void StartGateway(size_t index) {
    Gateway& gateway = *this->gateways[index];
    ++gateway.life;
    gateway.quarantine = std::make_unique<PromptQuarantine>(
        PromptQuarantineOptions{.holder = "vm-" + std::to_string(index) + "/" +
                                          std::to_string(gateway.life)});
    gateway.quarantine->SetFleetSize(this->options.gateways);
    // A new process reads the newest record of each key, then the tail.
    for (const auto& [key, at] : this->newest) {
      Apply(this->now, this->stream[at], *gateway.quarantine);
    }
    gateway.read = this->stream.size();
    gateway.in_touch_from = this->now + kContact;
  }

  void Step() {
    this->now = this->now + kStep;
    for (auto& gateway : this->gateways) this->StepGateway(*gateway);
    while (!this->reports.empty() && this->reports.front().at <= this->now) {
      const Report report = std::move(this->reports.front());
      this->reports.pop_front();
      Gateway& gateway = *this->gateways[report.gateway];
      if (gateway.life != report.life) continue;
      gateway.quarantine->OnCrash(this->now, report.crash);
      gateway.next_sync = this->now;
    }
    this->StepRuns();
    this->due_requests += this->options.requests_per_s * 0.005;
    while (this->due_requests >= 1) {
      this->due_requests -= 1;
      this->Request();
    }
    this->CrashWithoutPart();
  }

  void StepGateway(Gateway& gateway) {
    if (this->now < gateway.cut_until) {
      gateway.in_touch_from = gateway.cut_until + kContact;
      return;
    }
    if (this->now >= gateway.next_read) {
      for (; gateway.read < this->stream.size(); ++gateway.read) {
        Apply(this->now, this->stream[gateway.read], *gateway.quarantine);
      }
      gateway.next_read =
          this->now + std::chrono::milliseconds(10 + this->options.gateways);
    }
    if (this->now < gateway.next_sync ||
        !gateway.quarantine->IsUpdateDue(this->now)) {
      return;
    }
    gateway.next_sync = this->now + kSyncInterval;
    // The append depends on the end up to which the gateway has read.
    ++this->writes;
    if (gateway.read != this->stream.size()) {
      gateway.next_read = this->now;
      gateway.next_sync = this->now + this->Between(5, 50);
      return;
    }
    const QuarantineUpdate update = gateway.quarantine->PlanUpdate(this->now);
    for (const UpstreamCrash& crash : update.crashes) {
      this->Append("c/" + CrashKey(crash.upstream), crash);
    }
    for (const std::string& key : update.ended_crashes) {
      this->Append("c/" + key, CrashEnded{key});
    }
    for (const std::string& key : update.ended_quarantines) {
      this->Append("q/" + key, QuarantineEnded{key});
    }
    for (const Quarantine& quarantine : update.quarantines) {
      this->Append("q/" + QuarantineKey(quarantine.parts), quarantine);
    }
    for (; gateway.read < this->stream.size(); ++gateway.read) {
      Apply(this->now, this->stream[gateway.read], *gateway.quarantine);
    }
  }

  void Append(const std::string& key, Record record) {
    const bool is_deletion = std::holds_alternative<CrashEnded>(record) ||
                             std::holds_alternative<QuarantineEnded>(record);
    if (is_deletion) {
      this->newest.erase(key);
    } else {
      this->newest[key] = this->stream.size();
    }
    this->stream.push_back(std::move(record));
  }
  static void Apply(TimePoint now, const Record& record,
                    PromptQuarantine& quarantine) {
    if (const auto* crash = std::get_if<UpstreamCrash>(&record)) {
      quarantine.OnCrashRecord(now, *crash);
    } else if (const auto* over = std::get_if<CrashEnded>(&record)) {
      quarantine.OnCrashDeleted(now, over->key);
    } else if (const auto* held = std::get_if<Quarantine>(&record)) {
      quarantine.OnQuarantineRecord(now, *held);
    } else if (const auto* ended = std::get_if<QuarantineEnded>(&record)) {
      quarantine.OnQuarantineDeleted(now, ended->key);
    }
  }

  void Request() {
    Running run;
    run.gateway = this->rng.Below(this->gateways.size());
    Gateway& gateway = *this->gateways[run.gateway];
    run.life = gateway.life;
    run.request = ++this->made;
    run.organisation = 1 + this->rng.Below(kOrganisations);
    // Few middle parts are in most requests, many in few.
    const double skewed = this->rng.Unit() * this->rng.Unit();
    run.parts = {kFirstPartBase + this->rng.Below(2),
                 kMiddlePartBase + static_cast<uint64_t>(60 * skewed)};
    if (this->rng.Chance(this->options.bad_fraction)) {
      run.bad_part =
          kBadBase +
          this->rng.Below(static_cast<uint64_t>(this->options.bad_parts));
      run.parts.insert(
          run.parts.begin() + 1 + static_cast<ptrdiff_t>(this->rng.Below(2)),
          run.bad_part);
    } else {
      ++this->sound;
    }
    run.check =
        gateway.quarantine->Check(this->now, run.organisation, run.parts);
    if (run.check.decision == QuarantineDecision::kRefuse) {
      if (run.bad_part == 0) ++this->sound_held_back;
      return;
    }
    run.upstream = this->rng.Below(this->upstreams.size());
    for (int i = 0; i < 4 && this->IsDown(run.upstream); ++i) {
      run.upstream = this->rng.Below(this->upstreams.size());
    }
    if (this->IsDown(run.upstream)) {
      gateway.quarantine->End(run.check);
      return;
    }
    run.mark = gateway.quarantine->Mark();
    run.begins = this->now + this->Between(20, 250);
    run.sound_at = run.begins + this->Between(60, 120);
    run.ends = run.sound_at + this->Between(50, 2500);
    const bool is_in_touch = this->now >= gateway.in_touch_from;
    if (run.bad_part != 0 && is_in_touch) {
      this->bad[run.bad_part].sends.push_back(this->now);
    }
    this->running.push_back(std::move(run));
  }
  bool IsDown(size_t upstream) const {
    return this->now < this->upstreams[upstream].up_from;
  }

  void StepRuns() {
    std::vector<size_t> crashing;
    for (Running& run : this->running) {
      if (run.is_proven || this->now < run.sound_at) continue;
      if (run.bad_part != 0) {
        crashing.push_back(run.upstream);
        this->bad[run.bad_part].crashes.push_back(this->now);
        continue;
      }
      run.is_proven = true;
      Gateway& gateway = *this->gateways[run.gateway];
      if (gateway.life != run.life) continue;
      gateway.quarantine->OnSound(this->now,
                                  this->upstreams[run.upstream].incarnation,
                                  run.parts, run.mark);
      gateway.quarantine->End(run.check);
      run.check = {};
    }
    for (const size_t upstream : crashing) this->Crash(upstream);
    std::erase_if(this->running, [this](const Running& run) {
      if (this->now < run.ends) return false;
      this->EndRun(run);
      return true;
    });
  }
  void EndRun(const Running& run) {
    Gateway& gateway = *this->gateways[run.gateway];
    if (gateway.life == run.life) gateway.quarantine->End(run.check);
  }

  void Crash(size_t index) {
    Upstream& upstream = this->upstreams[index];
    if (this->IsDown(index)) return;
    ++this->crashes;
    std::map<size_t, UpstreamCrash> lost;
    std::erase_if(this->running, [&](const Running& run) {
      if (run.upstream != index) return false;
      this->EndRun(run);
      if (!run.is_proven) {
        UpstreamCrash& crash = lost[run.gateway];
        crash.upstream = upstream.incarnation;
        LostRun lost_run;
        lost_run.request = run.request;
        lost_run.organisation = run.organisation;
        lost_run.has_begun = this->now >= run.begins;
        lost_run.parts = run.parts;
        crash.runs.push_back(std::move(lost_run));
      }
      return true;
    });
    const TimePoint found = this->now + std::chrono::milliseconds(30);
    for (auto& [gateway, crash] : lost) {
      this->reports.push_back({.at = found,
                               .gateway = gateway,
                               .life = this->gateways[gateway]->life,
                               .crash = std::move(crash)});
    }
    ++upstream.incarnation.started_unix_ms;
    upstream.up_from = this->now + kDownTime;
  }
  void CrashWithoutPart() {
    const auto is_due = [this](Duration interval) {
      return interval > Duration::zero() &&
             this->rng.Chance(static_cast<double>(kStep.count()) /
                              static_cast<double>(interval.count()));
    };
    if (is_due(this->options.own_crash_interval)) {
      this->Crash(this->rng.Below(this->upstreams.size()));
    }
    if (is_due(this->options.rack_crash_interval)) {
      for (size_t i = 0; i < this->upstreams.size(); i += 3) this->Crash(i);
    }
  }

  Options options;
  Rng rng;
  TimePoint now{1'000'000'000};
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<Upstream> upstreams;
  std::vector<Running> running;
  std::deque<Report> reports;
  std::vector<Record> stream;
  /// Offset of the last record of each key.
  std::map<std::string, size_t> newest;
  std::map<uint64_t, History> bad;
  double due_requests = 0;
  uint64_t made = 0;
  uint64_t writes = 0;
  int crashes = 0;
  int sound = 0;
  int sound_held_back = 0;
};

}  // namespace fuchsiadrum::serving
