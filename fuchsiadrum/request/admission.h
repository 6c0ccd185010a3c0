#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "schema/catalogue.pb.h"

namespace fuchsiadrum::request {

/// Options of an admission queue.
struct AdmissionOptions {
  /// Requests that may wait; above it the lowest class is shed.
  size_t max_queued = 2000;
  /// Waiting time that lifts a request by one class, so that a busy high
  /// class cannot starve a low one.
  Duration ageing_step = std::chrono::seconds(10);
  /// Window over which the rate of finished requests is estimated.
  Duration rate_window = std::chrono::seconds(5);
  /// Bounds of Retry-After.
  Duration min_retry_after = std::chrono::seconds(1);
  Duration max_retry_after = std::chrono::seconds(60);
};

/// Limits of one organisation; 0: none.
struct OrganisationLimits {
  uint32_t max_concurrent = 0;
  uint64_t max_tokens_per_second = 0;
};

/// A request that asks for admission.
struct WorkItem {
  uint64_t handle = 0;
  std::string organisation;
  pb::WorkClass work_class = pb::WORK_CLASS_UNSPECIFIED;
  /// Expected tokens: prompt and output.
  Tokens tokens;
  /// Moment after which nobody wants the answer.
  TimePoint deadline;
};

/// Answers to an offer.
enum class AdmissionAnswer { kStart, kQueued, kShed };

/// Verdict on an offer.
struct AdmissionVerdict {
  AdmissionAnswer answer = AdmissionAnswer::kShed;
  /// kShed: when to try again.
  Duration retry_after = Duration::zero();
  /// kShed: static text.
  std::string_view reason;
};

/// A waiting request that was given up.
struct ShedItem {
  uint64_t handle = 0;
  Duration retry_after = Duration::zero();
  std::string_view reason;
};

/// Decides which request starts next: classes by priority with ageing, within
/// a class the organisation with the least outstanding work. Draw checks start
/// at once and pass by the queue and the limits.
class Admission {
 public:
  explicit Admission(AdmissionOptions options) : options(options) {}

  /// Sets the limits of an organisation.
  void SetLimits(const std::string& organisation, OrganisationLimits limits);
  /// Asks to start a request now. `item.handle` is not known yet.
  AdmissionVerdict Offer(TimePoint now, const WorkItem& item);
  /// A started request is over and used this many tokens.
  void OnFinished(TimePoint now, uint64_t handle, Tokens used);
  /// Requests to start now, at most `free_capacity`.
  std::vector<uint64_t> TakeStarts(TimePoint now, int free_capacity);
  /// Requests that were given up since the last call; call it on every tick.
  std::vector<ShedItem> TakeShed(TimePoint now);
  /// The caller of a waiting request has gone; false: it is not waiting.
  bool Abandon(uint64_t handle);

  /// Waiting and started requests.
  size_t Queued() const { return this->queued; }
  size_t Running() const { return this->items.size() - this->queued; }

 private:
  static constexpr size_t kClasses = 6;
  using OrganisationId = uint32_t;
  /// Outstanding tokens, order of the last start, organisation.
  using Rank = std::tuple<int64_t, uint64_t, OrganisationId>;

  struct Item {
    WorkItem work;
    OrganisationId organisation = 0;
    size_t level = 0;
    uint64_t order = 0;
    TimePoint since;
    bool running = false;
  };
  struct Lane {
    /// Handles of waiting requests by order of arrival.
    std::map<uint64_t, uint64_t> waiting;
    int64_t outstanding = 0;
    uint64_t last_start = 0;
    /// Its entry in Level::ranks; nullopt: none.
    std::optional<Rank> rank;
  };
  struct Organisation {
    OrganisationLimits limits;
    uint32_t running = 0;
    /// Tokens that may start now; negative: owed.
    int64_t allowance = 0;
    TimePoint refilled;
    /// A limit is used up; none of its lanes is ranked.
    bool blocked = false;
    std::array<Lane, kClasses> lanes;
  };
  struct Level {
    /// Waiting requests by age: order of arrival -> handle.
    std::map<uint64_t, uint64_t> by_age;
    /// Organisations that may start a request of this class.
    std::set<Rank> ranks;
  };

  OrganisationId IdOf(const std::string& organisation);
  void Refill(TimePoint now, Organisation& organisation) const;
  bool MayStart(TimePoint now, OrganisationId id);
  void Start(TimePoint now, Item& item);
  void Enqueue(Item& item);
  void RemoveWaiting(const Item& item);
  void Rerank(OrganisationId id, size_t level);
  void Block(TimePoint now, OrganisationId id);
  void Unblock(OrganisationId id);
  void UnblockDue(TimePoint now);
  Item* Next(TimePoint now);
  Item* NextOf(TimePoint now, size_t level);
  Item* Victim(size_t level, OrganisationId incoming);
  void Shed(TimePoint now, Item& victim, std::string_view reason);
  void CountFinish(TimePoint now);
  double FinishRate(TimePoint now) const;
  Duration ExpectedWait(TimePoint now, size_t level) const;
  Duration RetryAfter(TimePoint now, size_t level) const;

  AdmissionOptions options;
  std::unordered_map<std::string, OrganisationId> ids;
  std::vector<Organisation> organisations;
  std::unordered_map<uint64_t, Item> items;
  std::array<Level, kClasses> levels;
  std::set<std::pair<TimePoint, uint64_t>> deadlines;
  /// Organisations whose rate limit is used up, by when they may go on.
  std::set<std::pair<TimePoint, OrganisationId>> rate_blocked;
  std::vector<ShedItem> shed;
  size_t queued = 0;
  uint64_t next_order = 1;
  int free = 0;
  /// Decaying number of finished requests within the window.
  double finished = 0;
  TimePoint finished_at;
};

}  // namespace fuchsiadrum::request
