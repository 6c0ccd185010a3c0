#include "fuchsiadrum/report/burn_page.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::report {
namespace {

class BurnPageTest : public ::testing::Test {
 protected:
  BurnPageTest() {
    this->figures.add_daemons("d1");
    this->figures.set_history_part_s(600);
    pb::BurnSeries& series = *this->figures.add_series();
    series.set_organisation("a<script>&\"");
    pb::BurnIndicator& indicator = *series.add_indicators();
    indicator.set_name("first token");
    indicator.set_target_ratio(0.95);
    indicator.set_good(9);
    indicator.set_bad(1);
    for (const double value : {0.1, 0.2, -1.0, 0.3}) {
      indicator.add_history(value);
    }
  }

  bool Contains(const std::string& text) const {
    return BurnPage(this->figures).Render().find(text) != std::string::npos;
  }

  pb::BurnFigures figures;
};

// Guards against an organisation's name that is run as a script.
TEST_F(BurnPageTest, Render_MarkupInName_IsEscaped) {
  EXPECT_FALSE(this->Contains("<script"));
  EXPECT_TRUE(this->Contains("a&lt;script&gt;&amp;&quot;"));
}

// Guards against a page that looks whole while figures are missing.
TEST_F(BurnPageTest, Render_DaemonsMissing_AreNamed) {
  EXPECT_FALSE(this->Contains("missing of"));
  this->figures.add_missing("d7");
  EXPECT_TRUE(this->Contains("Figures are missing of: d7"));
}

// Guards against a curve through times without requests.
TEST_F(BurnPageTest, Render_GapInHistory_BreaksCurve) {
  EXPECT_TRUE(this->Contains("<polyline"));
  EXPECT_TRUE(this->Contains("<circle"));
}

// Guards against files that a phone without a network cannot load.
TEST_F(BurnPageTest, Render_Page_IsSelfContained) {
  EXPECT_FALSE(this->Contains("src="));
  EXPECT_FALSE(this->Contains("href="));
  EXPECT_FALSE(this->Contains("@import"));
}

}  // namespace
}  // namespace fuchsiadrum::report
