#include "settings/value_parser.h"

#include <boost/algorithm/string.hpp>
#include <charconv>
#include <cstdint>
#include <limits>
#include <vector>

namespace fuchsiadrum::settings {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// Limits are doubles; whole numbers up to 1e15 are exact in them.
std::string LimitText(double value) {
  return std::to_string(static_cast<int64_t>(value));
}

}  // namespace

ValueParser::ValueParser(const FieldDescriptor& described)
    : field(described), limits(described.options().GetExtension(pb::setting)) {}

std::string ValueParser::TypeName() const {
  if (this->field.is_repeated()) return "list";
  switch (this->field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
      return "bool";
    case FieldDescriptor::CPPTYPE_STRING:
      return "text";
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return "number";
    default:
      return "integer";
  }
}

std::string ValueParser::Range() const {
  if (this->limits.max() <= 0) return "";
  return LimitText(this->limits.min()) + ".." + LimitText(this->limits.max());
}

std::optional<std::string> ValueParser::Store(const std::string& text,
                                              Message& section) const {
  if (this->field.is_repeated()) {
    this->StoreList(text, section);
    return std::nullopt;
  }
  switch (this->field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      if (this->limits.required() && text.empty()) return "must not be empty";
      section.GetReflection()->SetString(&section, &this->field, text);
      return std::nullopt;
    case FieldDescriptor::CPPTYPE_BOOL:
      return this->StoreBool(text, section);
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return this->StoreNumber(text, section);
    default:
      return this->StoreInteger(text, section);
  }
}

std::optional<std::string> ValueParser::StoreInteger(const std::string& text,
                                                     Message& section) const {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || at != end) {
    return "\"" + text + "\" is not a whole number";
  }

  auto fault = this->CheckRange(text, static_cast<double>(value));
  if (fault) return fault;

  const auto* reflection = section.GetReflection();
  switch (this->field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      if (value < 0 || value > std::numeric_limits<uint32_t>::max()) {
        return text + " does not fit";
      }
      reflection->SetUInt32(&section, &this->field,
                            static_cast<uint32_t>(value));
      return std::nullopt;
    case FieldDescriptor::CPPTYPE_UINT64:
      if (value < 0) return text + " is negative";
      reflection->SetUInt64(&section, &this->field,
                            static_cast<uint64_t>(value));
      return std::nullopt;
    case FieldDescriptor::CPPTYPE_INT64:
      reflection->SetInt64(&section, &this->field, value);
      return std::nullopt;
    default:
      return "has a type that the reader does not know";
  }
}

std::optional<std::string> ValueParser::StoreNumber(const std::string& text,
                                                    Message& section) const {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || at != end) {
    return "\"" + text + "\" is not a number";
  }
  auto fault = this->CheckRange(text, value);
  if (fault) return fault;
  section.GetReflection()->SetDouble(&section, &this->field, value);
  return std::nullopt;
}

std::optional<std::string> ValueParser::CheckRange(const std::string& text,
                                                   double value) const {
  if (this->limits.max() <= 0) return std::nullopt;
  if (value >= this->limits.min() && value <= this->limits.max()) {
    return std::nullopt;
  }
  return text + " is outside " + this->Range() +
         (this->limits.unit().empty() ? "" : " " + this->limits.unit());
}

std::optional<std::string> ValueParser::StoreBool(const std::string& text,
                                                  Message& section) const {
  if (text != "true" && text != "false") {
    return "\"" + text + "\" is neither true nor false";
  }
  section.GetReflection()->SetBool(&section, &this->field, text == "true");
  return std::nullopt;
}

void ValueParser::StoreList(const std::string& text, Message& section) const {
  std::vector<std::string> parts;
  boost::split(parts, text, boost::is_any_of(","));

  const auto* reflection = section.GetReflection();
  reflection->ClearField(&section, &this->field);
  for (std::string& part : parts) {
    boost::trim(part);
    if (part.empty()) continue;
    reflection->AddString(&section, &this->field, part);
  }
}

}  // namespace fuchsiadrum::settings
