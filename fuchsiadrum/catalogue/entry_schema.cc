#include "fuchsiadrum/catalogue/entry_schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace fuchsiadrum::catalogue {
namespace {

constexpr size_t kMaxName = 128;
constexpr size_t kMaxText = 1024;
constexpr size_t kMaxSetting = 4096;
constexpr int kMaxList = 256;
constexpr size_t kMinSalt = 8;
constexpr size_t kMaxSalt = 64;
constexpr size_t kDigestBytes = 32;
constexpr size_t kPublicKeyBytes = 32;

// Names end up in keys, URLs, metrics and log lines.
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/@+";

constexpr std::array<std::string_view, 7> kMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

using Fault = std::optional<Reason>;

Fault Invalid(std::string_view field, std::string_view text) {
  std::string sentence(field);
  sentence += ' ';
  sentence += text;
  return Reason{.step = "schema", .peer = {}, .text = std::move(sentence)};
}

bool IsName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxName &&
         name.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

/// Free text: UTF-8, since readers of the log refuse anything else, without
/// control characters, since it is shown on terminals.
bool IsText(std::string_view text, size_t max_bytes) {
  if (text.size() > max_bytes) return false;
  size_t i = 0;
  while (i < text.size()) {
    const auto lead = static_cast<unsigned char>(text[i]);
    if (lead < 0x20 || lead == 0x7F) return false;
    const size_t more = lead < 0x80 ? 0 : lead < 0xE0 ? 1 : lead < 0xF0 ? 2 : 3;
    const bool is_lead = lead < 0x80 || (lead >= 0xC2 && lead <= 0xF4);
    if (!is_lead || i + more >= text.size()) return false;

    for (size_t k = 1; k <= more; ++k) {
      if ((static_cast<unsigned char>(text[i + k]) & 0xC0U) != 0x80) {
        return false;
      }
    }
    // Overlong forms, surrogates and values above U+10FFFF.
    const auto second =
        more > 0 ? static_cast<unsigned char>(text[i + 1]) : 0x80U;
    if ((lead == 0xE0 && second < 0xA0) || (lead == 0xED && second >= 0xA0) ||
        (lead == 0xF0 && second < 0x90) || (lead == 0xF4 && second >= 0x90)) {
      return false;
    }
    i += more + 1;
  }
  return true;
}

bool IsClass(int value) { return pb::WorkClass_IsValid(value); }

bool IsNamedClass(int value) {
  return IsClass(value) && value != pb::WORK_CLASS_UNSPECIFIED;
}

bool IsPort(std::string_view text) {
  int port = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), port);
  return error == std::errc() && end == text.data() + text.size() && port > 0 &&
         port <= 65535;
}

bool IsIpV4(std::string_view text) {
  int parts = 0;
  while (true) {
    const size_t dot = text.find('.');
    const std::string_view part = text.substr(0, dot);
    int value = -1;
    const auto [end, error] =
        std::from_chars(part.data(), part.data() + part.size(), value);
    if (error != std::errc() || end != part.data() + part.size() || value < 0 ||
        value > 255 || part.size() > 3) {
      return false;
    }
    ++parts;
    if (dot == std::string_view::npos) return parts == 4;
    text.remove_prefix(dot + 1);
  }
}

/// IPv4:port or [IPv6]:port; names are refused because a lookup could block.
bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }

  const std::string_view host = text.substr(0, colon);
  if (host.size() > 4 && host.front() == '[' && host.back() == ']') {
    return host.find_first_not_of("0123456789abcdefABCDEF:.", 1) ==
           host.size() - 1;
  }
  return IsIpV4(host);
}

template <typename List>
Fault CheckNames(const List& names, const std::string& field) {
  if (names.size() > kMaxList) return Invalid(field, "has too many items");
  for (const std::string& name : names) {
    if (!IsName(name)) return Invalid(field, "has a malformed name");
  }
  return std::nullopt;
}

Fault Check(const pb::Organisation& body) {
  if (!IsText(body.display_name(), kMaxText)) {
    return Invalid("organisation.display_name", "is not short plain text");
  }
  for (const int work_class : body.allowed_classes()) {
    if (!IsNamedClass(work_class)) {
      return Invalid("organisation.allowed_classes", "has an unknown class");
    }
  }
  return std::nullopt;
}

Fault Check(const pb::CallerKey& body) {
  if (!IsName(body.organisation())) {
    return Invalid("caller_key.organisation", "is malformed");
  }
  if (body.salt().size() < kMinSalt || body.salt().size() > kMaxSalt) {
    return Invalid("caller_key.salt", "must have 8 to 64 bytes");
  }
  if (body.digest().size() != kDigestBytes) {
    return Invalid("caller_key.digest", "must have 32 bytes");
  }
  return std::nullopt;
}

Fault Check(const pb::Model& body) {
  if (body.max_output_tokens() == 0) {
    return Invalid("model.max_output_tokens", "must be positive");
  }
  if (body.max_prompt_tokens() == 0) {
    return Invalid("model.max_prompt_tokens", "must be positive");
  }
  if (!IsClass(body.default_class())) {
    return Invalid("model.default_class", "is unknown");
  }
  return std::nullopt;
}

Fault Check(const pb::Upstream& body) {
  if (!IsAddress(body.address())) {
    return Invalid("upstream.address", "must be IP:port");
  }
  if (!IsName(body.availability_zone())) {
    return Invalid("upstream.availability_zone", "is malformed");
  }
  if (body.service().empty() == body.models().empty()) {
    return Invalid("upstream", "needs either models or a service");
  }
  if (!body.service().empty() && !IsName(body.service())) {
    return Invalid("upstream.service", "is malformed");
  }
  return CheckNames(body.models(), "upstream.models");
}

Fault Check(const pb::Service& body) {
  if (body.calls().empty() || body.calls_size() > kMaxList) {
    return Invalid("service.calls", "needs 1 to 256 calls");
  }

  std::set<std::pair<std::string, std::string>> seen;
  for (const pb::ServiceCall& call : body.calls()) {
    if (std::find(kMethods.begin(), kMethods.end(), call.method()) ==
        kMethods.end()) {
      return Invalid("service.calls.method", "is unknown");
    }
    if (!call.path_prefix().empty() &&
        (call.path_prefix().front() != '/' || !IsName(call.path_prefix()))) {
      return Invalid("service.calls.path_prefix", "must begin with /");
    }
    if (!IsNamedClass(call.work_class())) {
      return Invalid("service.calls.work_class", "is unknown");
    }
    if (!seen.emplace(call.method(), call.path_prefix()).second) {
      return Invalid("service.calls", "has a call twice");
    }
  }
  return std::nullopt;
}

Fault Check(const pb::Placement& body) {
  if (!IsName(body.upstream())) {
    return Invalid("placement.upstream", "is malformed");
  }
  if (!body.version().empty() && !IsName(body.version())) {
    return Invalid("placement.version", "is malformed");
  }
  if (!body.role().empty() && !IsName(body.role())) {
    return Invalid("placement.role", "is malformed");
  }
  if (auto fault = CheckNames(body.adapters(), "placement.adapters")) {
    return fault;
  }
  return CheckNames(body.models(), "placement.models");
}

Fault Check(const pb::Operator& body) {
  if (!body.public_key().empty() &&
      body.public_key().size() != kPublicKeyBytes) {
    return Invalid("operator.public_key", "must have 32 bytes");
  }
  if (body.owners().empty()) {
    return Invalid("operator.owners", "must not be empty");
  }
  if (body.owners_size() == 1 && body.owners(0) == "*") return std::nullopt;
  return CheckNames(body.owners(), "operator.owners");
}

Fault Check(const pb::Objective& body) {
  if (!body.organisation().empty() && !IsName(body.organisation())) {
    return Invalid("objective.organisation", "is malformed");
  }
  if (!IsNamedClass(body.work_class())) {
    return Invalid("objective.work_class", "is unknown");
  }
  if (body.first_token_ms() == 0 && body.between_tokens_ms() == 0) {
    return Invalid("objective", "needs a bound");
  }
  // Written so that NaN fails.
  if (!(body.target_ratio() > 0.0 && body.target_ratio() < 1.0)) {
    return Invalid("objective.target_ratio", "must lie between 0 and 1");
  }
  return std::nullopt;
}

Fault Check(const pb::FleetSetting& body) {
  if (!IsText(body.value(), kMaxSetting)) {
    return Invalid("setting.value", "is not short plain text");
  }
  return std::nullopt;
}

Fault CheckBody(const pb::CatalogueEntry& entry) {
  switch (entry.body_case()) {
    case pb::CatalogueEntry::kOrganisation:
      return Check(entry.organisation());
    case pb::CatalogueEntry::kCallerKey:
      return Check(entry.caller_key());
    case pb::CatalogueEntry::kModel:
      return Check(entry.model());
    case pb::CatalogueEntry::kUpstream:
      return Check(entry.upstream());
    case pb::CatalogueEntry::kService:
      return Check(entry.service());
    case pb::CatalogueEntry::kPlacement:
      return Check(entry.placement());
    case pb::CatalogueEntry::kOperator:
      return Check(entry.operator_());
    case pb::CatalogueEntry::kObjective:
      return Check(entry.objective());
    case pb::CatalogueEntry::kSetting:
      return Check(entry.setting());
    case pb::CatalogueEntry::BODY_NOT_SET:
      break;
  }
  return Invalid("entry", "has no body of a known kind");
}

struct KindName {
  pb::CatalogueEntry::BodyCase body;
  std::string_view name;
};

constexpr std::array<KindName, 9> kKinds = {{
    {pb::CatalogueEntry::kOrganisation, "organisation"},
    {pb::CatalogueEntry::kCallerKey, "caller-key"},
    {pb::CatalogueEntry::kModel, "model"},
    {pb::CatalogueEntry::kUpstream, "upstream"},
    {pb::CatalogueEntry::kService, "service"},
    {pb::CatalogueEntry::kPlacement, "placement"},
    {pb::CatalogueEntry::kOperator, "operator"},
    {pb::CatalogueEntry::kObjective, "objective"},
    {pb::CatalogueEntry::kSetting, "setting"},
}};

bool IsKey(std::string_view key) {
  const size_t slash = key.find('/');
  if (slash == std::string_view::npos || !IsName(key.substr(slash + 1))) {
    return false;
  }
  return std::any_of(kKinds.begin(), kKinds.end(), [&](const KindName& kind) {
    return kind.name == key.substr(0, slash);
  });
}

}  // namespace

std::string_view KindOf(const pb::CatalogueEntry& entry) {
  for (const KindName& kind : kKinds) {
    if (kind.body == entry.body_case()) return kind.name;
  }
  return {};
}

std::string KeyOf(const pb::CatalogueEntry& entry) {
  return MakeKey(KindOf(entry), entry.name());
}

std::string MakeKey(std::string_view kind, std::string_view name) {
  std::string key(kind);
  key += '/';
  key += name;
  return key;
}

std::optional<Reason> CheckEntry(const pb::CatalogueEntry& entry) {
  if (!IsName(entry.name())) return Invalid("name", "is malformed");
  if (!IsName(entry.owner())) return Invalid("owner", "is malformed");
  if (!IsClass(entry.work_class())) return Invalid("work_class", "is unknown");
  return CheckBody(entry);
}

std::optional<Reason> CheckEdit(const pb::CatalogueEdit& edit) {
  if (!IsKey(edit.key())) return Invalid("key", "must be kind/name");
  if (!IsName(edit.author())) return Invalid("author", "is malformed");
  if (!IsName(edit.edit_id())) return Invalid("edit_id", "is malformed");
  if (!edit.shift().empty() && !IsName(edit.shift())) {
    return Invalid("shift", "is malformed");
  }
  if (!IsText(edit.reason(), kMaxText)) {
    return Invalid("reason", "is not short plain text");
  }

  if (!edit.has_entry()) return std::nullopt;
  if (auto fault = CheckEntry(edit.entry())) return fault;
  if (KeyOf(edit.entry()) != edit.key()) {
    return Invalid("key", "does not match the entry");
  }
  return std::nullopt;
}

}  // namespace fuchsiadrum::catalogue
