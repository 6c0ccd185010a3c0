#include "daemon/answer_parser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::daemon {
namespace {

using serving::AnswerFault;
using serving::AnswerFaultName;

constexpr std::string_view kLineEnd = "\r\n";

/// The grammar of a head, written from RFC 9110 and RFC 9112 and apart from the
/// reader: it looks at whole lines.
class StrictGrammar {
 public:
  /// True if the text begins with a whole and sound head.
  static bool HasHead(std::string_view text) {
    const size_t end = text.find("\r\n\r\n");
    if (end == std::string_view::npos) return false;
    const std::vector<std::string_view> lines = Lines(text.substr(0, end));
    if (!IsStatusLine(lines.front())) return false;
    return AreFields({lines.begin() + 1, lines.end()}) &&
           HasOneFraming({lines.begin() + 1, lines.end()},
                         lines.front().starts_with("HTTP/1.1"));
  }
  /// True if the text is a whole and sound trailer.
  static bool IsTrailer(std::string_view text) {
    if (text == kLineEnd) return true;
    if (!text.ends_with("\r\n\r\n")) return false;
    text.remove_suffix(2 * kLineEnd.size());
    return text.find("\r\n\r\n") == std::string_view::npos &&
           AreFields(Lines(text));
  }

 private:
  static std::vector<std::string_view> Lines(std::string_view text) {
    std::vector<std::string_view> lines;
    for (size_t end = text.find(kLineEnd); end != std::string_view::npos;
         end = text.find(kLineEnd)) {
      lines.push_back(text.substr(0, end));
      text.remove_prefix(end + kLineEnd.size());
    }
    lines.push_back(text);
    return lines;
  }
  // HTTP-version SP status-code SP [ reason-phrase ]
  static bool IsStatusLine(std::string_view line) {
    constexpr size_t kPrefixBytes = 13;
    if (line.size() < kPrefixBytes || !line.starts_with("HTTP/1.")) {
      return false;
    }
    const auto is_digit = [&](size_t at) {
      return line[at] >= '0' && line[at] <= '9';
    };
    return (line[7] == '0' || line[7] == '1') && line[8] == ' ' &&
           line[9] >= '1' && line[9] <= '5' && is_digit(10) && is_digit(11) &&
           line[12] == ' ' && IsText(line.substr(kPrefixBytes));
  }
  static bool AreFields(const std::vector<std::string_view>& lines) {
    return std::ranges::all_of(lines, [](std::string_view line) {
      const size_t colon = line.find(':');
      return colon != std::string_view::npos && IsToken(Name(line)) &&
             IsText(line.substr(colon + 1));
    });
  }
  /// True if no two recipients can see the end of the body at two places.
  static bool HasOneFraming(const std::vector<std::string_view>& lines,
                            bool is_http11) {
    std::optional<uint64_t> length;
    int codings = 0;
    for (const std::string_view line : lines) {
      const std::string name = Lower(Name(line));
      const std::string value = Lower(Trim(line.substr(name.size() + 1)));
      if (name == "transfer-encoding" && (value != "chunked" || !is_http11)) {
        return false;
      }
      if (name == "transfer-encoding") ++codings;
      if (name == "connection" && !IsTokenList(value)) return false;
      if (name != "content-length") continue;
      for (const std::string_view item : Items(value)) {
        const auto number = Number(item);
        if (!number || (length && *length != *number)) return false;
        length = number;
      }
    }
    return codings == 0 || (codings == 1 && !length);
  }
  static std::optional<uint64_t> Number(std::string_view text) {
    constexpr size_t kMaxDigits = 19;
    if (text.empty() || text.size() > kMaxDigits) return std::nullopt;
    uint64_t number = 0;
    for (const char c : text) {
      if (c < '0' || c > '9') return std::nullopt;
      number = number * 10 + static_cast<uint64_t>(c - '0');
    }
    return number;
  }
  static std::vector<std::string_view> Items(std::string_view list) {
    std::vector<std::string_view> items;
    for (size_t comma = list.find(','); comma != std::string_view::npos;
         comma = list.find(',')) {
      items.push_back(Trim(list.substr(0, comma)));
      list.remove_prefix(comma + 1);
    }
    items.push_back(Trim(list));
    return items;
  }
  static bool IsTokenList(std::string_view list) {
    return std::ranges::all_of(Items(list), [](std::string_view item) {
      return item.empty() || IsToken(item);
    });
  }
  static std::string_view Name(std::string_view line) {
    return line.substr(0, line.find(':'));
  }
  static bool IsToken(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, [](char c) {
      const auto code = static_cast<unsigned char>(c);
      return code < 0x80 && (std::isalnum(code) != 0 ||
                             std::string_view("!#$%&'*+-.^_`|~").find(c) !=
                                 std::string_view::npos);
    });
  }
  /// HTAB / SP / VCHAR / obs-text
  static bool IsText(std::string_view text) {
    return std::ranges::all_of(text, [](char c) {
      const auto code = static_cast<unsigned char>(c);
      return code == '\t' || (code >= 0x20 && code != 0x7f);
    });
  }
  static std::string_view Trim(std::string_view text) {
    while (text.starts_with(' ') || text.starts_with('\t')) {
      text.remove_prefix(1);
    }
    while (text.ends_with(' ') || text.ends_with('\t')) text.remove_suffix(1);
    return text;
  }
  static std::string Lower(std::string_view text) {
    std::string lower(text);
    for (char& c : lower) {
      if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    }
    return lower;
  }
};

/// What a reader made of an answer.
struct ReadAnswer {
  AnswerProgress progress = AnswerProgress::kMore;
  bool has_head = false;
  AnswerFault fault = AnswerFault::kNone;
  std::string body;
};

class AnswerParserTest : public ::testing::Test {
 protected:
  /// Reads the text in parts of `part` bytes at most.
  static ReadAnswer Read(std::string_view text, size_t part) {
    boost::beast::flat_buffer buffer;
    AnswerParser parser(buffer);
    ReadAnswer read;
    while (read.progress == AnswerProgress::kMore ||
           read.progress == AnswerProgress::kHead) {
      if (read.progress == AnswerProgress::kMore) {
        if (text.empty()) break;
        const std::string_view next = text.substr(0, part);
        asio::buffer_copy(buffer.prepare(next.size()),
                          asio::buffer(next.data(), next.size()));
        buffer.commit(next.size());
        text.remove_prefix(next.size());
      }
      read.progress = Parse(parser, read);
    }
    read.fault = parser.Fault();
    return read;
  }
  static AnswerFault FaultOf(std::string_view text) {
    const ReadAnswer read = Read(text, text.size());
    const ReadAnswer in_bytes = Read(text, 1);
    EXPECT_EQ(read.fault, in_bytes.fault) << text;
    EXPECT_EQ(read.progress, in_bytes.progress) << text;
    return read.fault;
  }
  static std::string Mutate(std::string text, size_t begin, Rng& rng) {
    constexpr std::array<char, 20> kOdd = {
        '\0', '\x01', '\t',   '\n',   '\r',   ' ', ':', ',', ';', '(',
        '+',  '-',    '\x7f', '\x80', '\xff', '0', '5', '6', '9', 'z'};
    const uint64_t mutations = 1 + rng.Below(2);
    for (uint64_t i = 0; i < mutations; ++i) {
      const size_t at = begin + rng.Below(text.size() - begin);
      const char odd = rng.Chance(0.7) ? kOdd[rng.Below(kOdd.size())]
                                       : static_cast<char>(rng.Below(256));
      switch (rng.Below(3)) {
        case 0:
          text[at] = odd;
          break;
        case 1:
          text.insert(at, 1, odd);
          break;
        default:
          text.erase(at, 1);
      }
    }
    return text;
  }

 private:
  static AnswerProgress Parse(AnswerParser& parser, ReadAnswer& read) {
    if (!read.has_head) {
      const AnswerProgress progress = parser.ParseHead();
      read.has_head = progress == AnswerProgress::kHead;
      return progress;
    }
    std::array<char, 7> piece{};
    AnswerProgress progress = AnswerProgress::kMore;
    size_t bytes = 0;
    do {
      progress = parser.ParseBody(asio::buffer(piece), bytes);
      read.body.append(piece.data(), bytes);
    } while (progress == AnswerProgress::kMore && bytes > 0);
    return progress;
  }
};

constexpr std::string_view kSoundHeads[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Id: a b\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: a\r\n\r\n",
    "HTTP/1.0 200 OK\r\nX-Id:a\r\nConnection: close, x\r\n\r\n",
    "HTTP/1.1 503 \r\nContent-Length: 2, 2\r\nX-Empty:\r\n\r\n",
    "HTTP/1.1 599 \xe9t\xe9\r\nX-Id: \t \xff ~\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
};

// Guards against a reader that repairs what another one reads differently, and
// against one that refuses sound answers.
TEST_F(AnswerParserTest, MutatedHead_IsTakenOnlyIfTheGrammarTakesIt) {
  Rng rng(20261207);
  int taken = 0;
  int refused = 0;
  for (const std::string_view sound : kSoundHeads) {
    EXPECT_TRUE(Read(sound, sound.size()).has_head) << sound;
    constexpr int kRounds = 20000;
    for (int i = 0; i < kRounds; ++i) {
      const std::string text = Mutate(std::string(sound), 0, rng);
      const bool is_sound = StrictGrammar::HasHead(text);
      ++(is_sound ? taken : refused);
      ASSERT_EQ(Read(text, text.size()).has_head, is_sound)
          << ::testing::PrintToString(text);
      ASSERT_EQ(Read(text, 1 + rng.Below(4)).has_head, is_sound)
          << ::testing::PrintToString(text);
    }
  }
  EXPECT_GT(taken, 10000);
  EXPECT_GT(refused, 10000);
}

// Guards against odd lines in a trailer, which may be near to a receipt.
TEST_F(AnswerParserTest, MutatedTrailer_IsTakenOnlyIfTheGrammarTakesIt) {
  const std::string before =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
  Rng rng(20261208);
  constexpr int kRounds = 20000;
  for (int i = 0; i < kRounds; ++i) {
    const std::string text = Mutate(
        before + "X-Checked: yes\r\nX-Next: a\r\n\r\n", before.size(), rng);
    // Bytes may follow the answer.
    const size_t end = text.find("\r\n\r\n", before.size() - 2);
    const bool is_sound =
        end != std::string::npos &&
        StrictGrammar::IsTrailer(std::string_view(text).substr(
            before.size(), end + 4 - before.size()));
    const ReadAnswer read = Read(text, 1 + rng.Below(text.size()));
    ASSERT_EQ(read.progress == AnswerProgress::kWhole, is_sound)
        << ::testing::PrintToString(text.substr(before.size()));
    ASSERT_EQ(read.body, "body");
  }
}

// Guards against a status code that HTTP doesn't know.
TEST_F(AnswerParserTest, StatusCode_OutOfRange_IsFault) {
  for (const std::string status :
       {"000", "001", "099", "600", "999", "-20", "+20", "2 0", "20x", "20",
        "2000", "", " 200"}) {
    EXPECT_EQ(FaultOf("HTTP/1.1 " + status + " OK\r\n\r\n"),
              AnswerFault::kStatusCode)
        << status;
  }
  for (const std::string status : {"100", "199", "200", "299", "503", "599"}) {
    EXPECT_EQ(FaultOf("HTTP/1.1 " + status + " OK\r\n\r\n"), AnswerFault::kNone)
        << status;
  }
}

TEST_F(AnswerParserTest, StatusLine_ThatIsNone_IsFault) {
  for (const std::string line :
       {"HTTP/1.2 200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK",
        "HTTP/1.1\t200 OK", "ICY 200 OK", "", "HTTP/1.1 200 O\x01K",
        "HTTP/1.1 200 O\nK"}) {
    EXPECT_EQ(FaultOf(line + "\r\n\r\n"), AnswerFault::kStatusLine) << line;
  }
}

TEST_F(AnswerParserTest, Field_OutsideTheGrammar_IsFault) {
  const std::pair<std::string, AnswerFault> fields[] = {
      {"Content Length: 2", AnswerFault::kFieldName},
      {"Content-Length : 2", AnswerFault::kFieldName},
      {"Content-Length\x01: 2", AnswerFault::kFieldName},
      {"Content-Length\x7f: 2", AnswerFault::kFieldName},
      {"Content-L\xe9ngth: 2", AnswerFault::kFieldName},
      {": 2", AnswerFault::kFieldName},
      {"no colon", AnswerFault::kFieldName},
      {"X-Note: a\r\n Content-Length: 2", AnswerFault::kFoldedLine},
      {"X-Note: a\r\n\tb", AnswerFault::kFoldedLine},
      {"X-Note: a\x01", AnswerFault::kFieldValue},
      {"X-Note: a\x7f", AnswerFault::kFieldValue},
      {"X-Note: a\nContent-Length: 2", AnswerFault::kFieldValue},
      {"X-Note: a\rContent-Length: 2", AnswerFault::kLineEnd},
      {std::string("X-Note: a\0", 10), AnswerFault::kFieldValue}};
  for (const auto& [field, fault] : fields) {
    EXPECT_EQ(FaultOf("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n"), fault)
        << ::testing::PrintToString(field);
    EXPECT_EQ(FaultOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "1\r\nx\r\n0\r\n" +
                      field + "\r\n\r\n"),
              fault)
        << ::testing::PrintToString(field);
  }
}

// Guards against a body whose end two readers see at two places, or that is
// still encoded when it is passed on.
TEST_F(AnswerParserTest, Framing_WithMoreThanOneMeaning_IsFault) {
  for (const std::string field :
       {"Content-Length: 2\r\nContent-Length: 3", "Content-Length: 2, 3",
        "Content-Length: +2", "Content-Length: -2", "Content-Length: 0x2",
        "Content-Length:", "Content-Length: 99999999999999999999",
        "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: gzip",
        "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 2",
        "Content-Length: 2\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked;q=1", "Transfer-Encoding:"}) {
    EXPECT_EQ(FaultOf("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n"),
              AnswerFault::kFraming)
        << field;
  }
  EXPECT_EQ(FaultOf("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
            AnswerFault::kFraming);
}

TEST_F(AnswerParserTest, Chunk_OutsideTheGrammar_IsFault) {
  for (const std::string body :
       {"x\r\n", "-1\r\na\r\n", "1 \r\na\r\n", "1\r\nab\r\n0\r\n",
        "1\r\na\n0\r\n", "1;=x\r\na\r\n", "1;a=\"\x01\"\r\na\r\n",
        "10000000000000000\r\n", "1\r\na\r\n0;a=\"\x01\"\r\n\r\n"}) {
    EXPECT_EQ(
        FaultOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body),
        AnswerFault::kChunk)
        << ::testing::PrintToString(body);
  }
}

TEST_F(AnswerParserTest, SoundBody_IsReadWhole) {
  const std::string answers[] = {
      "Content-Length: 16\r\n\r\nsixteen bytes ok",
      "Transfer-Encoding: Chunked\r\n\r\n"
      "a;x=y;z=\"q\\\"\"\r\nsixteen by\r\n6\r\ntes ok\r\n00\r\nX: y\r\n\r\n"};
  for (const std::string& answer : answers) {
    for (size_t part = 1; part < 12; ++part) {
      const ReadAnswer read = Read("HTTP/1.1 200 OK\r\n" + answer, part);
      EXPECT_EQ(read.progress, AnswerProgress::kWhole) << answer;
      EXPECT_EQ(read.body, "sixteen bytes ok");
    }
  }
}

// Guards against a head, a chunk-size line or a trailer without end.
TEST_F(AnswerParserTest, HeadOrLine_WithoutEnd_IsTooLong) {
  const std::string filler(AnswerParser::kMaxHeadBytes, 'x');
  std::string fields;
  while (fields.size() < AnswerParser::kMaxHeadBytes) fields += "X: y\r\n";
  const std::pair<std::string, std::string> texts[] = {
      {"HTTP/1.1 200 ", filler},
      {"HTTP/1.1 200 OK\r\nX: ", filler},
      {"HTTP/1.1 200 OK\r\n", fields},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", filler},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", fields}};
  for (const auto& [begin, rest] : texts) {
    const ReadAnswer read = Read(begin + rest + "X", 4096);
    EXPECT_EQ(read.progress, AnswerProgress::kBroken);
    EXPECT_EQ(read.fault, AnswerFault::kTooLong);
  }
}

// Guards against the wish to close the connection taken for what ends the body.
TEST_F(AnswerParserTest, Framing_WithAndWithoutClose_IsWhatTheMessageStates) {
  using serving::AnswerFraming;
  const std::pair<std::string, AnswerFraming> heads[] = {
      {"200 OK\r\nContent-Length: 9\r\n", AnswerFraming::kLength},
      {"200 OK\r\nTransfer-Encoding: chunked\r\n", AnswerFraming::kChunks},
      {"200 OK\r\n", AnswerFraming::kConnection},
      {"503 Full\r\nContent-Length: 0\r\n", AnswerFraming::kLength},
      {"204 No Content\r\n", AnswerFraming::kLength},
      {"304 Not Modified\r\n", AnswerFraming::kLength}};
  for (const auto& [head, framing] : heads) {
    for (const bool closes : {false, true}) {
      boost::beast::flat_buffer buffer;
      AnswerParser parser(buffer);
      const std::string text =
          "HTTP/1.1 " + head + (closes ? "Connection: close\r\n" : "") + "\r\n";
      asio::buffer_copy(buffer.prepare(text.size()), asio::buffer(text));
      buffer.commit(text.size());
      EXPECT_EQ(parser.ParseHead(), AnswerProgress::kHead) << text;
      EXPECT_EQ(parser.Framing(), framing) << text;
      EXPECT_EQ(parser.KeepsAlive(),
                !closes && framing != AnswerFraming::kConnection)
          << text;
    }
  }
}

// Guards against the end of a connection that ends no answer.
TEST_F(AnswerParserTest, Eof_ProvesTheEndOnlyOfADeliveredUnframedAnswer) {
  for (const std::string framing :
       {"", "Connection: close\r\n", "Content-Length: 9\r\n",
        "Content-Length: 9\r\nConnection: close\r\n"}) {
    const bool is_framed = framing.starts_with("Content-Length");
    for (const AnswerEof eof :
         {AnswerEof::kDelivered, AnswerEof::kUndelivered}) {
      boost::beast::flat_buffer buffer;
      AnswerParser parser(buffer);
      const std::string text = "HTTP/1.1 200 OK\r\n" + framing + "\r\npart";
      asio::buffer_copy(buffer.prepare(text.size()), asio::buffer(text));
      buffer.commit(text.size());
      EXPECT_EQ(parser.ParseHead(), AnswerProgress::kHead);
      std::array<char, 16> piece{};
      size_t bytes = 0;
      EXPECT_EQ(parser.ParseBody(asio::buffer(piece), bytes),
                AnswerProgress::kMore);
      const bool is_whole = !is_framed && eof == AnswerEof::kDelivered;
      EXPECT_EQ(parser.ParseEof(eof),
                is_whole ? AnswerProgress::kWhole : AnswerProgress::kBroken);
      EXPECT_EQ(parser.IsDone(), is_whole);
    }
  }
}

}  // namespace
}  // namespace fuchsiadrum::daemon
