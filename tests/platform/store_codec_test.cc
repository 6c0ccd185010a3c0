#include "platform/store_codec.h"

#include <gtest/gtest.h>

#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::platform {
namespace {

class StoreCodecTest : public testing::Test {
 protected:
  /// Returns the body of an append request with these records.
  static std::string BodyOf(const std::vector<store::KeyedRecord>& records) {
    const std::string text =
        EncodeAppend("h", {.stream = Stream::kFleet}, {.name = "w"}, records);
    return text.substr(text.find("\r\n\r\n") + 4);
  }
  /// Returns a tail page as the store writes it, of a partition that ends at
  /// offset 255 and of which all records are retained.
  static std::string Page(const std::string& records) {
    std::string offsets(16, '\0');
    offsets[7] = '\xff';
    return offsets + records;
  }
};

// EVAC: a key that names no zone evacuates one, or one that does is passed
// over.
TEST_F(StoreCodecTest, EvacuatedZone_IsNamedByTheKey) {
  EXPECT_EQ(EvacuatedZone("evacuate/bogota-b"), "bogota-b");
  EXPECT_EQ(EvacuatedZone("evacuate/a/b"), "a/b");
  for (const char* key :
       {"", "config", "evacuate", "evacuate/", "Evacuate/a", "xevacuate/a"}) {
    EXPECT_FALSE(EvacuatedZone(key)) << key;
  }
}

TEST_F(StoreCodecTest, EvacuationValue_IsAnObject) {
  EXPECT_TRUE(IsEvacuationValue("{}"));
  EXPECT_TRUE(IsEvacuationValue(R"({"since":1})"));
  for (const char* value : {"", "{", "[]", "null", "1", "\xff\xfe"}) {
    EXPECT_FALSE(IsEvacuationValue(value)) << value;
  }
}

TEST_F(StoreCodecTest, AppendedRecords_AreReadBack) {
  const auto page =
      DecodeTail(Page(BodyOf({{.key = "a", .value = "1"},
                              {.key = "b", .value = std::nullopt}})),
                 40);
  ASSERT_TRUE(page);

  ASSERT_EQ(page->records.size(), 2U);
  EXPECT_EQ(page->records[0].value, "1");
  EXPECT_EQ(page->records[0].offset, 40U);
  EXPECT_FALSE(page->records[1].value);
  EXPECT_EQ(page->next_offset, 42U);
}

TEST_F(StoreCodecTest, TruncatedPage_IsRefused) {
  const std::string whole = Page(BodyOf({{.key = "key", .value = "value"}}));
  for (size_t size = 17; size < whole.size(); ++size) {
    EXPECT_FALSE(DecodeTail(whole.substr(0, size), 0)) << size;
  }
}

// Guards against pages of the default size of one megabyte, for which a link of
// 10 Mbit/s takes over a second, where the reader asks for smaller ones.
TEST_F(StoreCodecTest, TailRead_SendsItsMaximumSize) {
  const std::string text = EncodeReadTail(
      "h", {.stream = Stream::kOperators},
      {.from = 7, .wait = std::chrono::seconds(1), .max_bytes = 131072});

  EXPECT_NE(text.find("from=7&max_kb=128&wait_ms=1000"), std::string::npos);
}

TEST_F(StoreCodecTest, RandomBytes_NeverCrashTheDecoders) {
  Rng rng(1);
  for (int i = 0; i < 20000; ++i) {
    std::string bytes(rng.Below(64), '\0');
    for (char& c : bytes) c = static_cast<char>(rng.Below(256));
    DecodeTail(bytes, 0);
    DecodeNewest(bytes);
    DecodeExpectedSequence(bytes);
  }
}

TEST_F(StoreCodecTest, NewestPage_IsDecodedFromBase64) {
  const auto page = DecodeNewest(
      R"({"items":[{"key":"config","value":"eyJhIjoxfQ==","offset":4}],
          "more_pages":true,"end_offset":6})");
  ASSERT_TRUE(page);

  EXPECT_EQ(page->records[0].value, "{\"a\":1}");
  EXPECT_EQ(page->records[0].offset, 4U);
  EXPECT_TRUE(page->more);
  EXPECT_EQ(page->end_offset, 6U);
}

TEST_F(StoreCodecTest, ExpectedSequence_IsReadOnlyFromASequenceRejection) {
  EXPECT_EQ(DecodeExpectedSequence(R"({"reason":"seq","sequence":9})"), 9U);
  EXPECT_FALSE(DecodeExpectedSequence(R"({"reason":"fenced"})"));
}

// One record of another writer must not keep the others from being read.
TEST_F(StoreCodecTest, OddRecordOnNewestPage_IsLeftOut_TheOthersAreRead) {
  for (const char* odd :
       {R"({"key":7,"value":"","offset":1})",
        R"({"key":"k","value":"not base64!","offset":1})",
        R"({"key":"k","value":[[[]]],"offset":1})",
        R"({"key":"k","value":"","offset":-1})",
        R"({"key":"k","value":"","offset":1e300})", "7", "null",
        "{\"key\":\"\xff\xfe\",\"value\":\"\",\"offset\":1}"}) {
    const auto page = DecodeNewest(
        std::string(R"({"items":[)") + odd +
        R"(,{"key":"good","value":"eA==","offset":2}],"end_offset":3})");
    ASSERT_TRUE(page) << odd;
    ASSERT_FALSE(page->records.empty()) << odd;
    EXPECT_EQ(page->records.back().key, "good") << odd;
    EXPECT_EQ(page->records.back().value, "x") << odd;
  }
}

TEST_F(StoreCodecTest, NewestPage_WithoutProperEndOffset_IsRefused) {
  for (const char* end : {"-1", "1.5", "1e300", "\"3\"", "null"}) {
    EXPECT_FALSE(
        DecodeNewest(std::string(R"({"items":[],"end_offset":)") + end + "}"))
        << end;
  }
  EXPECT_FALSE(
      DecodeNewest(R"({"items":[],"more_pages":"yes","end_offset":3})"));
}

// A tail page that was asked for at another offset would be counted from the
// wrong place, so that records are skipped for good.
TEST_F(StoreCodecTest, TailPage_ThatEndsAfterItsEnd_IsRefused) {
  std::string page(15, '\0');
  page.insert(7, 1, '\2');
  const std::string records =
      BodyOf({{.key = "a", .value = "1"}, {.key = "b", .value = "2"}});
  EXPECT_TRUE(DecodeTail(page + records, 0));
  EXPECT_FALSE(DecodeTail(page + records, 1));
  EXPECT_FALSE(DecodeTail(page, 3));
}

}  // namespace
}  // namespace fuchsiadrum::platform
