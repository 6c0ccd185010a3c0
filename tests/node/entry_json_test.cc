#include "fuchsiadrum/node/entry_json.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::node {
namespace {

class EntryJsonTest : public ::testing::Test {
 protected:
  EntryJson json;
};

// Guards against digests that are stored as hex text in place of bytes.
TEST_F(EntryJsonTest, Parse_HexField_GivesBytes) {
  const auto entry = this->json.Parse(nlohmann::json::parse(
      R"({"name":"n","owner":"o","callerKey":{"saltHex":"00ff"}})"));
  ASSERT_TRUE(entry.has_value());
  EXPECT_EQ(entry->caller_key().salt(), std::string("\x00\xff", 2));
}

// Guards against misspelt fields that are silently dropped.
TEST_F(EntryJsonTest, Parse_UnknownField_IsRefused) {
  EXPECT_FALSE(
      this->json.Parse(nlohmann::json::parse(R"({"nmae":"n"})")).has_value());
  EXPECT_EQ(this->json.LastReason().step, "entry");
}

// Guards against exceptions on fields of the wrong type.
TEST_F(EntryJsonTest, ParseEdit_WrongTypes_AreEmptyFields) {
  const auto edit = this->json.ParseEdit(nlohmann::json::parse(
      R"({"key":7,"base_revision":"x","author":[],"entry":null})"));
  ASSERT_TRUE(edit.has_value());
  EXPECT_EQ(edit->key(), "");
  EXPECT_FALSE(edit->has_entry());
}

// Guards against an entry that changes on its way to an operator and back.
TEST_F(EntryJsonTest, Write_Parsed_GivesTheSameEntry) {
  pb::CatalogueEntry entry;
  entry.set_name("n");
  entry.set_owner("o");
  entry.mutable_caller_key()->set_digest("\x01\x02");
  const auto again = this->json.Parse(EntryJson::Write(entry));
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again->SerializeAsString(), entry.SerializeAsString());
}

}  // namespace
}  // namespace fuchsiadrum::node
