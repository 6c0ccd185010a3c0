#pragma once

#include <string>
#include <string_view>

#include "schema/report.pb.h"

namespace fuchsiadrum::report {

/// The burn report as one self-contained HTML page: no scripts, no external
/// files, plots in SVG, one column that fits a phone.
class BurnPage {
 public:
  /// `made_at` is shown as the time of the report; empty: not shown.
  explicit BurnPage(pb::BurnFigures figures, std::string made_at = "");

  /// The page, UTF-8.
  std::string Render() const;

 private:
  void AppendDaemons(std::string& out) const;
  void AppendSeries(const pb::BurnSeries& series, std::string& out) const;
  void AppendIndicator(const pb::BurnIndicator& indicator,
                       std::string& out) const;
  /// Bad ratio over time, scaled to its largest value; the dashed line is what
  /// the target allows.
  void AppendPlot(const pb::BurnIndicator& indicator, std::string& out) const;

  pb::BurnFigures figures;
  std::string made_at;
};

namespace detail {
/// Replaces the characters that have a meaning in HTML.
std::string EscapeHtml(std::string_view text);
}  // namespace detail

}  // namespace fuchsiadrum::report
