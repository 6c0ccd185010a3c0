#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/catalogue/entry_index.h"
#include "fuchsiadrum/catalogue/history.h"
#include "fuchsiadrum/core/fold_part.h"
#include "fuchsiadrum/core/reason.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/log/mutation.h"
#include "schema/catalogue.pb.h"
#include "schema/record.pb.h"

namespace fuchsiadrum::catalogue {

/// Options of the catalogue. All daemons of a fleet must agree on them, since
/// the verdicts depend on them.
struct CatalogueOptions {
  /// Operator who may edit everything without an operator entry.
  std::string root_name = "root";
  /// 32-byte Ed25519 key of the root operator; empty: edits by the root
  /// operator need no signature.
  std::string root_public_key;
  /// Edits that are kept with their verdicts.
  size_t max_history = 5000;
  /// Rule to break; only the bench sets it.
  log::Mutation mutation = log::Mutation::kNone;
};

/// What became of an edit.
struct EditVerdict {
  /// kAccepted or kRejected.
  Verdict verdict = Verdict::kRejected;
  /// Revision that the entry got; 0: rejected.
  uint64_t revision = 0;
  /// "accepted", or what was wrong with the edit.
  std::string text;
  LogPosition at;
};

/// An entry with the edit that made it.
struct CatalogueRow {
  pb::CatalogueEntry entry;
  uint64_t revision = 0;
  LogPosition at;
  std::string author;
  int64_t unix_ms = 0;
};

/// Edits of a shift, for the operators who take over. The pointers are valid
/// until the next Apply or Load.
struct Handover {
  std::vector<const pb::CatalogueChange*> accepted;
  std::vector<const pb::CatalogueChange*> rejected;
};

/// The catalogue that the operators agreed on: a fold over their edits.
///
/// Revisions are numbered over the whole catalogue, so that an entry that is
/// removed and made again never repeats a revision.
class Catalogue : public FoldPart {
 public:
  explicit Catalogue(CatalogueOptions options);

  Verdict Apply(LogPosition at, const VmRef& writer,
                const pb::Record& record) override;
  void Save(pb::Snapshot& snapshot) const override;
  bool Load(const pb::Snapshot& snapshot) override;
  uint64_t Digest() const override;

  /// Checks an edit against the present state, before it is appended; the
  /// reason for which it would be rejected, nullopt: it would be accepted. The
  /// fold decides again.
  std::optional<Reason> Check(const pb::CatalogueEdit& edit) const;
  /// What became of an edit; nullopt: it was not folded, or it is older than
  /// the kept history.
  std::optional<EditVerdict> VerdictOf(std::string_view edit_id) const;
  /// A rejected edit with the fields that were changed meanwhile merged in,
  /// based on the present revision and without edit id and signature; nullopt:
  /// both changed the same fields, or the base is older than the history.
  std::optional<pb::CatalogueEdit> ProposeMerge(
      const pb::CatalogueEdit& edit) const;

  /// Grows with each change of the entries; readers may cache while it stays.
  uint64_t Generation() const { return this->generation; }
  /// Revision of the latest accepted edit; 0: none.
  uint64_t Revision() const { return this->revision; }
  /// All entries by key.
  const std::map<std::string, CatalogueRow, std::less<>>& Rows() const {
    return this->rows;
  }
  /// Entry with this key; nullptr: none.
  const CatalogueRow* Find(std::string_view key) const;
  const CatalogueRow* Find(std::string_view kind, std::string_view name) const;
  /// Entries of a kind, by name. The pointers are valid until the next Apply
  /// or Load.
  std::vector<const CatalogueRow*> OfKind(std::string_view kind) const;
  /// Edits of one entry, oldest first; empty key: of all entries.
  std::vector<const pb::CatalogueChange*> HistoryOf(std::string_view key) const;
  /// Edits of a shift ("morning", "afternoon"; empty: all) made at or after a
  /// wall-clock time in milliseconds.
  Handover HandoverReport(std::string_view shift, int64_t since_unix_ms) const;

  /// Organisation of a caller's key; nullopt: unknown key, or the organisation
  /// has no entry.
  std::optional<std::string> OrganisationOfKey(std::string_view key) const;
  const pb::Organisation* FindOrganisation(std::string_view name) const;
  const pb::Model* FindModel(std::string_view name) const;
  const pb::Upstream* FindUpstream(std::string_view name) const;
  /// Names of the upstreams that may serve a model or a service, draining ones
  /// included, in order.
  const std::set<std::string>& UpstreamsOfModel(std::string_view model) const {
    return this->index.UpstreamsOfModel(model);
  }
  const std::set<std::string>& UpstreamsOfService(
      std::string_view service) const {
    return this->index.UpstreamsOfService(service);
  }
  /// Rule for a call of a service, the longest matching path prefix; nullptr:
  /// the service or the call is unknown.
  const pb::ServiceCall* FindCall(std::string_view service,
                                  std::string_view method,
                                  std::string_view path) const;

 private:
  Verdict Fold(LogPosition at, const pb::CatalogueEdit& edit);
  std::optional<Reason> CheckPermission(const pb::CatalogueEdit& edit) const;
  std::optional<Reason> CheckBase(const pb::CatalogueEdit& edit) const;
  void Put(LogPosition at, const pb::CatalogueEdit& edit);
  void Erase(std::string_view key);
  const pb::CatalogueEntry* EntryAt(std::string_view key,
                                    uint64_t revision) const;
  static uint64_t DigestOf(const CatalogueRow& row);

  CatalogueOptions options;
  uint64_t revision = 0;
  std::map<std::string, CatalogueRow, std::less<>> rows;
  History history;
  EntryIndex index;
  /// Sum of the rows' digests.
  uint64_t rows_digest = 0;
  uint64_t generation = 0;
};

}  // namespace fuchsiadrum::catalogue
