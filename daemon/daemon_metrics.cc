#include "daemon/daemon_metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace fuchsiadrum::daemon {
namespace {

namespace bh = boost::histogram;

constexpr std::string_view kPrefix = "fuchsiadrum_daemon_";
// Ten bins for each factor of ten between 10 us and 10 s.
constexpr unsigned kBins = 60;
constexpr double kLowest = 1e-5;
constexpr double kHighest = 10;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

}  // namespace

struct DaemonMetrics::Histogram {
  decltype(bh::make_histogram(Axis(kBins, kLowest, kHighest))) bins =
      bh::make_histogram(Axis(kBins, kLowest, kHighest));
  double sum = 0;
  uint64_t count = 0;

  void Add(double seconds) {
    this->bins(seconds);
    this->sum += seconds;
    ++this->count;
  }

  void Write(std::ostream& out, const std::string& name) const {
    out << "# TYPE " << name << " histogram\n";
    // Index -1 holds the values below the first bin.
    auto below = static_cast<uint64_t>(static_cast<double>(this->bins.at(-1)));
    for (int i = 0; i < static_cast<int>(kBins); ++i) {
      below += static_cast<uint64_t>(static_cast<double>(this->bins.at(i)));
      out << name << "_bucket{le=\"" << this->bins.axis().bin(i).upper()
          << "\"} " << below << "\n";
    }
    out << name << "_bucket{le=\"+Inf\"} " << this->count << "\n"
        << name << "_sum " << this->sum << "\n"
        << name << "_count " << this->count << "\n";
  }
};

DaemonMetrics::DaemonMetrics()
    : first_token_delay(std::make_unique<Histogram>()) {}

DaemonMetrics::~DaemonMetrics() = default;

void DaemonMetrics::Count(const std::string& name, const std::string& label,
                          const std::string& value, uint64_t n) {
  const std::lock_guard lock(this->mutex);
  this->counters[{name, label + "=\"" + value + "\""}] += n;
}

void DaemonMetrics::Count(const std::string& name, const Labels& labels) {
  std::string text;
  for (const auto& [label, value] : labels) {
    if (!text.empty()) text += ',';
    text.append(label).append("=\"").append(value).append("\"");
  }
  const std::lock_guard lock(this->mutex);
  ++this->counters[{name, text}];
}

uint64_t DaemonMetrics::Counter(const std::string& name,
                                const std::string& value) const {
  const std::lock_guard lock(this->mutex);
  const std::string ending = "=\"" + value + "\"";
  for (const auto& [key, count] : this->counters) {
    if (key.first == name && key.second.ends_with(ending)) return count;
  }
  return 0;
}

std::shared_ptr<RingCounters> DaemonMetrics::AddRing(const std::string& ring) {
  const std::lock_guard lock(this->mutex);
  return this->rings.emplace_back(ring, std::make_shared<RingCounters>())
      .second;
}

void DaemonMetrics::AddFirstTokenDelay(Duration added) {
  const std::lock_guard lock(this->mutex);
  this->first_token_delay->Add(std::chrono::duration<double>(added).count());
}

std::string DaemonMetrics::Text() const {
  const std::lock_guard lock(this->mutex);
  const std::string prefix(kPrefix);
  std::ostringstream out;

  // Counters are ordered by name, so each type line comes once.
  std::string last;
  for (const auto& [key, count] : this->counters) {
    const std::string name = prefix + key.first;
    if (name != last) out << "# TYPE " << name << " counter\n";
    last = name;
    out << name << "{" << key.second << "} " << count << "\n";
  }

  const auto ring_lines = [&](const char* suffix, const char* type,
                              std::atomic<uint64_t> RingCounters::*member) {
    if (this->rings.empty()) return;
    out << "# TYPE " << prefix << suffix << " " << type << "\n";
    for (const auto& [name, ring] : this->rings) {
      out << prefix << suffix << "{ring=\"" << name << "\"} "
          << ((*ring).*member).load(std::memory_order_relaxed) << "\n";
    }
  };
  ring_lines("ring_items_total", "counter", &RingCounters::pushed);
  ring_lines("ring_full_total", "counter", &RingCounters::full);
  ring_lines("ring_depth", "gauge", &RingCounters::depth);

  out << "# TYPE " << prefix << "connections gauge\n"
      << prefix << "connections " << *this->connections << "\n";
  this->first_token_delay->Write(out, prefix + "first_token_added_seconds");
  return out.str();
}

}  // namespace fuchsiadrum::daemon
