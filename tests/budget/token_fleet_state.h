#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiadrum/budget/grant_holder.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/store/call_pacer.h"
#include "tests/budget/token_fleet_options.h"

namespace fuchsiadrum::budget {

/// State of a TokenFleet: its VMs, the store, and the events to come.
class TokenFleetState {
 protected:
  explicit TokenFleetState(const TokenFleetOptions& fleet_options)
      : options(fleet_options),
        rng(fleet_options.seed),
        load_rng(this->rng.Fork("load")) {}

  struct Event {
    TimePoint at;
    uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(this->at, this->number) >
             std::pair(other.at, other.number);
    }
  };
  struct Organisation {
    std::string name;
    Tokens budget;
    double rate = 0;
    std::vector<size_t> caller_vms;
    size_t partition = 0;
    Tokens spent;
  };
  struct Partition {
    AccountBook book;
    uint64_t end = 0;
    TimePoint busy_until;
  };
  struct Shard {
    size_t partition = 0;
    std::vector<std::string> names;
    AccountBook book;
    std::optional<uint64_t> end;
    TimePoint book_at;
    TimePoint write_begun;
    TimePoint backoff_until;
    TimePoint yield_until;
    bool busy = false;
    bool urgent = false;
    int attempts = 0;
    int failures = 0;
  };
  struct Append {
    std::vector<GrantUpdate> updates;
    AccountBook book;
    uint64_t at = 0;
    bool applied = false;
    bool answered = false;
    bool unknown = false;
    Duration timeout = std::chrono::milliseconds(250);
  };
  struct Request {
    size_t organisation = 0;
    Tokens amount;
    Tokens used;
    TimePoint arrived;
    TimePoint wait_end;
    bool is_retry = false;
    bool done = false;
    bool registered = false;
  };
  struct Vm {
    std::unique_ptr<GrantHolder> holder;
    std::unique_ptr<store::CallPacer> pacer;
    std::vector<Shard> shards;
    int zone = 0;
    /// The crowd has been here.
    bool crowded = false;
    int active_syncs = 0;
    TimePoint heartbeat_begun;
    TimePoint heartbeat_pending;
    std::list<std::shared_ptr<Request>> waiting;
    bool loop_due = false;
    TimePoint calls_read_at;
  };

  void At(TimePoint at, std::function<void()> run) {
    this->events.push({at, ++this->event_count, std::move(run)});
  }
  void After(Duration delay, std::function<void()> run) {
    this->At(this->now + delay, std::move(run));
  }
  bool IsCut(TimePoint at) const {
    return std::ranges::any_of(this->options.cuts, [&](Duration begin) {
      const Duration since = at - this->start;
      return since >= begin && since < begin + this->options.cut_duration;
    });
  }
  Duration Delay(const Vm& vm) {
    const bool is_full = &vm == this->fleet[this->crowd_vm].get() &&
                         this->crowd_there && vm.crowded;
    const Duration greatest =
        is_full ? this->options.crowd_delay : this->options.delay;
    return std::chrono::milliseconds(1) +
           Duration(this->rng.Between(0, greatest.count()));
  }

  TokenFleetOptions options;
  Rng rng;
  /// Generates the callers and their requests, so that a change of the gateways
  /// does not change the load.
  Rng load_rng;
  const TimePoint start{1'000'000'000};
  TimePoint now{1'000'000'000};
  std::priority_queue<Event> events;
  uint64_t event_count = 0;
  std::vector<Organisation> organisations;
  std::vector<Partition> partitions;
  TimePoint heartbeat_busy_until;
  size_t crowd_vm = 0;
  bool crowd_there = false;
  std::vector<std::unique_ptr<Vm>> fleet;
  TokenFleetResult result;
};

}  // namespace fuchsiadrum::budget
