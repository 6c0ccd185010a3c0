#include "daemon/request_parser.h"

#include <gtest/gtest.h>

#include <string>

namespace fuchsiadrum::daemon {
namespace {

class RequestParserTest : public testing::Test {
 protected:
  static constexpr RequestBounds kBounds = {
      .head_bytes = 1000, .fields = 16, .body_bytes = 5000};
  static constexpr size_t kUnbounded = 1000000;

  void Feed(const std::string& bytes) {
    const auto space = this->buffer.prepare(bytes.size());
    asio::buffer_copy(space, asio::buffer(bytes));
    this->buffer.commit(bytes.size());
  }
  /// Feeds the text in pieces and parses after each. Returns the last status.
  ParseStatus FeedInPieces(const std::string& text, size_t piece_bytes) {
    ParseStatus status = ParseStatus::kMore;
    for (size_t at = 0; at < text.size(); at += piece_bytes) {
      this->Feed(text.substr(at, piece_bytes));
      status = this->parser.Parse();
      if (status == ParseStatus::kHead) status = this->parser.Parse();
      if (status != ParseStatus::kMore) break;
    }
    return status;
  }
  static std::string Head(const std::string& fields) {
    return "POST /x HTTP/1.1\r\nHost: h\r\n" + fields;
  }
  static std::string ShortFields(size_t count) {
    std::string fields;
    for (size_t i = 0; i < count; ++i) fields += "a:\r\n";
    return fields;
  }

  boost::beast::flat_buffer buffer;
  RequestParser parser{kBounds, buffer};
};

// An ordinary request is parsed whatever pieces it arrives in, and a request
// sent ahead stays in the buffer.
TEST_F(RequestParserTest, Request_InAnyPieces_IsWhole) {
  const std::string text = Head("Content-Length: 5\r\n\r\nhello");
  for (size_t piece = 1; piece <= text.size(); ++piece) {
    boost::beast::flat_buffer bytes;
    RequestParser reader(kBounds, bytes);
    ParseStatus status = ParseStatus::kMore;
    for (size_t at = 0; at < text.size(); at += piece) {
      const std::string part = text.substr(at, piece);
      asio::buffer_copy(bytes.prepare(part.size()), asio::buffer(part));
      bytes.commit(part.size());
      status = reader.Parse();
      if (status == ParseStatus::kHead) status = reader.Parse();
    }
    EXPECT_EQ(status, ParseStatus::kWhole) << piece;
    EXPECT_EQ(reader.TakeBody(), "hello") << piece;
  }
  this->Feed(text + "GET /next");
  EXPECT_EQ(this->parser.Parse(), ParseStatus::kHead);
  EXPECT_EQ(this->parser.Message()["Host"], "h");
  EXPECT_EQ(this->parser.Parse(), ParseStatus::kWhole);
  EXPECT_EQ(this->buffer.size(), 9U);
}

// Beast compares its limit with what it has not consumed, so that a head of
// complete fields that arrives in pieces had no limit.
TEST_F(RequestParserTest, HeadOverItsBytes_InPieces_IsRefused) {
  const std::string field = "X-More: " + std::string(90, 'x') + "\r\n";
  std::string fields;
  while (fields.size() < kBounds.head_bytes) fields += field;
  EXPECT_EQ(this->FeedInPieces(Head(fields), 7), ParseStatus::kRefused);
  EXPECT_EQ(this->parser.Fault(), RequestFault::kHeadBytes);
}

// One endless field.
TEST_F(RequestParserTest, FieldWithoutEnd_IsRefused) {
  EXPECT_EQ(this->FeedInPieces(Head("X-More: " + std::string(5000, 'x')), 100),
            ParseStatus::kRefused);
  EXPECT_EQ(this->parser.Fault(), RequestFault::kHeadBytes);
}

// Each field takes 35 times its text as parsed; a legal head of short ones took
// half a megabyte.
TEST_F(RequestParserTest, TooManyFields_AreRefusedBeforeTheyAreParsed) {
  EXPECT_EQ(this->FeedInPieces(Head(ShortFields(kBounds.fields) + "\r\n"),
                               kUnbounded),
            ParseStatus::kRefused);
  EXPECT_EQ(this->parser.Fault(), RequestFault::kHeadFields);
}

// The bound itself is allowed, and the body does not count.
TEST_F(RequestParserTest, AsManyFieldsAsAllowed_AreParsed) {
  const std::string body = ShortFields(200);
  EXPECT_EQ(this->FeedInPieces(Head(ShortFields(kBounds.fields - 2) +
                                    "Content-Length: 800"
                                    "\r\n\r\n" +
                                    body),
                               kUnbounded),
            ParseStatus::kWhole);
  EXPECT_EQ(this->parser.TakeBody(), body);
}

// A body over its limit is refused on the head, or at the chunk that exceeds
// it.
TEST_F(RequestParserTest, BodyOverItsBytes_IsRefused) {
  this->Feed(Head("Content-Length: 5001\r\n\r\n"));
  EXPECT_EQ(this->parser.Parse(), ParseStatus::kRefused);
  EXPECT_EQ(this->parser.Fault(), RequestFault::kBodyBytes);

  boost::beast::flat_buffer bytes;
  RequestParser chunked(kBounds, bytes);
  const std::string text =
      Head("Transfer-Encoding: chunked\r\n\r\n1389\r\nxxxx");
  asio::buffer_copy(bytes.prepare(text.size()), asio::buffer(text));
  bytes.commit(text.size());
  EXPECT_EQ(chunked.Parse(), ParseStatus::kHead);
  EXPECT_EQ(chunked.Parse(), ParseStatus::kRefused);
  EXPECT_EQ(chunked.Fault(), RequestFault::kBodyBytes);
}

// The parser buffers a chunk-size line and a trailer whole.
TEST_F(RequestParserTest, TrailerOrSizeLineWithoutEnd_IsRefused) {
  const std::string head = Head("Transfer-Encoding: chunked\r\n\r\n");
  for (const std::string& start : {std::string("0\r\n"), std::string("5;x=")}) {
    boost::beast::flat_buffer bytes;
    RequestParser reader(kBounds, bytes);
    const std::string text = head + start + std::string(2000, 'a');
    asio::buffer_copy(bytes.prepare(text.size()), asio::buffer(text));
    bytes.commit(text.size());
    EXPECT_EQ(reader.Parse(), ParseStatus::kHead);
    EXPECT_EQ(reader.Parse(), ParseStatus::kRefused) << start;
    EXPECT_EQ(reader.Fault(), RequestFault::kLineBytes) << start;
  }
}

// What has not arrived takes no memory; what has arrived is counted.
TEST_F(RequestParserTest, HeldBytes_FollowWhatHasArrived) {
  this->Feed(Head(ShortFields(10) + "Content-Length: 4000\r\n\r\n"));
  EXPECT_EQ(this->parser.Parse(), ParseStatus::kHead);
  const size_t head = this->parser.HeldBytes();
  EXPECT_GT(head, 1000U);
  EXPECT_LT(head, 4000U);
  EXPECT_EQ(this->parser.MissingBytes(), 4000U);
  this->Feed(std::string(3000, 'x'));
  EXPECT_EQ(this->parser.Parse(), ParseStatus::kMore);
  EXPECT_EQ(this->parser.MissingBytes(), 1000U);
  EXPECT_EQ(this->parser.ReadBytes(), 1000U);
  EXPECT_GE(this->parser.HeldBytes(), head + 3000);
}

// Input that is no HTTP is refused at once, without waiting for its end.
TEST_F(RequestParserTest, NoHttp_IsRefused) {
  this->Feed("\x16\x03\x01 noise");
  EXPECT_EQ(this->parser.Parse(), ParseStatus::kRefused);
  EXPECT_EQ(this->parser.Fault(), RequestFault::kMalformedHead);
}

}  // namespace
}  // namespace fuchsiadrum::daemon
