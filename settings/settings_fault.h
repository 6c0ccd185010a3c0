#pragma once

#include <string>
#include <vector>

namespace fuchsiadrum::settings {

/// One fault of a settings file.
struct SettingsFault {
  std::string file;
  /// Section and key concerned; empty: the fault concerns the whole file.
  std::string section;
  std::string key;
  std::string reason;

  /// "file: [section] key: reason", for one line of output.
  std::string ToString() const;
};

using SettingsFaults = std::vector<SettingsFault>;

}  // namespace fuchsiadrum::settings
