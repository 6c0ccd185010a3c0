#pragma once

#include <google/protobuf/message.h>

#include <boost/property_tree/ptree_fwd.hpp>
#include <string>

#include "settings/settings_fault.h"

namespace fuchsiadrum::settings {

/// Fills a settings message from an INI file. Each field of the message is a
/// section and each field of a section is a key; the options of
/// schema/settings.proto give default, unit and range.
class SettingsReader {
 public:
  /// Reads the file; false if there is any fault. `target` then holds the
  /// values without a fault.
  bool Read(const std::string& file, google::protobuf::Message& target);
  /// Faults of the last Read, in the order of the file; required keys that are
  /// missing come last.
  const SettingsFaults& Faults() const { return this->faults; }

  /// One line for each key of the message type: section, key, type, default,
  /// unit, range and help.
  static std::string Describe(const google::protobuf::Message& type);

 private:
  void CheckNames(const std::string& file,
                  const boost::property_tree::ptree& tree,
                  const google::protobuf::Descriptor& type);

  SettingsFaults faults;
};

}  // namespace fuchsiadrum::settings
