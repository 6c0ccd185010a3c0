#include "fuchsiadrum/catalogue/catalogue.h"

#include <gtest/gtest.h>

#include <functional>

#include "fuchsiadrum/catalogue/edit_signature.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::catalogue {
namespace {

class CatalogueTest : public ::testing::Test {
 protected:
  static pb::CatalogueEdit Edit(const std::string& author,
                                const pb::CatalogueEntry& entry,
                                const std::string& kind, uint64_t base) {
    static int number = 0;
    pb::CatalogueEdit edit;
    edit.set_key(kind + "/" + entry.name());
    *edit.mutable_entry() = entry;
    edit.set_base_revision(base);
    edit.set_author(author);
    edit.set_shift("morning");
    edit.set_unix_ms(1000 + number);
    edit.set_edit_id("e" + std::to_string(number++));
    return edit;
  }
  static pb::CatalogueEntry Upstream(const std::string& name,
                                     const std::string& owner = "ops") {
    pb::CatalogueEntry entry;
    entry.set_name(name);
    entry.set_owner(owner);
    entry.mutable_upstream()->set_address("127.0.0.1:9000");
    entry.mutable_upstream()->set_availability_zone("a");
    entry.mutable_upstream()->add_models("m1");
    return entry;
  }
  static pb::CatalogueEntry OperatorEntry(const std::string& name,
                                          const std::string& owner,
                                          const std::string& key = {}) {
    pb::CatalogueEntry entry;
    entry.set_name(name);
    entry.set_owner("root");
    entry.mutable_operator_()->add_owners(owner);
    entry.mutable_operator_()->set_public_key(key);
    return entry;
  }
  Verdict Fold(const pb::CatalogueEdit& edit) {
    pb::Record record;
    *record.mutable_catalogue_edit() = edit;
    return this->catalogue.Apply({this->offset++, 0}, {"a1", 1}, record);
  }
  std::string TextOf(const pb::CatalogueEdit& edit) {
    return this->catalogue.VerdictOf(edit.edit_id()).value().text;
  }

  uint64_t offset = 0;
  Catalogue catalogue{{.max_history = 20}};
};

// Guards against the later of two racing edits overwriting the first one.
TEST_F(CatalogueTest, Apply_SecondEditOfOneBase_IsRejectedWithTheOther) {
  const auto first = Edit("root", Upstream("u1"), "upstream", 0);
  const auto second = Edit("root", Upstream("u1"), "upstream", 0);
  EXPECT_EQ(this->Fold(first), Verdict::kAccepted);
  EXPECT_EQ(this->Fold(second), Verdict::kRejected);
  EXPECT_NE(this->TextOf(second).find("conflict (root)"), std::string::npos);
  EXPECT_EQ(this->catalogue.Find("upstream/u1")->revision, 1U);
}

// Guards against an edit that is appended twice being made twice, and against
// its author learning of a conflict with the own edit.
TEST_F(CatalogueTest, Apply_SameEditAgain_IsDuplicateWithTheFirstVerdict) {
  const auto edit = Edit("root", Upstream("u1"), "upstream", 0);
  EXPECT_EQ(this->Fold(edit), Verdict::kAccepted);
  EXPECT_EQ(this->Fold(edit), Verdict::kDuplicate);
  EXPECT_EQ(this->catalogue.VerdictOf(edit.edit_id())->revision, 1U);
  EXPECT_EQ(this->catalogue.HistoryOf("").size(), 1U);

  auto other = Edit("root", Upstream("u2"), "upstream", 0);
  other.set_edit_id(edit.edit_id());
  EXPECT_EQ(this->Fold(other), Verdict::kRejected);
  EXPECT_EQ(this->catalogue.Find("upstream/u2"), nullptr);
}

// Guards against an old revision that becomes valid again after a removal.
TEST_F(CatalogueTest, Apply_RemovedAndMadeAgain_NeverRepeatsARevision) {
  this->Fold(Edit("root", Upstream("u1"), "upstream", 0));
  auto removal = Edit("root", Upstream("u1"), "upstream", 1);
  removal.clear_entry();
  EXPECT_EQ(this->Fold(removal), Verdict::kAccepted);
  EXPECT_TRUE(this->catalogue.UpstreamsOfModel("m1").empty());
  EXPECT_EQ(this->Fold(Edit("root", Upstream("u1"), "upstream", 0)),
            Verdict::kAccepted);
  EXPECT_EQ(this->catalogue.Find("upstream/u1")->revision, 3U);
  EXPECT_EQ(this->Fold(Edit("root", Upstream("u1"), "upstream", 1)),
            Verdict::kRejected);
}

// Guards against operators who edit what they do not own, or extend their own
// rights.
TEST_F(CatalogueTest, Apply_Owners_AreEnforced) {
  this->Fold(Edit("root", OperatorEntry("ana", "ops"), "operator", 0));
  this->Fold(Edit("root", Upstream("u1", "billing"), "upstream", 0));

  EXPECT_EQ(this->Fold(Edit("ana", Upstream("u2"), "upstream", 0)),
            Verdict::kAccepted);
  EXPECT_EQ(this->Fold(Edit("ana", Upstream("u1"), "upstream", 2)),
            Verdict::kRejected);
  EXPECT_EQ(this->Fold(Edit("ana", Upstream("u3", "billing"), "upstream", 0)),
            Verdict::kRejected);
  EXPECT_EQ(this->Fold(Edit("ben", Upstream("u4"), "upstream", 0)),
            Verdict::kRejected);
  auto own = OperatorEntry("ana", "*");
  own.set_owner("ops");
  EXPECT_EQ(this->Fold(Edit("ana", own, "operator", 1)), Verdict::kRejected);
}

// Guards against edits in another operator's name, and against a signature
// that is carried over to another edit.
TEST_F(CatalogueTest, Apply_Signature_IsCheckedOverTheWholeEdit) {
  const std::string secret(32, '\x07');
  this->Fold(Edit("root", OperatorEntry("ana", "ops", PublicKeyEd25519(secret)),
                  "operator", 0));
  auto edit = Edit("ana", Upstream("u1"), "upstream", 0);
  EXPECT_EQ(this->Fold(edit), Verdict::kRejected);

  edit.set_edit_id("signed");
  ASSERT_TRUE(SignEdit(edit, secret));
  auto changed = edit;
  changed.set_edit_id("changed");
  EXPECT_EQ(this->Fold(changed), Verdict::kRejected);
  changed = edit;
  changed.mutable_entry()->mutable_upstream()->set_draining(true);
  changed.set_edit_id("signed");
  EXPECT_FALSE(VerifyEdit(changed, PublicKeyEd25519(secret)));
  EXPECT_EQ(this->Fold(edit), Verdict::kAccepted);
}

// Guards against two disjoint changes that an operator has to merge by hand,
// and against a merge that drops one of two changes of the same field.
TEST_F(CatalogueTest, ProposeMerge_DisjointFields_KeepsBothChanges) {
  this->Fold(Edit("root", Upstream("u1"), "upstream", 0));
  auto theirs = Upstream("u1");
  theirs.mutable_upstream()->set_draining(true);
  this->Fold(Edit("root", theirs, "upstream", 1));

  auto mine = Upstream("u1");
  mine.mutable_upstream()->add_models("m2");
  const auto merged =
      this->catalogue.ProposeMerge(Edit("root", mine, "upstream", 1));
  ASSERT_TRUE(merged.has_value());
  EXPECT_EQ(merged->base_revision(), 2U);
  EXPECT_TRUE(merged->entry().upstream().draining());
  EXPECT_EQ(merged->entry().upstream().models_size(), 2);
  EXPECT_EQ(merged->entry().upstream().address(), "127.0.0.1:9000");

  theirs.mutable_upstream()->add_models("m3");
  this->Fold(Edit("root", theirs, "upstream", 2));
  EXPECT_FALSE(this->catalogue.ProposeMerge(Edit("root", mine, "upstream", 1)));
}

// Guards against a start from a snapshot that loses verdicts or history, or
// whose digest differs from that of a daemon that folded everything.
TEST_F(CatalogueTest, Load_OfSave_HasTheSameStateAndDigest) {
  for (int i = 0; i < 30; ++i) {
    this->Fold(Edit("root", Upstream("u" + std::to_string(i % 5)), "upstream",
                    i < 5 ? 0 : i % 3));
  }
  pb::Snapshot snapshot;
  this->catalogue.Save(snapshot);
  Catalogue loaded({.max_history = 20});
  ASSERT_TRUE(loaded.Load(snapshot));

  EXPECT_EQ(loaded.Digest(), this->catalogue.Digest());
  EXPECT_EQ(loaded.HistoryOf("").size(), 20U);
  EXPECT_EQ(loaded.UpstreamsOfModel("m1").size(), 5U);
  pb::Snapshot again;
  loaded.Save(again);
  EXPECT_EQ(again.SerializeAsString(), snapshot.SerializeAsString());
}

// Guards against half a state after a malformed snapshot.
TEST_F(CatalogueTest, Load_Malformed_KeepsTheState) {
  this->Fold(Edit("root", Upstream("u1"), "upstream", 0));
  const uint64_t digest = this->catalogue.Digest();
  pb::Snapshot snapshot;
  this->catalogue.Save(snapshot);
  *snapshot.mutable_catalogue()->add_items() = snapshot.catalogue().items(0);
  EXPECT_FALSE(this->catalogue.Load(snapshot));
  EXPECT_EQ(this->catalogue.Digest(), digest);
}

// Guards against invalid entries in force, and against text that would make
// the batch unreadable.
TEST_F(CatalogueTest, Check_InvalidEntries_AreRefusedInTheFoldToo) {
  const auto refused = [this](const std::function<void(pb::Upstream&)>& spoil) {
    auto entry = Upstream("u1");
    spoil(*entry.mutable_upstream());
    const auto edit = Edit("root", entry, "upstream", 0);
    return this->catalogue.Check(edit).has_value() &&
           this->Fold(edit) == Verdict::kRejected;
  };
  EXPECT_TRUE(refused([](auto& u) { u.set_address("localhost:80"); }));
  EXPECT_TRUE(refused([](auto& u) { u.set_address("10.0.0.256:80"); }));
  EXPECT_TRUE(refused([](auto& u) { u.set_address("10.0.0.1:0"); }));
  EXPECT_TRUE(refused([](auto& u) { u.clear_models(); }));
  EXPECT_TRUE(refused([](auto& u) { u.set_service("both"); }));
  EXPECT_TRUE(refused([](auto& u) { u.set_availability_zone("a b"); }));
  EXPECT_FALSE(refused([](auto& u) { u.set_address("[::1]:80"); }));

  auto edit = Edit("root", Upstream("u9"), "upstream", 0);
  for (const char* text :
       {"\xFF", "\xC0\x80", "\xED\xA0\x80", "a\nb", "\xE2\x82"}) {
    edit.set_reason(text);
    EXPECT_TRUE(this->catalogue.Check(edit).has_value());
  }
  edit.set_reason("zu viele Anfragen \xE2\x82\xAC");
  EXPECT_FALSE(this->catalogue.Check(edit).has_value());
}

// Guards against requests billed to the wrong organisation, and against keys
// that stay valid after their entry is removed.
TEST_F(CatalogueTest, OrganisationOfKey_KnownKey_NamesTheOrganisation) {
  pb::CatalogueEntry organisation;
  organisation.set_name("acme");
  organisation.set_owner("sales");
  organisation.mutable_organisation();
  pb::CatalogueEntry key;
  key.set_name("acme-1");
  key.set_owner("sales");
  key.mutable_caller_key()->set_organisation("acme");
  key.mutable_caller_key()->set_salt("saltsalt");
  key.mutable_caller_key()->set_digest(Hmac("saltsalt", "secret"));

  this->Fold(Edit("root", key, "caller-key", 0));
  EXPECT_FALSE(this->catalogue.OrganisationOfKey("secret"));
  this->Fold(Edit("root", organisation, "organisation", 0));
  EXPECT_EQ(this->catalogue.OrganisationOfKey("secret"), "acme");
  EXPECT_FALSE(this->catalogue.OrganisationOfKey("Secret"));

  auto removal = Edit("root", key, "caller-key", 1);
  removal.clear_entry();
  EXPECT_EQ(this->Fold(removal), Verdict::kAccepted);
  EXPECT_FALSE(this->catalogue.OrganisationOfKey("secret"));
}

// Guards against a non-idempotent call under the rule of another path.
TEST_F(CatalogueTest, FindCall_SeveralPrefixes_TakesTheLongestWholeSegment) {
  pb::CatalogueEntry entry;
  entry.set_name("draws");
  entry.set_owner("ops");
  for (const char* path : {"", "/draw", "/draw/pair"}) {
    auto& call = *entry.mutable_service()->add_calls();
    call.set_method("POST");
    call.set_path_prefix(path);
    call.set_work_class(pb::BOOKING);
  }
  this->Fold(Edit("root", entry, "service", 0));
  const auto prefix = [this](const std::string& path) {
    return this->catalogue.FindCall("draws", "POST", path)->path_prefix();
  };
  EXPECT_EQ(prefix("/draw/pair/7"), "/draw/pair");
  EXPECT_EQ(prefix("/draw/pairings"), "/draw");
  EXPECT_EQ(prefix("/draw?x=1"), "/draw");
  EXPECT_EQ(prefix("/other"), "");
  EXPECT_EQ(this->catalogue.FindCall("draws", "GET", "/draw"), nullptr);
}

// Guards against a handover that does not show a rejected edit.
TEST_F(CatalogueTest, HandoverReport_Shift_ListsAcceptedAndRejected) {
  this->Fold(Edit("root", Upstream("u1"), "upstream", 0));
  this->Fold(Edit("root", Upstream("u1"), "upstream", 0));
  auto late = Edit("root", Upstream("u2"), "upstream", 0);
  late.set_shift("afternoon");
  this->Fold(late);

  const Handover morning = this->catalogue.HandoverReport("morning", 0);
  ASSERT_EQ(morning.accepted.size(), 1U);
  ASSERT_EQ(morning.rejected.size(), 1U);
  EXPECT_TRUE(morning.rejected[0]->has_before());
  EXPECT_EQ(this->catalogue.HandoverReport("", 0).accepted.size(), 2U);
}

}  // namespace
}  // namespace fuchsiadrum::catalogue
