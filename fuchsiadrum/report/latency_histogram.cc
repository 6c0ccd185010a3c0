#include "fuchsiadrum/report/latency_histogram.h"

#include <algorithm>
#include <boost/histogram/algorithm/sum.hpp>
#include <vector>

namespace fuchsiadrum::report {
namespace {

constexpr int kPartsOfOctave = 16;
constexpr int kOctaves = 19;
constexpr double kLeastMs = 0.25;
/// A malformed message must not make a count overflow.
constexpr uint64_t kMostInBin = uint64_t{1} << 50U;

}  // namespace

LatencyHistogram::LatencyHistogram() : histogram(std::make_tuple(MakeAxis())) {}

void LatencyHistogram::Add(Duration value) {
  this->histogram(static_cast<double>(value.count()) / 1000.0);
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  this->histogram += other.histogram;
}

bool LatencyHistogram::Merge(const pb::SparseHistogram& other) {
  const auto cells = static_cast<uint32_t>(this->histogram.size());
  if (other.bins_size() != other.counts_size()) return false;
  const bool valid =
      std::all_of(other.bins().begin(), other.bins().end(),
                  [cells](uint32_t bin) { return bin < cells; }) &&
      std::all_of(other.counts().begin(), other.counts().end(),
                  [](uint64_t count) { return count <= kMostInBin; });
  if (!valid) return false;

  // Bin 0 on the wire is the underflow cell, which the histogram numbers -1.
  for (int i = 0; i < other.bins_size(); ++i) {
    this->histogram.at(static_cast<int>(other.bins(i)) - 1) +=
        static_cast<double>(other.counts(i));
  }
  return true;
}

pb::SparseHistogram LatencyHistogram::ToProto() const {
  pb::SparseHistogram out;
  const int cells = static_cast<int>(this->histogram.size());
  for (int cell = 0; cell < cells; ++cell) {
    const double count = this->histogram.at(cell - 1);
    if (count == 0) continue;
    out.add_bins(static_cast<uint32_t>(cell));
    out.add_counts(static_cast<uint64_t>(count));
  }
  return out;
}

double LatencyHistogram::QuantileMs(double ratio) const {
  const double wanted = ratio * static_cast<double>(this->Count());
  if (wanted <= 0) return 0;
  const Axis& axis = this->histogram.axis();
  double seen = 0;
  for (int bin = -1; bin < axis.size(); ++bin) {
    seen += static_cast<double>(this->histogram.at(bin));
    if (seen >= wanted) return axis.value(bin + 1);
  }
  return axis.value(axis.size());
}

uint64_t LatencyHistogram::Count() const {
  return static_cast<uint64_t>(
      boost::histogram::algorithm::sum(this->histogram));
}

void LatencyHistogram::Clear() { this->histogram.reset(); }

LatencyHistogram::Axis LatencyHistogram::MakeAxis() {
  // Edges are sums of powers of two, exact on every machine.
  std::vector<double> edges;
  double octave = kLeastMs;
  for (int i = 0; i < kOctaves; ++i, octave *= 2) {
    for (int part = 0; part < kPartsOfOctave; ++part) {
      edges.push_back(octave + octave * part / kPartsOfOctave);
    }
  }
  edges.push_back(octave);
  return Axis(edges);
}

}  // namespace fuchsiadrum::report
