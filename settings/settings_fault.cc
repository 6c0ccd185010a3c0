#include "settings/settings_fault.h"

namespace fuchsiadrum::settings {

std::string SettingsFault::ToString() const {
  std::string out = this->file + ": ";
  if (!this->section.empty()) out += "[" + this->section + "] ";
  if (!this->key.empty()) out += this->key + ": ";
  return out + this->reason;
}

}  // namespace fuchsiadrum::settings
