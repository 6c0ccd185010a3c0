#include "settings/settings_reader.h"

#include <boost/algorithm/string.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <vector>

#include "settings/value_parser.h"

namespace fuchsiadrum::settings {
namespace {

using boost::property_tree::ptree;
using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// Width of "section.key" in the output of Describe.
constexpr int kNameWidth = 32;

/// Fills one section from its keys.
class SectionFiller {
 public:
  SectionFiller(std::string path, std::string name, Message& filled,
                SettingsFaults& found)
      : file(std::move(path)),
        section(std::move(name)),
        target(filled),
        faults(found) {}

  /// Stores the defaults of the schema.
  void StoreDefaults() {
    const Descriptor* type = this->target.GetDescriptor();
    for (int i = 0; i < type->field_count(); ++i) {
      const ValueParser parser(*type->field(i));
      const std::string& text = parser.Limits().default_value();
      if (text.empty()) continue;
      if (const auto reason = parser.Store(text, this->target)) {
        this->Add(type->field(i)->name(), "bad default: " + *reason);
      }
    }
  }

  /// Stores the values of the file.
  void StoreKeys(const ptree& keys) {
    const Descriptor* type = this->target.GetDescriptor();
    for (const auto& [key, value] : keys) {
      const FieldDescriptor* field = type->FindFieldByName(key);
      if (field == nullptr) {
        this->Add(key, "unknown key");
        continue;
      }
      const auto reason = ValueParser(*field).Store(value.data(), this->target);
      if (reason) this->Add(key, *reason);
    }
  }

  /// Reports required keys that the file does not have.
  void CheckRequired(const ptree* keys) {
    const Descriptor* type = this->target.GetDescriptor();
    for (int i = 0; i < type->field_count(); ++i) {
      const FieldDescriptor* field = type->field(i);
      const bool missing =
          keys == nullptr || keys->find(field->name()) == keys->not_found();
      if (missing && ValueParser(*field).Limits().required()) {
        this->Add(field->name(), "missing, but required");
      }
    }
  }

 private:
  void Add(const std::string& key, const std::string& reason) {
    this->faults.push_back({this->file, this->section, key, reason});
  }

  std::string file;
  std::string section;
  Message& target;
  SettingsFaults& faults;
};

// The parser drops sections without keys, so their names are read here.
std::vector<std::string> EmptySections(const std::string& file,
                                       const ptree& tree) {
  std::vector<std::string> out;
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) {
    boost::trim(line);
    if (line.size() < 2 || line.front() != '[' || line.back() != ']') continue;
    const std::string name = boost::trim_copy(line.substr(1, line.size() - 2));
    if (tree.find(name) == tree.not_found()) out.push_back(name);
  }
  return out;
}

}  // namespace

bool SettingsReader::Read(const std::string& file, Message& target) {
  this->faults.clear();
  target.Clear();

  // Syntax errors and duplicate keys or sections are found by the parser.
  ptree tree;
  try {
    boost::property_tree::read_ini(file, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    const std::string line =
        error.line() > 0 ? "line " + std::to_string(error.line()) + ": " : "";
    this->faults.push_back({file, "", "", line + error.message()});
    return false;
  }

  this->CheckNames(file, tree, *target.GetDescriptor());

  // Known sections, in the order of the schema.
  const Descriptor* type = target.GetDescriptor();
  for (int i = 0; i < type->field_count(); ++i) {
    const FieldDescriptor* field = type->field(i);
    Message* section = target.GetReflection()->MutableMessage(&target, field);
    SectionFiller filler(file, field->name(), *section, this->faults);
    const auto found = tree.find(field->name());
    const ptree* keys = found == tree.not_found() ? nullptr : &found->second;
    filler.StoreDefaults();
    if (keys != nullptr) filler.StoreKeys(*keys);
    filler.CheckRequired(keys);
  }
  return this->faults.empty();
}

void SettingsReader::CheckNames(const std::string& file, const ptree& tree,
                                const Descriptor& type) {
  for (const auto& [name, keys] : tree) {
    if (keys.empty()) {
      this->faults.push_back({file, "", name, "key outside of a section"});
    } else if (type.FindFieldByName(name) == nullptr) {
      this->faults.push_back({file, name, "", "unknown section"});
    }
  }
  for (const std::string& name : EmptySections(file, tree)) {
    if (type.FindFieldByName(name) == nullptr) {
      this->faults.push_back({file, name, "", "unknown section"});
    }
  }
}

std::string SettingsReader::Describe(const Message& type) {
  std::ostringstream out;
  const Descriptor* sections = type.GetDescriptor();
  for (int i = 0; i < sections->field_count(); ++i) {
    const FieldDescriptor* section = sections->field(i);
    out << "[" << section->name() << "]\n";
    const Descriptor* keys = section->message_type();
    for (int j = 0; j < keys->field_count(); ++j) {
      const ValueParser parser(*keys->field(j));
      const pb::Limits& limits = parser.Limits();
      out << "  " << std::left << std::setw(kNameWidth)
          << keys->field(j)->name() << parser.TypeName();
      if (limits.required()) out << ", required";
      if (!limits.default_value().empty()) {
        out << ", default " << limits.default_value();
      }
      if (!limits.unit().empty()) out << ", " << limits.unit();
      if (!parser.Range().empty()) out << ", " << parser.Range();
      if (!limits.help().empty()) out << "; " << limits.help();
      out << "\n";
    }
  }
  return out.str();
}

}  // namespace fuchsiadrum::settings
