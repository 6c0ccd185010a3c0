#include "fuchsiadrum/node/node_metrics.h"

#include <sstream>

namespace fuchsiadrum::node {

void NodeMetrics::Count(const RequestEnd& end) {
  ++this->requests[{pb::WorkClass_Name(end.work_class),
                    std::string(OutcomeName(end.outcome)), end.step}];
}

std::string NodeMetrics::Text() const {
  std::ostringstream out;
  out << "# TYPE fuchsiadrum_requests_total counter\n";
  for (const auto& [key, count] : this->requests) {
    const auto& [work_class, outcome, step] = key;
    out << "fuchsiadrum_requests_total{class=\"" << work_class
        << "\",outcome=\"" << outcome << "\",step=\"" << step << "\"} " << count
        << "\n";
  }
  return out.str();
}

std::string NodeMetrics::Line(const std::string& name, double value) {
  std::ostringstream out;
  out.precision(15);
  out << "fuchsiadrum_" << name << " " << value << "\n";
  return out.str();
}

}  // namespace fuchsiadrum::node
