#include "fuchsiadrum/node/entry_json.h"

#include <google/protobuf/util/json_util.h>

#include "fuchsiadrum/core/base64.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::node {
namespace {

constexpr std::string_view kHexSuffix = "Hex";

void ReplaceHexFields(nlohmann::json& json) {
  if (!json.is_object()) return;
  nlohmann::json replaced = nlohmann::json::object();
  for (auto& [name, value] : json.items()) {
    if (name.ends_with(kHexSuffix) && value.is_string()) {
      replaced[name.substr(0, name.size() - kHexSuffix.size())] =
          ToBase64(FromHex(value.get<std::string>()));
    } else {
      ReplaceHexFields(value);
      replaced[name] = value;
    }
  }
  json = std::move(replaced);
}

template <typename T>
T Get(const nlohmann::json& json, const char* name, T fallback) {
  const auto found = json.find(name);
  if (found == json.end()) return fallback;
  try {
    return found->get<T>();
  } catch (const nlohmann::json::exception&) {
    return fallback;
  }
}

}  // namespace

std::optional<pb::CatalogueEntry> EntryJson::Parse(const nlohmann::json& json) {
  nlohmann::json plain = json;
  ReplaceHexFields(plain);
  pb::CatalogueEntry entry;
  const auto status =
      google::protobuf::util::JsonStringToMessage(plain.dump(), &entry);
  if (!status.ok()) {
    this->last_reason = {.step = "entry",
                         .text = std::string(status.message())};
    return std::nullopt;
  }
  return entry;
}

nlohmann::json EntryJson::Write(const pb::CatalogueEntry& entry) {
  std::string text;
  const auto status = google::protobuf::util::MessageToJsonString(entry, &text);
  if (!status.ok()) return nullptr;
  return nlohmann::json::parse(text, nullptr, false);
}

std::optional<pb::CatalogueEdit> EntryJson::ParseEdit(
    const nlohmann::json& json) {
  if (!json.is_object()) {
    this->last_reason = {.step = "edit", .text = "a JSON object is needed"};
    return std::nullopt;
  }
  pb::CatalogueEdit edit;
  edit.set_key(Get<std::string>(json, "key", ""));
  edit.set_base_revision(Get<uint64_t>(json, "base_revision", 0));
  edit.set_author(Get<std::string>(json, "author", ""));
  edit.set_shift(Get<std::string>(json, "shift", ""));
  edit.set_reason(Get<std::string>(json, "reason", ""));
  edit.set_unix_ms(Get<int64_t>(json, "unix_ms", 0));
  edit.set_edit_id(Get<std::string>(json, "edit_id", ""));
  edit.set_signature(FromHex(Get<std::string>(json, "signature", "")));
  const auto entry = json.find("entry");
  if (entry != json.end() && !entry->is_null()) {
    auto parsed = this->Parse(*entry);
    if (!parsed) return std::nullopt;
    *edit.mutable_entry() = std::move(*parsed);
  }
  return edit;
}

}  // namespace fuchsiadrum::node
