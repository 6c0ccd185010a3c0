#include "fuchsiadrum/routing/outlier_ejector.h"

#include <algorithm>
#include <optional>
#include <string>

namespace fuchsiadrum::routing {
namespace {

/// Weight of one observation in the moving averages of slowness.
constexpr double kWeight = 0.1;
constexpr double kFleetWeight = 0.01;
/// One very late answer must not count as many.
constexpr double kLargestRatio = 20.0;

}  // namespace

void OutlierEjector::OnFailure(TimePoint now, UpstreamIndex index) {
  Record& record = this->RecordOf(index);
  if (now - record.last_failure > this->options.forget_after) {
    record.ejections = 0;
  }
  record.last_failure = now;
  ++record.failures;
  if (record.failures >= this->options.failures) {
    this->Eject(now, index, record);
  }
}

void OutlierEjector::OnSuccess(TimePoint now, UpstreamIndex index,
                               double ratio) {
  Record& record = this->RecordOf(index);
  record.failures = 0;
  const double bounded = std::min(ratio, kLargestRatio);
  record.slowness += kWeight * (bounded - record.slowness);
  this->fleet_slowness += kFleetWeight * (bounded - this->fleet_slowness);

  const double limit =
      this->options.slow_factor * std::max(this->fleet_slowness, 1.0);
  if (record.slowness > limit) this->Eject(now, index, record);
}

void OutlierEjector::OnTick(TimePoint now) {
  std::optional<UpstreamIndex> soonest;
  for (UpstreamIndex index = 0; index < this->records.size(); ++index) {
    const upstream::UpstreamState& state = this->table.At(index);
    if (!state.ejected) continue;
    const Record& record = this->records[index];
    if (record.epoch != state.epoch || now >= record.until) {
      this->Reinstate(index);
    } else if (!this->IsWithinFloor(index, 0) &&
               (!soonest || record.until < this->records[*soonest].until)) {
      soonest = index;
    }
  }

  // One reinstatement may be enough for several groups, so look again.
  if (!soonest) return;
  this->Reinstate(*soonest);
  this->OnTick(now);
}

OutlierEjector::Record& OutlierEjector::RecordOf(UpstreamIndex index) {
  if (this->records.size() <= index) {
    this->records.resize(this->table.Slots());
  }
  Record& record = this->records[index];
  const uint32_t epoch = this->table.At(index).epoch;
  if (record.epoch != epoch) record = Record{.epoch = epoch};
  return record;
}

void OutlierEjector::Eject(TimePoint now, UpstreamIndex index, Record& record) {
  if (this->table.At(index).ejected || !this->IsWithinFloor(index, 1)) return;

  Duration time = this->options.first_time;
  for (int i = 0; i < record.ejections; ++i) {
    time = std::min(time * 2, this->options.longest_time);
  }
  ++record.ejections;
  record.until = now + time;
  this->table.SetEjected(index, true);
}

void OutlierEjector::Reinstate(UpstreamIndex index) {
  this->table.SetEjected(index, false);
  this->records[index].failures = 0;
  this->records[index].slowness = 1.0;
}

bool OutlierEjector::IsWithinFloor(UpstreamIndex index, size_t more) const {
  const upstream::UpstreamState& state = this->table.At(index);
  if (!state.service.empty()) {
    return this->IsWithinFloor(this->table.ForService(state.service), more);
  }
  return std::all_of(state.models.begin(), state.models.end(),
                     [this, more](const std::string& model) {
                       return this->IsWithinFloor(this->table.ForModel(model),
                                                  more);
                     });
}

bool OutlierEjector::IsWithinFloor(const upstream::CandidateGroup* group,
                                   size_t more) const {
  if (group == nullptr) return true;
  const auto ejected = static_cast<size_t>(std::count_if(
      group->all.begin(), group->all.end(),
      [this](UpstreamIndex index) { return this->table.At(index).ejected; }));
  if (ejected + more == 0) return true;
  return static_cast<double>(ejected + more) <=
         this->options.most_ejected * static_cast<double>(group->all.size());
}

}  // namespace fuchsiadrum::routing
