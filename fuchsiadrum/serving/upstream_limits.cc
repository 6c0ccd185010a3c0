#include "fuchsiadrum/serving/upstream_limits.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::serving {
namespace {

/// Relative error of sums of shares that is not worth a change.
constexpr double kRounding = 1e-6;

}  // namespace

UpstreamLimits::UpstreamLimits(const UpstreamLimitsOptions& opts)
    : options(opts),
      leases(opts.lease, opts.holder),
      rng(Hash64(opts.holder)),
      deletion_delay(std::chrono::duration_cast<Duration>(
          opts.unknown_retention * (1 + this->rng.Unit()))) {}

void UpstreamLimits::Close(TimePoint now) {
  this->closed = true;
  for (auto& [id, entry] : this->entries) this->UpdateRate(now, entry);
}

void UpstreamLimits::OnRequest(TimePoint now, const std::string& service,
                               int priority) {
  this->GateOf(service).OnRequest(now, priority);
}

bool UpstreamLimits::OnNamed(TimePoint now, const UpstreamIncarnation& upstream,
                             const std::string& service, double limit,
                             TimePoint sent_at) {
  Entry* entry = this->Refresh(upstream);
  if (entry == nullptr) return false;
  entry->service = service;
  const std::optional<double> known = LimitOf(*entry);
  // The answer may be older than the one that named the lower limit.
  if (known && limit > *known && sent_at <= entry->limit_at) return false;
  entry->heard = limit;
  entry->withdrawn = false;
  entry->limit_at = now;
  this->UpdateRate(now, *entry);
  return known != limit;
}

bool UpstreamLimits::OnUnnamed(TimePoint now,
                               const UpstreamIncarnation& upstream,
                               TimePoint sent_at) {
  const auto found = this->entries.find(upstream.id);
  if (found == this->entries.end()) return false;
  Entry& entry = found->second;
  if (entry.incarnation != upstream || !LimitOf(entry)) return false;
  if (sent_at <= entry.limit_at) return false;
  entry.heard.reset();
  entry.withdrawn = entry.shared.has_value();
  this->UpdateRate(now, entry);
  return true;
}

std::optional<double> UpstreamLimits::LimitOf(
    const UpstreamIncarnation& upstream) const {
  const Entry* entry = this->Find(upstream);
  return entry == nullptr ? std::nullopt : LimitOf(*entry);
}

std::optional<double> UpstreamLimits::LimitOf(const Entry& entry) {
  if (entry.heard) return entry.heard;
  if (!entry.shared || entry.withdrawn) return std::nullopt;
  return entry.shared->requests_per_s;
}

bool UpstreamLimits::HasPermit(TimePoint now,
                               const UpstreamIncarnation& upstream) const {
  const Entry* entry = this->Find(upstream);
  return entry == nullptr || !LimitOf(*entry) || entry->bucket.Has(now);
}

bool UpstreamLimits::TakePermit(TimePoint now,
                                const UpstreamIncarnation& upstream,
                                int priority) {
  const Entry* found = this->Find(upstream);
  if (found == nullptr || !LimitOf(*found)) return true;
  Entry& entry = this->entries.at(upstream.id);
  if (!entry.bucket.Take(now)) return false;
  this->GateOf(entry.service).OnTaken(now, priority);
  return true;
}

void UpstreamLimits::ReturnPermit(TimePoint now,
                                  const UpstreamIncarnation& upstream) {
  if (this->Find(upstream) == nullptr) return;
  this->entries.at(upstream.id).bucket.Return(now);
}

bool UpstreamLimits::IsShareValid(const UpstreamIncarnation& upstream) const {
  const Entry* entry = this->Find(upstream);
  return entry == nullptr || !LimitOf(*entry) || entry->bucket.Rate() > 0;
}

bool UpstreamLimits::MayTakeScarce(TimePoint now,
                                   const UpstreamIncarnation& upstream,
                                   int priority) {
  const Entry* entry = this->Find(upstream);
  if (entry == nullptr || !LimitOf(*entry)) return true;
  UrgencyGate& gate = this->GateOf(entry->service);
  const double own_rate = this->totals.at(entry->service).own_rate;
  if (!gate.Allows(now, priority, own_rate)) return false;
  return gate.IsMostUrgent(now, priority) || entry->bucket.IsFull(now);
}

std::optional<TimePoint> UpstreamLimits::NextForPriority(
    TimePoint now, const std::string& service, int priority) {
  const auto found = this->totals.find(service);
  if (found == this->totals.end() || found->second.limits <= 0) {
    return std::nullopt;
  }
  const Totals& sums = found->second;
  // Another VM has the permits: the fleet gets one in this time on average.
  const TimePoint of_fleet = now + FromSeconds(1 / sums.limits);
  std::optional<TimePoint> own_permit;
  for (const auto& [id, entry] : this->entries) {
    if (entry.service != service) continue;
    const auto next = entry.bucket.NextPermit(now);
    if (next && (!own_permit || *next < *own_permit)) own_permit = next;
  }
  if (!own_permit) return of_fleet;
  const auto allowed =
      this->GateOf(service).NextAllowed(now, priority, sums.own_rate);
  return std::max(*own_permit, allowed.value_or(of_fleet));
}

void UpstreamLimits::OnRecord(TimePoint now, TimePoint boot_now,
                              const SharedLimit& record) {
  Entry* entry = this->Refresh(record.upstream);
  if (entry == nullptr) return;
  const bool is_news =
      !entry->shared || entry->shared->requests_per_s != record.requests_per_s;
  entry->service = record.service;
  entry->shared = record;
  entry->planned_share.reset();
  if (is_news) {
    entry->withdrawn = false;
    entry->limit_at = now;
  }
  // Of two limits that were heard at about the same time, the lower one binds
  // until an answer names the higher one again.
  if (entry->heard && record.requests_per_s <= *entry->heard) {
    entry->heard.reset();
  }
  for (const auto& [holder, share] : record.shares) {
    this->leases.OnHolder(boot_now, holder);
  }
  this->UpdateRate(now, *entry);
}

void UpstreamLimits::OnRecordDeleted(TimePoint now,
                                     const std::string& upstream) {
  const auto found = this->entries.find(upstream);
  if (found == this->entries.end()) return;
  found->second.shared.reset();
  found->second.planned_share.reset();
  found->second.withdrawn = false;
  this->UpdateRate(now, found->second);
}

void UpstreamLimits::OnRenewal(TimePoint now, TimePoint boot_now,
                               const std::string& holder, uint64_t renewal) {
  this->leases.OnRenewal(boot_now, holder, renewal);
  this->CheckLease(now, boot_now);
}

void UpstreamLimits::OnHolderDeleted(TimePoint now, TimePoint boot_now,
                                     const std::string& holder) {
  this->leases.OnRemoved(boot_now, holder);
  this->CheckLease(now, boot_now);
}

bool UpstreamLimits::CheckLease(TimePoint now, TimePoint boot_now) {
  const bool valid = this->leases.IsOwnValid(boot_now);
  if (valid == this->lease_valid) return false;
  this->lease_valid = valid;
  for (auto& [id, entry] : this->entries) this->UpdateRate(now, entry);
  return true;
}

void UpstreamLimits::DropUnknown(
    TimePoint now, const std::function<bool(const std::string&)>& is_known) {
  for (auto& [id, entry] : this->entries) {
    if (is_known(id)) {
      entry.unknown_since = TimePoint();
    } else if (entry.unknown_since.us == 0) {
      entry.unknown_since = now;
    }
  }
  const size_t dropped = std::erase_if(this->entries, [&](const auto& item) {
    const Entry& entry = item.second;
    return !entry.shared && entry.unknown_since.us != 0 &&
           now - entry.unknown_since >= this->options.unknown_retention;
  });
  if (dropped == 0) return;
  for (const auto& [service, sums] : this->totals) this->UpdateTotals(service);
}

bool UpstreamLimits::IsUpdateDue(TimePoint now, TimePoint boot_now) {
  const LimitUpdate update = this->PlanLimits(now, boot_now);
  if (!update.IsEmpty()) return true;
  if (!this->HoldsShare(update)) return this->leases.IsOwnRecorded();
  return this->leases.IsRenewalDue(boot_now);
}

LimitUpdate UpstreamLimits::PlanUpdate(TimePoint now, TimePoint boot_now) {
  LimitUpdate update = this->PlanLimits(now, boot_now);
  for (const SharedLimit& record : update.changed) {
    Entry& entry = this->entries.at(record.upstream.id);
    const auto own = record.shares.find(this->options.holder);
    const double share = own == record.shares.end() ? 0 : own->second;
    if (share >= this->OwnShare(entry)) continue;
    entry.planned_share = share;
    this->UpdateRate(now, entry);
  }
  if (!this->HoldsShare(update)) {
    if (this->leases.IsOwnRecorded()) {
      update.ended_holders.push_back(this->options.holder);
    }
  } else if (this->leases.IsRenewalDue(boot_now) || !this->lease_valid) {
    update.renewal = this->leases.BeginRenewal(boot_now);
  }
  return update;
}

void UpstreamLimits::OnUpdateRejected(TimePoint now, TimePoint boot_now) {
  this->leases.OnRenewalFailed(boot_now);
  for (auto& [id, entry] : this->entries) {
    entry.planned_share.reset();
    this->UpdateRate(now, entry);
  }
}

size_t UpstreamLimits::Limited() const {
  return static_cast<size_t>(std::ranges::count_if(
      this->entries,
      [](const auto& item) { return LimitOf(item.second).has_value(); }));
}

double UpstreamLimits::OwnRate() const {
  double sum = 0;
  for (const auto& [id, entry] : this->entries) sum += entry.bucket.Rate();
  return sum;
}

UpstreamLimits::Entry* UpstreamLimits::Refresh(
    const UpstreamIncarnation& upstream) {
  Entry& entry = this->entries.try_emplace(upstream.id, this->options.bucket)
                     .first->second;
  if (upstream.started_unix_ms < entry.incarnation.started_unix_ms) {
    return nullptr;
  }
  if (entry.incarnation != upstream) {
    // The record of the former incarnation is replaced by the next update.
    const std::string service = entry.service;
    entry = Entry(this->options.bucket);
    entry.incarnation = upstream;
    this->UpdateTotals(service);
  }
  return &entry;
}

const UpstreamLimits::Entry* UpstreamLimits::Find(
    const UpstreamIncarnation& upstream) const {
  const auto found = this->entries.find(upstream.id);
  if (found == this->entries.end()) return nullptr;
  return found->second.incarnation == upstream ? &found->second : nullptr;
}

void UpstreamLimits::UpdateRate(TimePoint now, Entry& entry) {
  double rate = 0;
  const std::optional<double> limit = LimitOf(entry);
  if (this->lease_valid && !this->closed && limit && entry.shared) {
    // A limit that was lowered binds before the shares are written anew.
    const double sum = entry.shared->SumOfShares();
    const double usable = this->UsableLimit(*limit);
    rate = this->OwnShare(entry) * (sum > usable ? usable / sum : 1);
    rate = std::min(rate, entry.planned_share.value_or(rate));
  }
  entry.bucket.SetRate(now, rate);
  this->UpdateTotals(entry.service);
}

void UpstreamLimits::UpdateTotals(const std::string& service) {
  Totals sums;
  for (const auto& [id, entry] : this->entries) {
    const std::optional<double> limit = LimitOf(entry);
    if (entry.service != service || !limit) continue;
    sums.limits += this->UsableLimit(*limit);
    sums.own_rate += entry.bucket.Rate();
  }
  this->totals[service] = sums;
}

double UpstreamLimits::UsableLimit(double limit) const {
  return std::max(limit, this->options.min_limit);
}

double UpstreamLimits::OwnShare(const Entry& entry) const {
  if (!entry.shared) return 0;
  const auto own = entry.shared->shares.find(this->options.holder);
  return own == entry.shared->shares.end() ? 0 : own->second;
}

UrgencyGate& UpstreamLimits::GateOf(const std::string& service) {
  return this->gates.try_emplace(service, this->options.urgency).first->second;
}

double UpstreamLimits::WantedShare(TimePoint now, const Entry& entry) {
  if (this->closed || entry.unknown_since.us != 0) return 0;
  const double demand = this->GateOf(entry.service).Demand(now);
  if (demand < this->options.idle_demand) return 0;
  const double usable = this->UsableLimit(*LimitOf(entry));
  return std::min(usable,
                  demand * usable / this->totals.at(entry.service).limits);
}

LimitUpdate UpstreamLimits::PlanLimits(TimePoint now, TimePoint boot_now) {
  LimitUpdate update;
  for (auto& [id, entry] : this->entries) {
    const bool is_abandoned = entry.unknown_since.us != 0 &&
                              now - entry.unknown_since >= this->deletion_delay;
    if (!LimitOf(entry) || is_abandoned) {
      if (entry.shared) update.deleted.push_back(id);
      continue;
    }
    SharedLimit record = this->PlanRecord(now, boot_now, entry);
    if (entry.shared && *entry.shared == record) continue;
    if (entry.shared) {
      for (const auto& [holder, share] : entry.shared->shares) {
        if (!record.shares.contains(holder) &&
            this->leases.HasEnded(boot_now, holder)) {
          update.ended_holders.push_back(holder);
        }
      }
    }
    update.changed.push_back(std::move(record));
  }
  return update;
}

SharedLimit UpstreamLimits::PlanRecord(TimePoint now, TimePoint boot_now,
                                       Entry& entry) {
  SharedLimit record;
  if (entry.shared) record = *entry.shared;
  record.upstream = entry.incarnation;
  record.service = entry.service;
  record.requests_per_s = *LimitOf(entry);

  // Shares of holders that have ended are removed only by a gateway that takes
  // over a part of them, so that not every gateway writes.
  std::map<std::string, double> ended;
  for (const auto& [holder, share] : record.shares) {
    if (this->leases.HasEnded(boot_now, holder)) ended.emplace(holder, share);
  }
  for (const auto& [holder, share] : ended) record.shares.erase(holder);
  this->PlanOwnShare(now, entry, record);
  const auto own = record.shares.find(this->options.holder);
  if (own == record.shares.end() || own->second <= this->OwnShare(entry)) {
    record.shares.insert(ended.begin(), ended.end());
  }

  const double usable = this->UsableLimit(*LimitOf(entry));
  const double sum = record.SumOfShares();
  if (sum > usable * (1 + kRounding)) {
    for (auto& [holder, share] : record.shares) share *= usable / sum;
  }
  return record;
}

void UpstreamLimits::PlanOwnShare(TimePoint now, Entry& entry,
                                  SharedLimit& record) {
  const double wanted = this->WantedShare(now, entry);
  const auto own = record.shares.find(this->options.holder);
  if (wanted <= 0) {
    if (own != record.shares.end()) record.shares.erase(own);
    return;
  }
  const double usable = this->UsableLimit(*LimitOf(entry));
  const double held = own == record.shares.end() ? 0 : own->second;
  const double free = usable - record.SumOfShares();
  const double hysteresis = this->options.share_hysteresis;
  if (held > 0 && held > wanted * hysteresis * hysteresis) {
    own->second = wanted;
    return;
  }
  if (held > 0 && wanted < held * hysteresis) return;
  if (free < usable * this->options.min_share_fraction) {
    entry.claim_at = TimePoint();
    return;
  }
  if (!this->MayClaim(now, entry, record)) return;
  record.shares[this->options.holder] = held + std::min(wanted - held, free);
}

bool UpstreamLimits::MayClaim(TimePoint now, Entry& entry,
                              const SharedLimit& record) {
  const auto max_holders =
      this->options.additional_holders +
      static_cast<size_t>(this->UsableLimit(*LimitOf(entry)));
  const bool is_holder = record.shares.contains(this->options.holder);
  if (!is_holder && record.shares.size() >= max_holders) {
    entry.claim_at = TimePoint();
    return false;
  }
  // Nobody has written the limit yet, so hardly anyone else claims it now.
  if (!entry.shared) return true;
  if (entry.claim_at.us == 0) {
    const Duration spread =
        std::min(this->options.max_claim_spread,
                 this->options.claim_spread_per_vm *
                     static_cast<int64_t>(this->fleet_size));
    entry.claim_at =
        now + std::chrono::duration_cast<Duration>(spread * this->rng.Unit());
  }
  return now >= entry.claim_at;
}

bool UpstreamLimits::HoldsShare(const LimitUpdate& update) const {
  const auto is_own = [&](const SharedLimit& record) {
    return record.shares.contains(this->options.holder);
  };
  if (std::ranges::any_of(update.changed, is_own)) return true;

  const auto is_replaced = [&](const std::string& upstream) {
    return std::ranges::find(update.deleted, upstream) !=
               update.deleted.end() ||
           std::ranges::any_of(update.changed, [&](const SharedLimit& record) {
             return record.upstream.id == upstream;
           });
  };
  return std::ranges::any_of(this->entries, [&](const auto& item) {
    const std::optional<SharedLimit>& shared = item.second.shared;
    return shared && is_own(*shared) && !is_replaced(item.first);
  });
}

}  // namespace fuchsiadrum::serving
