#include "ctl/output.h"

#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <iostream>

namespace fuchsiadrum::ctl {

void Output::Json(const nlohmann::json& value) const {
  if (this->json) std::cout << value.dump() << "\n";
}

void Output::Table(const std::vector<std::vector<std::string>>& rows) const {
  if (this->json) return;
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }

  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      std::cout << row[i]
                << std::string(last ? 0 : widths[i] - row[i].size() + 2, ' ');
    }
    std::cout << "\n";
  }
}

void Output::Line(const std::string& text) const {
  if (!this->json) std::cout << text << "\n";
}

void Output::Error(const std::string& text) {
  const bool colour = isatty(STDERR_FILENO) == 1;
  std::cerr << (colour ? "\033[31m" : "") << "error: " << text
            << (colour ? "\033[0m" : "") << "\n";
}

std::string FormatTime(int64_t unix_ms) {
  const auto seconds = static_cast<std::time_t>(unix_ms / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream out;
  out << std::put_time(&parts, "%Y-%m-%d %H:%M:%SZ");
  return out.str();
}

std::string Plain(const nlohmann::json& value) {
  if (value.is_null()) return {};
  return value.is_string() ? value.get<std::string>() : value.dump();
}

}  // namespace fuchsiadrum::ctl
