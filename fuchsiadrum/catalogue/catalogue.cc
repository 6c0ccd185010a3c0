#include "fuchsiadrum/catalogue/catalogue.h"

#include <algorithm>
#include <utility>

#include "fuchsiadrum/catalogue/edit_signature.h"
#include "fuchsiadrum/catalogue/entry_schema.h"
#include "fuchsiadrum/catalogue/merge.h"
#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::catalogue {
namespace {

constexpr std::string_view kOperatorKind = "operator";
constexpr std::string_view kAccepted = "accepted";

Reason Refusal(std::string step, std::string peer, std::string text) {
  return {.step = std::move(step),
          .peer = std::move(peer),
          .text = std::move(text)};
}

bool MayEdit(const pb::Operator& rights, std::string_view owner) {
  return std::any_of(
      rights.owners().begin(), rights.owners().end(),
      [&](const std::string& o) { return o == "*" || o == owner; });
}

}  // namespace

Catalogue::Catalogue(CatalogueOptions options)
    : options(std::move(options)), history(this->options.max_history) {}

Verdict Catalogue::Apply(LogPosition at, const VmRef& /*writer*/,
                         const pb::Record& record) {
  if (!record.has_catalogue_edit()) return Verdict::kNotMine;
  return this->Fold(at, record.catalogue_edit());
}

Verdict Catalogue::Fold(LogPosition at, const pb::CatalogueEdit& edit) {
  // An author who lost the answer sends the same edit again. Another edit with
  // a used id is not recorded: the id belongs to the first one.
  if (const auto* earlier = this->history.Find(edit.edit_id())) {
    const bool same = CanonicalEdit(earlier->edit()) == CanonicalEdit(edit);
    return same ? Verdict::kDuplicate : Verdict::kRejected;
  }

  const std::optional<Reason> fault = this->Check(edit);
  pb::CatalogueChange change;
  *change.mutable_edit() = edit;
  *change.mutable_at() = at.ToProto();
  if (const CatalogueRow* before = this->Find(edit.key())) {
    *change.mutable_before() = before->entry;
  }

  if (fault) {
    // An edit without an id cannot be asked for, so that it is not kept.
    if (edit.edit_id().empty()) return Verdict::kRejected;
    change.set_verdict(fault->ToString());
    this->history.Add(std::move(change));
    return Verdict::kRejected;
  }

  ++this->revision;
  this->Erase(edit.key());
  if (edit.has_entry()) this->Put(at, edit);
  ++this->generation;

  change.set_revision(this->revision);
  change.set_verdict(std::string(kAccepted));
  this->history.Add(std::move(change));
  return Verdict::kAccepted;
}

std::optional<Reason> Catalogue::Check(const pb::CatalogueEdit& edit) const {
  if (auto fault = CheckEdit(edit)) return fault;
  if (auto fault = this->CheckPermission(edit)) return fault;
  return this->CheckBase(edit);
}

std::optional<Reason> Catalogue::CheckPermission(
    const pb::CatalogueEdit& edit) const {
  const bool is_root = edit.author() == this->options.root_name;
  const CatalogueRow* const row = this->Find(kOperatorKind, edit.author());
  if (!is_root && row == nullptr) {
    return Refusal("permission", edit.author(), "is not an operator");
  }

  // The signature is checked first: a stranger learns nothing about owners.
  const std::string& public_key = is_root ? this->options.root_public_key
                                          : row->entry.operator_().public_key();
  if (!public_key.empty() && !VerifyEdit(edit, public_key)) {
    return Refusal("signature", edit.author(), "the signature is not valid");
  }
  if (is_root) return std::nullopt;

  // Only an operator for all owners may edit operators; anyone else could
  // extend the own rights.
  const pb::Operator& rights = row->entry.operator_();
  const bool is_operator_entry =
      edit.key().starts_with(MakeKey(kOperatorKind, ""));
  if (is_operator_entry && !MayEdit(rights, "*")) {
    return Refusal("permission", edit.author(), "may not edit operators");
  }

  const CatalogueRow* const current = this->Find(edit.key());
  const bool may_old =
      current == nullptr || MayEdit(rights, current->entry.owner());
  const bool may_new =
      !edit.has_entry() || MayEdit(rights, edit.entry().owner());
  if (may_old && may_new) return std::nullopt;
  return Refusal("permission", edit.author(),
                 "may not edit entries of owner " +
                     (may_old ? edit.entry().owner() : current->entry.owner()));
}

std::optional<Reason> Catalogue::CheckBase(
    const pb::CatalogueEdit& edit) const {
  const CatalogueRow* const current = this->Find(edit.key());
  const uint64_t present = current == nullptr ? 0 : current->revision;

  const bool accepts_older =
      this->options.mutation == log::Mutation::kAcceptOlderRevision &&
      edit.base_revision() < present;
  if (edit.base_revision() == present && (present != 0 || edit.has_entry())) {
    return std::nullopt;
  }
  if (accepts_older) return std::nullopt;

  if (current == nullptr) {
    return Refusal("conflict", {}, "there is no entry " + edit.key());
  }
  return Refusal("conflict", current->author,
                 edit.key() + " has revision " + std::to_string(present) +
                     ", the edit is based on " +
                     std::to_string(edit.base_revision()));
}

void Catalogue::Put(LogPosition at, const pb::CatalogueEdit& edit) {
  CatalogueRow row{.entry = edit.entry(),
                   .revision = this->revision,
                   .at = at,
                   .author = edit.author(),
                   .unix_ms = edit.unix_ms()};
  this->rows_digest += DigestOf(row);
  this->index.Add(row.entry);
  this->rows.insert_or_assign(edit.key(), std::move(row));
}

void Catalogue::Erase(std::string_view key) {
  const auto found = this->rows.find(key);
  if (found == this->rows.end()) return;
  FD_ASSERT(found->second.revision < this->revision,
            "catalogue: a revision went backwards");
  this->rows_digest -= DigestOf(found->second);
  this->index.Remove(found->second.entry);
  this->rows.erase(found);
}

void Catalogue::Save(pb::Snapshot& snapshot) const {
  pb::CatalogueState& state = *snapshot.mutable_catalogue();
  state.set_revision(this->revision);

  for (const auto& [key, row] : this->rows) {
    pb::CatalogueItem& item = *state.add_items();
    item.set_key(key);
    *item.mutable_entry() = row.entry;
    item.set_revision(row.revision);
    *item.mutable_at() = row.at.ToProto();
    item.set_author(row.author);
    item.set_unix_ms(row.unix_ms);
  }
  for (const pb::CatalogueChange& change : this->history.Changes()) {
    *state.add_history() = change;
  }
}

bool Catalogue::Load(const pb::Snapshot& snapshot) {
  const pb::CatalogueState& state = snapshot.catalogue();
  std::map<std::string, CatalogueRow, std::less<>> loaded;
  EntryIndex new_index;
  uint64_t digest = 0;

  for (const pb::CatalogueItem& item : state.items()) {
    if (!item.has_entry() || KeyOf(item.entry()) != item.key() ||
        item.revision() == 0 || item.revision() > state.revision()) {
      return false;
    }
    CatalogueRow row{.entry = item.entry(),
                     .revision = item.revision(),
                     .at = LogPosition::FromProto(item.at()),
                     .author = item.author(),
                     .unix_ms = item.unix_ms()};
    digest += DigestOf(row);
    new_index.Add(row.entry);
    if (!loaded.emplace(item.key(), std::move(row)).second) return false;
  }

  this->history = History(this->options.max_history);
  for (const pb::CatalogueChange& change : state.history()) {
    this->history.Add(change);
  }
  this->revision = state.revision();
  this->rows = std::move(loaded);
  this->index = std::move(new_index);
  this->rows_digest = digest;
  ++this->generation;
  return true;
}

uint64_t Catalogue::Digest() const {
  return this->rows_digest + this->revision * 0x9E3779B97F4A7C15ULL +
         this->history.Digest() * 3;
}

uint64_t Catalogue::DigestOf(const CatalogueRow& row) {
  const uint64_t text = Hash64(row.author, static_cast<uint64_t>(row.unix_ms));
  const uint64_t place = row.at.offset * 31 + row.at.index;
  return Hash64(row.entry.SerializeAsString(),
                row.revision * 0x9E3779B97F4A7C15ULL + text + place);
}

std::optional<EditVerdict> Catalogue::VerdictOf(
    std::string_view edit_id) const {
  const pb::CatalogueChange* const change = this->history.Find(edit_id);
  if (change == nullptr) return std::nullopt;
  return EditVerdict{.verdict = change->revision() == 0 ? Verdict::kRejected
                                                        : Verdict::kAccepted,
                     .revision = change->revision(),
                     .text = change->verdict(),
                     .at = LogPosition::FromProto(change->at())};
}

std::optional<pb::CatalogueEdit> Catalogue::ProposeMerge(
    const pb::CatalogueEdit& edit) const {
  const CatalogueRow* const current = this->Find(edit.key());
  const auto* const base = this->EntryAt(edit.key(), edit.base_revision());
  if (current == nullptr || base == nullptr || !edit.has_entry()) {
    return std::nullopt;
  }

  auto merged = MergeEntries(*base, current->entry, edit.entry());
  if (!merged) return std::nullopt;
  pb::CatalogueEdit out = edit;
  *out.mutable_entry() = *std::move(merged);
  out.set_base_revision(current->revision);
  out.clear_edit_id();
  out.clear_signature();
  return out;
}

const pb::CatalogueEntry* Catalogue::EntryAt(std::string_view key,
                                             uint64_t at_revision) const {
  for (const pb::CatalogueChange& change : this->history.Changes()) {
    if (change.revision() == at_revision && at_revision != 0 &&
        change.edit().key() == key && change.edit().has_entry()) {
      return &change.edit().entry();
    }
  }
  return nullptr;
}

const CatalogueRow* Catalogue::Find(std::string_view key) const {
  const auto found = this->rows.find(key);
  return found == this->rows.end() ? nullptr : &found->second;
}

const CatalogueRow* Catalogue::Find(std::string_view kind,
                                    std::string_view name) const {
  return this->Find(MakeKey(kind, name));
}

std::vector<const CatalogueRow*> Catalogue::OfKind(
    std::string_view kind) const {
  const std::string prefix = MakeKey(kind, "");
  std::vector<const CatalogueRow*> out;
  for (auto it = this->rows.lower_bound(prefix);
       it != this->rows.end() && it->first.starts_with(prefix); ++it) {
    out.push_back(&it->second);
  }
  return out;
}

std::vector<const pb::CatalogueChange*> Catalogue::HistoryOf(
    std::string_view key) const {
  std::vector<const pb::CatalogueChange*> out;
  for (const pb::CatalogueChange& change : this->history.Changes()) {
    if (key.empty() || change.edit().key() == key) out.push_back(&change);
  }
  return out;
}

Handover Catalogue::HandoverReport(std::string_view shift,
                                   int64_t since_unix_ms) const {
  Handover out;
  for (const pb::CatalogueChange& change : this->history.Changes()) {
    if (change.edit().unix_ms() < since_unix_ms ||
        (!shift.empty() && change.edit().shift() != shift)) {
      continue;
    }
    (change.revision() == 0 ? out.rejected : out.accepted).push_back(&change);
  }
  return out;
}

std::optional<std::string> Catalogue::OrganisationOfKey(
    std::string_view key) const {
  auto name = this->index.OrganisationOfKey(key);
  if (!name || this->FindOrganisation(*name) == nullptr) return std::nullopt;
  return name;
}

const pb::Organisation* Catalogue::FindOrganisation(
    std::string_view name) const {
  const CatalogueRow* const row = this->Find("organisation", name);
  return row == nullptr ? nullptr : &row->entry.organisation();
}

const pb::Model* Catalogue::FindModel(std::string_view name) const {
  const CatalogueRow* const row = this->Find("model", name);
  return row == nullptr ? nullptr : &row->entry.model();
}

const pb::Upstream* Catalogue::FindUpstream(std::string_view name) const {
  const CatalogueRow* const row = this->Find("upstream", name);
  return row == nullptr ? nullptr : &row->entry.upstream();
}

const pb::ServiceCall* Catalogue::FindCall(std::string_view service,
                                           std::string_view method,
                                           std::string_view path) const {
  const CatalogueRow* const row = this->Find("service", service);
  if (row == nullptr) return nullptr;

  const pb::ServiceCall* best = nullptr;
  for (const pb::ServiceCall& call : row->entry.service().calls()) {
    if (call.method() != method || !path.starts_with(call.path_prefix())) {
      continue;
    }
    // A prefix ends at a segment: "/pair" does not cover "/pairings".
    const std::string_view rest = path.substr(call.path_prefix().size());
    const bool ends_segment = rest.empty() || rest.front() == '/' ||
                              rest.front() == '?' ||
                              call.path_prefix().ends_with('/');
    if (!ends_segment) continue;
    if (best == nullptr ||
        call.path_prefix().size() > best->path_prefix().size()) {
      best = &call;
    }
  }
  return best;
}

}  // namespace fuchsiadrum::catalogue
