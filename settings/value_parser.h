#pragma once

#include <google/protobuf/message.h>

#include <optional>
#include <string>

#include "schema/settings.pb.h"

namespace fuchsiadrum::settings {

/// Converts the text of one key to the type of its field.
class ValueParser {
 public:
  explicit ValueParser(const google::protobuf::FieldDescriptor& field);

  /// Stores the value in the section; otherwise says why it is not allowed.
  std::optional<std::string> Store(const std::string& text,
                                   google::protobuf::Message& section) const;
  /// The options of the field.
  const pb::Limits& Limits() const { return this->limits; }
  /// Name of the type for operators, for example "integer".
  std::string TypeName() const;
  /// "1..100", or empty if every value is allowed.
  std::string Range() const;

 private:
  std::optional<std::string> StoreInteger(
      const std::string& text, google::protobuf::Message& section) const;
  std::optional<std::string> StoreNumber(
      const std::string& text, google::protobuf::Message& section) const;
  std::optional<std::string> CheckRange(const std::string& text,
                                        double value) const;
  std::optional<std::string> StoreBool(
      const std::string& text, google::protobuf::Message& section) const;
  void StoreList(const std::string& text,
                 google::protobuf::Message& section) const;

  const google::protobuf::FieldDescriptor& field;
  pb::Limits limits;
};

}  // namespace fuchsiadrum::settings
