#include "gateway/gateway_metrics.h"

#include <array>
#include <cstdio>

namespace fuchsiadrum::gateway {
namespace {

constexpr std::string_view kPrefix = "fuchsiadrum_gateway_";

/// Upstreams and faults by which malformed answers are counted apart: ids of
/// upstreams are new at each start.
constexpr size_t kMaxMalformedAnswers = 256;

std::string Number(double value) {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%.10g", value);
  return text.data();
}

}  // namespace

void GatewayMetrics::CountRequest(const std::string& route,
                                  std::string_view outcome, int status) {
  ++this->requests[{route, std::string(outcome), status}];
}

void GatewayMetrics::AddFirstByte(const std::string& route, Duration time) {
  this->first_bytes[route].Add(time);
}

void GatewayMetrics::CountAttempt(const std::string& service,
                                  std::string_view outcome) {
  ++this->attempts[{service, std::string(outcome)}];
}

void GatewayMetrics::CountRefusal(std::string_view names) {
  ++this->refusals[std::string(names)];
}

void GatewayMetrics::CountLimitedSend(const std::string& service) {
  ++this->limited_sends[service];
}

void GatewayMetrics::CountHeldBack(const std::string& route) {
  ++this->held_back[route];
}

void GatewayMetrics::CountWithheld(std::string_view cause) {
  ++this->withheld[std::string(cause)];
}

void GatewayMetrics::CountTakeUpRefused(std::string_view reason) {
  ++this->take_ups_refused[std::string(reason)];
}

void GatewayMetrics::CountOversizedAnswer(std::string_view limit) {
  ++this->oversized_answers[std::string(limit)];
}

void GatewayMetrics::CountMalformedAnswer(const std::string& upstream,
                                          std::string_view fault) {
  const std::pair key(upstream, std::string(fault));
  const bool has_room = this->malformed_answers.size() < kMaxMalformedAnswers ||
                        this->malformed_answers.contains(key);
  ++this->malformed_answers[has_room ? key : std::pair("other", key.second)];
}

void GatewayMetrics::CountUnusableLoad(const std::string& service) {
  ++this->unusable_loads[service];
}

std::string GatewayMetrics::Line(std::string_view name, double value) {
  return std::string(kPrefix) + std::string(name) + " " + Number(value) + "\n";
}

std::string GatewayMetrics::Text() const {
  std::string text;
  for (const auto& [key, count] : this->requests) {
    const auto& [route, outcome, status] = key;
    std::string name = "requests_total{route=\"";
    name.append(route).append("\",outcome=\"").append(outcome);
    name.append("\",status=\"").append(std::to_string(status)).append("\"}");
    text += Line(name, static_cast<double>(count));
  }
  for (const auto& [key, count] : this->attempts) {
    text += Line("attempts_total{service=\"" + key.first + "\",outcome=\"" +
                     key.second + "\"}",
                 static_cast<double>(count));
  }
  for (const auto& [names, count] : this->refusals) {
    text += Line("upstream_refusals_total{names=\"" + names + "\"}",
                 static_cast<double>(count));
  }
  for (const auto& [service, count] : this->limited_sends) {
    text += Line("limited_sends_total{service=\"" + service + "\"}",
                 static_cast<double>(count));
  }
  for (const auto& [route, count] : this->held_back) {
    text += Line("held_back_total{route=\"" + route + "\"}",
                 static_cast<double>(count));
  }
  for (const auto& [reason, count] : this->take_ups_refused) {
    text += Line("take_ups_refused_total{reason=\"" + reason + "\"}",
                 static_cast<double>(count));
  }
  for (const auto& [cause, count] : this->withheld) {
    text += Line("withheld_total{cause=\"" + cause + "\"}",
                 static_cast<double>(count));
  }
  for (const auto& [limit, count] : this->oversized_answers) {
    text += Line("oversized_answers_total{limit=\"" + limit + "\"}",
                 static_cast<double>(count));
  }
  for (const auto& [key, count] : this->malformed_answers) {
    text += Line("malformed_answers_total{upstream=\"" + key.first +
                     "\",fault=\"" + key.second + "\"}",
                 static_cast<double>(count));
  }
  for (const auto& [service, count] : this->unusable_loads) {
    text += Line("unusable_load_reports_total{service=\"" + service + "\"}",
                 static_cast<double>(count));
  }
  constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};
  for (const auto& [route, histogram] : this->first_bytes) {
    for (const double quantile : kQuantiles) {
      text += Line("first_byte_ms{route=\"" + route + "\",quantile=\"" +
                       Number(quantile) + "\"}",
                   histogram.QuantileMs(quantile));
    }
    text += Line("first_byte_ms_count{route=\"" + route + "\"}",
                 static_cast<double>(histogram.Count()));
  }
  return text;
}

}  // namespace fuchsiadrum::gateway
