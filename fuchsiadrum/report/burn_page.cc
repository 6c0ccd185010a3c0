#include "fuchsiadrum/report/burn_page.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>
#include <vector>

namespace fuchsiadrum::report {
namespace {

constexpr std::string_view kHead = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8"/>
<meta name="viewport" content="width=device-width, initial-scale=1"/>
<title>Burn report</title>
<style>
:root { --bg: #fff; --fg: #1b1b1f; --soft: #5c5c66; --line: #d9d9e0;
  --ok: #1d7a46; --bad: #b3261e; --plot: #3157b7; }
@media (prefers-color-scheme: dark) { :root { --bg: #16161a; --fg: #ececf1;
  --soft: #a5a5b2; --line: #3a3a44; --ok: #6fd19b; --bad: #ff8a80;
  --plot: #9db4ff; } }
body { margin: 0 auto; padding: 1rem; max-width: 46rem; background: var(--bg);
  color: var(--fg); font: 1rem/1.45 system-ui, sans-serif; }
h1 { font-size: 1.35rem; margin: 0 0 .5rem; }
h2 { font-size: 1.1rem; margin: 0 0 .25rem; overflow-wrap: anywhere; }
h3 { font-size: 1rem; margin: .9rem 0 .2rem; }
p { margin: .2rem 0; }
section { border-top: 1px solid var(--line); padding: .9rem 0; }
.soft { color: var(--soft); }
.ok { color: var(--ok); }
.bad { color: var(--bad); font-weight: 600; }
.missing { border: 2px solid var(--bad); border-radius: .4rem;
  padding: .5rem .7rem; overflow-wrap: anywhere; }
svg { width: 100%; height: auto; display: block; }
svg text { font: 11px system-ui, sans-serif; fill: var(--soft); }
.frame { stroke: var(--line); fill: none; }
.curve { stroke: var(--plot); stroke-width: 2; fill: none; }
.point { fill: var(--plot); }
.limit { stroke: var(--bad); stroke-dasharray: 4 3; }
</style>
</head>
<body>
)";

/// Drawing area of a plot in SVG units.
constexpr double kWidth = 340;
constexpr double kHeight = 72;
constexpr double kLeft = 4;
constexpr double kTop = 14;

template <typename... Args>
std::string Format(const char* format, Args... args) {
  std::array<char, 384> buffer{};
  std::snprintf(buffer.data(), buffer.size(), format, args...);
  return buffer.data();
}

std::string Join(const google::protobuf::RepeatedPtrField<std::string>& names) {
  std::string out;
  for (const std::string& name : names) {
    out += (out.empty() ? "" : ", ") + detail::EscapeHtml(name);
  }
  return out;
}

std::string ClassName(pb::WorkClass work_class) {
  std::string name = pb::WorkClass_Name(work_class);
  std::transform(name.begin(), name.end(), name.begin(), [](char c) {
    if (c == '_') return '-';
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return name;
}

bool IsFiring(const pb::BurnIndicator& indicator) {
  return std::any_of(
      indicator.windows().begin(), indicator.windows().end(),
      [](const pb::BurnWindow& window) { return window.firing(); });
}

/// A curve breaks where there were no requests; a lone value is a point.
std::string Curve(const pb::BurnIndicator& indicator, double top) {
  std::string out;
  const int count = indicator.history_size();
  const auto x = [count](int i) {
    return kLeft + kWidth * (i + 0.5) / std::max(1, count);
  };
  const auto y = [top](double value) {
    return kTop + kHeight * (1.0 - value / top);
  };

  for (int i = 0; i < count;) {
    int end = i;
    std::string points;
    for (; end < count && indicator.history(end) >= 0; ++end) {
      points += Format("%.1f,%.1f ", x(end), y(indicator.history(end)));
    }
    if (end - i == 1) {
      out += Format(R"(<circle class="point" cx="%.1f" cy="%.1f" r="2.5"/>)",
                    x(i), y(indicator.history(i)));
    } else if (end > i) {
      out += R"(<polyline class="curve" points=")" + points + "\"/>";
    }
    i = end + 1;
  }
  return out;
}

}  // namespace

namespace detail {

std::string EscapeHtml(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        // Control characters are not allowed in HTML.
        out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
  }
  return out;
}

}  // namespace detail

BurnPage::BurnPage(pb::BurnFigures figures, std::string made_at)
    : figures(std::move(figures)), made_at(std::move(made_at)) {}

std::string BurnPage::Render() const {
  std::string out(kHead);
  out += "<h1>Burn report</h1>\n";
  if (!this->made_at.empty()) {
    out += "<p class=\"soft\">" + detail::EscapeHtml(this->made_at) + "</p>\n";
  }
  out += this->figures.firing() == 0
             ? std::string("<p class=\"ok\">No burn rate fires.</p>\n")
             : Format("<p class=\"bad\">%u burn rates fire.</p>\n",
                      this->figures.firing());
  this->AppendDaemons(out);

  // What fires comes first: a phone shows little at once.
  std::vector<const pb::BurnSeries*> ordered;
  for (const pb::BurnSeries& series : this->figures.series()) {
    ordered.push_back(&series);
  }
  const auto fires = [](const pb::BurnSeries* series) {
    return std::any_of(series->indicators().begin(), series->indicators().end(),
                       IsFiring);
  };
  std::stable_partition(ordered.begin(), ordered.end(), fires);
  for (const pb::BurnSeries* series : ordered) {
    this->AppendSeries(*series, out);
  }
  if (ordered.empty()) out += "<p>No requests were recorded.</p>\n";
  out += "</body>\n</html>\n";
  return out;
}

void BurnPage::AppendDaemons(std::string& out) const {
  if (this->figures.missing_size() + this->figures.refused_size() > 0) {
    out += "<div class=\"missing\">";
    if (this->figures.missing_size() > 0) {
      out += "<p class=\"bad\">Figures are missing of: " +
             Join(this->figures.missing()) + "</p>";
    }
    if (this->figures.refused_size() > 0) {
      out += "<p class=\"bad\">Figures with another layout, not counted, of: " +
             Join(this->figures.refused()) + "</p>";
    }
    out += "</div>\n";
  }
  out += "<p class=\"soft\">Figures of: " +
         (this->figures.daemons_size() > 0 ? Join(this->figures.daemons())
                                           : std::string("no daemon")) +
         "</p>\n";
}

void BurnPage::AppendSeries(const pb::BurnSeries& series,
                            std::string& out) const {
  out += "<section>\n<h2>" + detail::EscapeHtml(series.organisation()) + " · " +
         ClassName(series.work_class()) + "</h2>\n";
  out += Format(
      "<p>First token: p50 %.0f ms, p95 %.0f ms, p99 %.0f ms. Between tokens: "
      "p95 %.1f ms.</p>\n",
      series.first_token_p50_ms(), series.first_token_p95_ms(),
      series.first_token_p99_ms(), series.between_tokens_p95_ms());
  if (series.first_token_ms() > 0 || series.between_tokens_ms() > 0) {
    out += Format(
        "<p class=\"soft\">Objective: first token %u ms, between tokens %u "
        "ms.</p>\n",
        series.first_token_ms(), series.between_tokens_ms());
  }
  for (const pb::BurnIndicator& indicator : series.indicators()) {
    if (indicator.good() + indicator.bad() > 0) {
      this->AppendIndicator(indicator, out);
    }
  }
  out += "</section>\n";
}

void BurnPage::AppendIndicator(const pb::BurnIndicator& indicator,
                               std::string& out) const {
  const double all = static_cast<double>(indicator.good() + indicator.bad());
  out += "<h3>" + detail::EscapeHtml(indicator.name()) + "</h3>\n";
  out += Format("<p>%.3f%% good, target %.2f%%</p>\n",
                100 * static_cast<double>(indicator.good()) / all,
                100 * indicator.target_ratio());
  for (const pb::BurnWindow& window : indicator.windows()) {
    out += Format(
        "<p class=\"%s\">Burn rate %.2f in %u min, %.2f in %.0f h (limit "
        "%.1f)%s</p>\n",
        window.firing() ? "bad" : "soft", window.short_burn(),
        window.short_s() / 60, window.long_burn(), window.long_s() / 3600.0,
        window.threshold(), window.firing() ? ": fires" : "");
  }
  this->AppendPlot(indicator, out);
}

void BurnPage::AppendPlot(const pb::BurnIndicator& indicator,
                          std::string& out) const {
  const double allowed = 1.0 - indicator.target_ratio();
  double top = std::max(allowed * 2, 1e-4);
  for (const double value : indicator.history()) top = std::max(top, value);
  const double limit = kTop + kHeight * (1.0 - allowed / top);
  const double hours =
      indicator.history_size() * this->figures.history_part_s() / 3600.0;

  out += Format(R"(<svg viewBox="0 0 %.0f %.0f" role="img" aria-label=")",
                kWidth + 2 * kLeft, kHeight + kTop + 16);
  out += "Share of bad requests over time: " +
         detail::EscapeHtml(indicator.name()) + "\">";
  out += Format(
      R"(<rect class="frame" x="%.0f" y="%.0f" width="%.0f" height="%.0f"/>)",
      kLeft, kTop, kWidth, kHeight);
  out +=
      Format(R"(<line class="limit" x1="%.0f" x2="%.0f" y1="%.1f" y2="%.1f"/>)",
             kLeft, kLeft + kWidth, limit, limit);
  out += Curve(indicator, top);
  out += Format(R"(<text x="%.0f" y="10">%.2f%% bad</text>)", kLeft, 100 * top);
  out += Format(R"(<text x="%.0f" y="%.0f">%.0f h ago</text>)", kLeft,
                kTop + kHeight + 13, hours);
  out += Format(R"(<text x="%.0f" y="%.0f" text-anchor="end">now</text></svg>)",
                kLeft + kWidth, kTop + kHeight + 13);
  out += "\n";
}

}  // namespace fuchsiadrum::report
