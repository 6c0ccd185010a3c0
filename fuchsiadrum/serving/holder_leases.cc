#include "fuchsiadrum/serving/holder_leases.h"

#include <algorithm>
#include <iterator>
#include <string_view>

namespace fuchsiadrum::serving {
namespace {

/// How long a removed holder is remembered. The gateway that removed it takes
/// over its shares within the next seconds.
constexpr Duration kRemovedRetention = std::chrono::minutes(10);

/// Name of the VM in "<vm>/<incarnation>".
std::string_view VmOf(std::string_view holder) {
  return holder.substr(0, holder.rfind('/'));
}

}  // namespace

uint64_t HolderLeases::BeginRenewal(TimePoint now) {
  this->due_at = now + this->options.renewal_interval;
  this->pending[++this->last_renewal] = now;
  return this->last_renewal;
}

void HolderLeases::OnRenewalFailed(TimePoint now) {
  this->due_at = std::min(this->due_at, now + this->options.retry_interval);
}

void HolderLeases::OnRenewal(TimePoint now, const std::string& holder,
                             uint64_t renewal) {
  this->holders[holder] = {SightingKind::kRenewed, now};
  if (holder != this->own) return;
  const auto begun = this->pending.find(renewal);
  if (begun == this->pending.end()) return;
  this->own_since = begun->second;
  this->pending.erase(this->pending.begin(), std::next(begun));
}

void HolderLeases::OnHolder(TimePoint now, const std::string& holder) {
  this->holders.try_emplace(holder, Sighting{SightingKind::kNamed, now});
}

void HolderLeases::OnRemoved(TimePoint now, const std::string& holder) {
  std::erase_if(this->holders, [&](const auto& item) {
    const Sighting& sighting = item.second;
    return sighting.kind == SightingKind::kRemoved &&
           now - sighting.at > kRemovedRetention;
  });
  this->holders[holder] = {SightingKind::kRemoved, now};
  if (holder == this->own) this->own_since = TimePoint();
}

bool HolderLeases::IsOwnValid(TimePoint now) const {
  return this->own_since.us != 0 && now - this->own_since < this->options.term;
}

bool HolderLeases::IsRenewalDue(TimePoint now) const {
  return now >= this->due_at;
}

bool HolderLeases::HasEnded(TimePoint now, const std::string& holder) const {
  if (holder == this->own) return false;
  if (VmOf(holder) == VmOf(this->own)) return true;
  const auto found = this->holders.find(holder);
  if (found == this->holders.end()) return false;
  return found->second.kind == SightingKind::kRemoved ||
         now - found->second.at >= this->options.takeover_delay;
}

bool HolderLeases::IsOwnRecorded() const {
  const auto found = this->holders.find(this->own);
  return found != this->holders.end() &&
         found->second.kind == SightingKind::kRenewed;
}

}  // namespace fuchsiadrum::serving
