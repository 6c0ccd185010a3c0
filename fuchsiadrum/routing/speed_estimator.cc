#include "fuchsiadrum/routing/speed_estimator.h"

namespace fuchsiadrum::routing {

SpeedEstimator::SpeedEstimator(const upstream::UpstreamTable& table,
                               SpeedEstimatorOptions options)
    : table(table), options(options), model(options.model) {}

void SpeedEstimator::OnFirstToken(UpstreamIndex index,
                                  const FirstTokenFactors& factors,
                                  Duration observed) {
  if (this->records.size() <= index) {
    this->records.resize(this->table.Slots());
  }
  Record& record = this->records[index];
  const uint32_t epoch = this->table.At(index).epoch;
  if (record.epoch != epoch) record = Record{.epoch = epoch};

  const double value = static_cast<double>(observed.count());
  record.pace.Add(value, this->model.Expected(factors), 1.0,
                  this->options.pace);
  this->model.Learn(factors, value / record.pace.Slowness());
}

double SpeedEstimator::Slowness(UpstreamIndex index) const {
  if (index >= this->records.size()) return 1.0;
  const Record& record = this->records[index];
  return record.epoch == this->table.At(index).epoch ? record.pace.Slowness()
                                                     : 1.0;
}

}  // namespace fuchsiadrum::routing
